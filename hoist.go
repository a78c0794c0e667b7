// Package hoist holds the domain types of the fuchsiahoist cluster scheduler:
// identifiers, units, requests, tasks, the errors that cross package borders,
// and every interface whose behaviour varies. It has no behaviour of its own
// beyond small helpers on these types.
//
// # Layers
//
// The scheduler runs two layers of work on one cell. Tasks are placed on
// workers under leases; they belong to services, batch jobs with a deadline
// and all-at-once jobs (gangs). Requests are sent to the slots of executors,
// which are themselves tasks of a service.
//
// # Usage
//
// Packages that decide (internal/decide/...) import this package and nothing
// of the network. Packages that talk to a peer (internal/peer/...) implement
// the interfaces of this package:
//
//	var table hoist.Table = &table.Client{URL: url}
//	rows, err := table.Read(ctx, "config/current")
//
// The daemon (internal/core/daemon) joins the two:
//
//	d := &daemon.Daemon{Params: p, Table: t, HostList: h, Dialer: dialer}
//	err := d.Run(ctx)
//
// Work is assigned to hosts by shard. Use ShardOf to find the shard of a key:
//
//	shard := hoist.ShardOf(hoist.KindRequest, string(req.Key))
package hoist
