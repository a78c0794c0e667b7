package codec

import (
	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// Request converts r for the wire.
func Request(r hoist.Request) wire.Request {
	return wire.Request{
		Key:        string(r.Key),
		Customer:   string(r.Customer),
		Service:    string(r.Service),
		Class:      string(r.Class),
		Idempotent: r.Idempotent,
		FirstTry:   nilIfZero(r.FirstTry),
		NoWait:     nilIfZero(r.NoWait),
		IssuedAt:   r.IssuedAt,
		Deadline:   r.Deadline,
		Body:       r.Body,
	}
}

// ToRequest converts r from the wire.
func ToRequest(r wire.Request) hoist.Request {
	return hoist.Request{
		Key:        hoist.RequestKey(r.Key),
		Customer:   hoist.CustomerID(r.Customer),
		Service:    hoist.ServiceName(r.Service),
		Class:      hoist.Class(r.Class),
		Idempotent: r.Idempotent,
		FirstTry:   valueOrZero(r.FirstTry),
		NoWait:     valueOrZero(r.NoWait),
		IssuedAt:   r.IssuedAt,
		Deadline:   r.Deadline,
		Body:       r.Body,
	}
}

// Attempt converts a for the wire.
func Attempt(a hoist.Attempt) wire.Attempt {
	return wire.Attempt{Request: Request(a.Request), No: int(a.No), ShardTerm: int(a.ShardTerm)}
}

// ToAttempt converts a from the wire.
func ToAttempt(a wire.Attempt) hoist.Attempt {
	return hoist.Attempt{
		Request:   ToRequest(a.Request),
		No:        hoist.AttemptNo(a.No),
		ShardTerm: hoist.Term(a.ShardTerm),
	}
}

// Answer converts a for the wire and adds the digest of its body.
func Answer(a hoist.Answer) wire.Answer {
	return wire.Answer{
		Key:          string(a.Key),
		Attempt:      int(a.Attempt),
		Outcome:      string(a.Outcome),
		Reason:       nilIfZero(a.Reason),
		RetryAfterUs: nilIfZero(micros(a.RetryAfter)),
		Executor:     nilIfZero(string(a.Executor)),
		WaitedUs:     nilIfZero(micros(a.Waited)),
		Digest:       Digest(hoist.DigestOf(a.Body)),
		Body:         a.Body,
	}
}

// ToAnswer converts a from the wire. It returns ErrDigestMismatch if the body
// does not match the digest that the sender computed.
func ToAnswer(a wire.Answer) (hoist.Answer, error) {
	if Digest(hoist.DigestOf(a.Body)) != a.Digest {
		return hoist.Answer{}, merry.Wrap(ErrDigestMismatch, merry.PrependMessagef("answer to %q", a.Key))
	}
	return hoist.Answer{
		Key:        hoist.RequestKey(a.Key),
		Attempt:    hoist.AttemptNo(a.Attempt),
		Outcome:    hoist.Outcome(a.Outcome),
		Reason:     valueOrZero(a.Reason),
		RetryAfter: durationFromMicros(valueOrZero(a.RetryAfterUs)),
		Executor:   hoist.ExecutorID(valueOrZero(a.Executor)),
		Waited:     durationFromMicros(valueOrZero(a.WaitedUs)),
		Body:       a.Body,
	}, nil
}

// RunningAttempt converts r for the wire.
func RunningAttempt(r hoist.RunningAttempt) wire.RunningAttempt {
	return wire.RunningAttempt{Key: string(r.Key), Attempt: int(r.Attempt)}
}

// ToRunningAttempt converts r from the wire.
func ToRunningAttempt(r wire.RunningAttempt) hoist.RunningAttempt {
	return hoist.RunningAttempt{Key: hoist.RequestKey(r.Key), Attempt: hoist.AttemptNo(r.Attempt)}
}

// ExecutorReport converts r for the wire.
func ExecutorReport(r hoist.ExecutorReport) wire.ExecutorReport {
	return wire.ExecutorReport{
		Executor: string(r.Executor),
		Term:     int(r.Term),
		Slots:    r.Slots,
		Leaving:  r.Leaving,
		Running:  Map(r.Running, RunningAttempt),
	}
}

// ToExecutorReport converts r from the wire.
func ToExecutorReport(r wire.ExecutorReport) hoist.ExecutorReport {
	return hoist.ExecutorReport{
		Executor: hoist.ExecutorID(r.Executor),
		Term:     hoist.Term(r.Term),
		Slots:    r.Slots,
		Leaving:  r.Leaving,
		Running:  Map(r.Running, ToRunningAttempt),
	}
}
