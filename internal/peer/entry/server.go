package entry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// Server serves the calls of other hosts.
type Server struct {
	// Listener accepts the connections.
	Listener net.Listener
	// Peer carries the calls out.
	Peer hoist.Peer
}

// Run serves until ctx ends, then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	handlers := s.handlers()
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { _ = s.Listener.Close() })
	defer stop()
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return merry.Prepend(err, "accepting connections of other hosts")
		}
		wg.Go(func() { serveConn(ctx, conn, handlers) })
	}
}

// serveConn serves one connection until it breaks or ctx ends. Then the calls in
// progress are told to end, and their replies are sent before it closes.
func serveConn(ctx context.Context, conn net.Conn, handlers handlerMap) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := &calls{ctx: callCtx, handlers: handlers, requests: make(chan struct{}, maxRequests)}
	stream := jsonrpc2.NewPlainObjectStream(&boundedConn{Conn: conn, silent: silentTimeout})
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, calls, jsonrpc2.SetLogger(quiet))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		// A reply that cannot be sent gives up after writeTimeout.
		calls.running.Wait()
		_ = rpc.Close()
	}
}

// handler decodes the parameters of a call and carries it out.
type handler func(ctx context.Context, params json.RawMessage) (any, error)

// handlerMap finds the handler of each method.
type handlerMap map[method]handler

// calls are the calls in progress on one connection. Each has a goroutine of its
// own, as a request waits for its answer while others go on.
type calls struct {
	ctx      context.Context
	handlers handlerMap
	// requests holds an element for each submit and dispatch in progress.
	requests chan struct{}
	running  sync.WaitGroup
}

// Handle implements jsonrpc2.Handler.
func (c *calls) Handle(_ context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	isRequest := method(req.Method) == methodSubmit || method(req.Method) == methodDispatch
	if isRequest {
		select {
		case c.requests <- struct{}{}:
		default:
			err := merry.Wrap(hoist.ErrOverLimit, merry.PrependMessagef("%d requests are in progress on the connection", maxRequests))
			reply(conn, req, nil, err)
			return
		}
	}
	c.running.Go(func() {
		out, err := c.handlers.call(c.ctx, req)
		reply(conn, req, out, err)
		if isRequest {
			<-c.requests
		}
	})
}

// reply answers a call. A connection that takes no reply may hold half a
// message, so it is closed.
func reply(conn *jsonrpc2.Conn, req *jsonrpc2.Request, out any, err error) {
	if err != nil {
		err = conn.ReplyWithError(context.Background(), req.ID, rpcError(err))
	} else {
		err = conn.Reply(context.Background(), req.ID, out)
	}
	if err != nil {
		_ = conn.Close()
	}
}

func (hm handlerMap) call(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	h, ok := hm[method(req.Method)]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method " + req.Method + " does not exist"}
	}
	if req.Params == nil {
		return nil, merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("%s without parameters", req.Method))
	}
	return h(ctx, *req.Params)
}

func rpcError(err error) *jsonrpc2.Error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
	}
	rpcErr = &jsonrpc2.Error{Code: errorCode, Message: err.Error()}
	rpcErr.SetError(codec.ErrorCode(err))
	return rpcErr
}

// decode makes a handler from a function on wire types.
func decode[In, Out any](fn func(context.Context, In) (Out, error)) handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, hoist.ConvertError(hoist.ErrInvalid, err)
		}
		return fn(ctx, in)
	}
}

// effect makes a handler from a conversion and a call without a reply.
func effect[In, Domain any](convert func(In) Domain, fn func(context.Context, Domain) error) handler {
	return decode(func(ctx context.Context, in In) (wire.Empty, error) {
		return wire.Empty{}, fn(ctx, convert(in))
	})
}

// vote makes a handler of a call that is granted or not.
func vote(fn func(context.Context, hoist.LeaseRef) (bool, error)) handler {
	return decode(func(ctx context.Context, in wire.LeaseRef) (wire.Vote, error) {
		granted, err := fn(ctx, codec.ToLeaseRef(in))
		return wire.Vote{Granted: granted}, err
	})
}

// answer makes a handler of a call that returns an answer.
func answer[In, Domain any](convert func(In) Domain, fn func(context.Context, Domain) (hoist.Answer, error)) handler {
	return decode(func(ctx context.Context, in In) (wire.Answer, error) {
		out, err := fn(ctx, convert(in))
		return codec.Answer(out), err
	})
}

func (s *Server) handlers() handlerMap {
	p := s.Peer
	own := handlerMap{
		methodHeartbeat: decode(func(ctx context.Context, in wire.Heartbeat) (wire.Heartbeat, error) {
			out, err := p.Heartbeat(ctx, codec.ToHeartbeat(in))
			return codec.Heartbeat(out), err
		}),
		methodPromise:  vote(p.Promise),
		methodRelease:  vote(p.Release),
		methodClaim:    effect(codec.ToClaim, p.Claim),
		methodHandover: effect(codec.ToHandover, p.Handover),
		methodSubmit:   answer(codec.ToRequest, p.Submit),
		methodDispatch: answer(codec.ToAttempt, p.Dispatch),
		methodConfig: decode(func(ctx context.Context, in wire.ConfigRequest) (wire.ConfigDocument, error) {
			out, err := p.Config(ctx, hoist.ConfigVersion(in.Version))
			return wire.ConfigDocument{Version: in.Version, Document: string(out)}, err
		}),
		methodReport: decode(func(ctx context.Context, _ wire.Empty) (wire.HostReport, error) {
			out, err := p.Report(ctx)
			return codec.HostReport(out), err
		}),
	}
	maps.Copy(own, s.taskHandlers())
	return own
}
