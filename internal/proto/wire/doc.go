// Package wire holds the types of the messages between processes: between entry
// hosts (JSON-RPC 2.0), to and from executors, workers and the platform (JSON
// over HTTP), and of the rows that entry hosts keep in the platform's table. The
// types are generated from wire.schema.json and never edited by hand. No
// decision is based on them: package codec converts them to and from the domain
// types of package hoist.
//
// # Usage
//
// Change wire.schema.json, then run
//
//	go generate ./internal/proto/wire
//
// and commit both files. Field names are in kebab case, durations are in whole
// microseconds (suffix -us), and bodies are encoded as base64.
package wire

//go:generate go tool go-jsonschema -p wire --tags json -o wire.gen.go wire.schema.json
