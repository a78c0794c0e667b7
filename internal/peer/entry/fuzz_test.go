package entry_test

import (
	"context"
	"net"
	"testing"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/peer/entry"
)

// idlePeer is a hoist.Peer that does nothing.
type idlePeer struct{ hoist.Peer }

func (idlePeer) Heartbeat(_ context.Context, h hoist.Heartbeat) (hoist.Heartbeat, error) {
	return h, nil
}

func (idlePeer) Promise(context.Context, hoist.LeaseRef) (bool, error) { return false, nil }

func (idlePeer) Release(context.Context, hoist.LeaseRef) (bool, error) { return false, nil }

func (idlePeer) Claim(context.Context, hoist.Claim) error { return nil }

func (idlePeer) Handover(context.Context, hoist.Handover) error { return nil }

func (idlePeer) Submit(context.Context, hoist.Request) (hoist.Answer, error) {
	return hoist.Answer{}, nil
}

func (idlePeer) Dispatch(context.Context, hoist.Attempt) (hoist.Answer, error) {
	return hoist.Answer{}, nil
}
func (idlePeer) SubmitJob(context.Context, hoist.JobSpec) error                   { return nil }
func (idlePeer) CancelJob(context.Context, hoist.JobRef) error                    { return nil }
func (idlePeer) ShowJobs(context.Context, hoist.TeamID) ([]hoist.JobState, error) { return nil, nil }

func (idlePeer) Config(context.Context, hoist.ConfigVersion) ([]byte, error) { return nil, nil }

func (idlePeer) Report(context.Context) (hoist.HostReport, error) { return hoist.HostReport{}, nil }

// FuzzServer guards against a message of another host that ends the process.
func FuzzServer(f *testing.F) {
	f.Add("heartbeat", []byte(`{"host":"h","workers":[{"worker":7}],"slots":null}`))
	f.Add("handover", []byte(`{"shards":[{"shard":-1,"term":1e300}],"keys":[{}]}`))
	f.Add("submit", []byte(`{"body":"%%"}`))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.Cleanup(cancel)
	go func() { _ = (&entry.Server{Listener: l, Peer: idlePeer{}}).Run(ctx) }()
	f.Fuzz(func(t *testing.T, method string, params []byte) {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		// Without lingering, the port is free for the next message.
		_ = conn.(*net.TCPConn).SetLinger(0)
		message := append([]byte(`{"jsonrpc":"2.0","id":1,"method":"`+method+`","params":`), params...)
		if _, err := conn.Write(append(message, "}\n"...)); err != nil {
			return
		}
		// The answer, or the end of the connection, shows that the message was handled.
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = conn.Read(make([]byte, 1))
	})
}
