// Package codec converts between the domain types of package hoist and the
// generated wire and row types. It does not validate values: that is left to
// the domain, so that every front end applies the same rules.
//
// # Usage
//
// A sender converts with the function named after the wire type, a receiver
// with the function of the same name and the prefix To:
//
//	msg := codec.Request(req)
//	req := codec.ToRequest(msg)
//
// Rows of the platform's store are encoded to and decoded from bytes:
//
//	value := codec.EncodePlan(plan)
//	plan, err := codec.DecodePlan(id, value)
//
// Errors are sent between processes as a code and a message:
//
//	code := codec.ErrorCode(err)
//	err = codec.Error(code, message)
package codec

import (
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// ErrDigestMismatch reports an answer whose body does not match its digest.
var ErrDigestMismatch = merry.Sentinel("answer body does not match its digest")

// Map returns the results of applying convert to each element of in. The result
// is never nil, so that empty lists are encoded as [] instead of null.
func Map[In, Out any](in []In, convert func(In) Out) []Out {
	out := make([]Out, 0, len(in))
	for _, v := range in {
		out = append(out, convert(v))
	}
	return out
}

// Strings converts a list of ids to plain strings.
func Strings[ID ~string](ids []ID) []string {
	return Map(ids, func(id ID) string { return string(id) })
}

// IDs converts a list of plain strings to ids.
func IDs[ID ~string](names []string) []ID {
	return Map(names, func(name string) ID { return ID(name) })
}

// Digest formats a digest as 16 hexadecimal digits.
func Digest(d hoist.Digest) string {
	s := strconv.FormatUint(uint64(d), 16)
	for len(s) < 16 {
		s = "0" + s
	}
	return s
}

// ToDigest parses a digest in hexadecimal. It returns 0 if s is not valid.
func ToDigest(s string) hoist.Digest {
	d, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0
	}
	return hoist.Digest(d)
}

func micros(d time.Duration) int { return int(d.Microseconds()) }

func durationFromMicros(us int) time.Duration { return time.Duration(us) * time.Microsecond }

// nilIfZero returns a pointer to v, or nil for the zero value, so that optional
// fields are omitted from the encoding.
func nilIfZero[T comparable](v T) *T {
	var zero T
	if v == zero {
		return nil
	}
	return &v
}

// valueOrZero returns the value that p points to, or the zero value if p is nil.
func valueOrZero[T any](p *T) T {
	var zero T
	if p == nil {
		return zero
	}
	return *p
}

// Resources converts r for the wire.
func Resources(r hoist.Resources) wire.Resources {
	return wire.Resources{CpuMillis: int(r.CPU), MemoryMib: int(r.Memory), Accelerators: int(r.Accel)}
}

// ToResources converts r from the wire.
func ToResources(r wire.Resources) hoist.Resources {
	return hoist.Resources{
		CPU:    hoist.MilliCPU(r.CpuMillis),
		Memory: hoist.MiB(r.MemoryMib),
		Accel:  hoist.Accelerators(r.Accelerators),
	}
}
