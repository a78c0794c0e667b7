// Package wire holds the types that travel between processes: between entry
// hosts (JSON-RPC 2.0) and towards executors, workers and the platform (JSON
// over HTTP). The types are generated from wire.schema.json; they are never
// edited by hand, and no package decides anything on them. The peer packages
// convert them to and from the domain types of package hoist.
//
// # Usage
//
// Change wire.schema.json, then run
//
//	go generate ./internal/proto/wire
//
// and commit both files. Names of fields are in kebab case, durations are whole
// microseconds (suffix -us), bodies are base64.
package wire

//go:generate go tool go-jsonschema -p wire --tags json -o wire.gen.go wire.schema.json
