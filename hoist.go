// Package hoist holds the domain types of the fuchsiahoist cluster scheduler:
// identifiers, units, requests, jobs, plans, tasks, the errors that cross
// package boundaries, and every interface whose implementations vary. It has no
// behaviour of its own beyond small helpers on these types.
//
// # Layers
//
// The scheduler runs two layers of work on one cell. Tasks are placed on
// workers under leases; they belong to services, batch jobs with a deadline,
// or gangs, whose tasks start all at once. Requests are sent to the slots of
// executors, which are themselves tasks of a service.
//
// # Usage
//
// Packages that make decisions (internal/decide/...) import this package and
// no networking. Packages that communicate with a peer (internal/peer/...)
// implement the interfaces of this package:
//
//	var table hoist.Table = &table.Client{URL: url}
//	rows, err := table.Read(ctx, "config/current")
//
// The daemon (internal/core/daemon) connects the two:
//
//	d := &daemon.Daemon{Params: p, Table: t, HostList: h, Dialer: dialer}
//	err := d.Run(ctx)
//
// Work is assigned to hosts by shard. Use ShardOf to find the shard of a key:
//
//	shard := hoist.ShardOf(hoist.KindRequest, string(req.Key))
package hoist
