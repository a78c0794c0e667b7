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
	// Peer carries out the calls.
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

// serveConn serves one connection until it breaks or ctx ends. The contexts of the
// calls in progress end then, and their replies are sent before the connection is
// closed.
func serveConn(ctx context.Context, conn net.Conn, handlers handlerMap) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := &connHandler{ctx: callCtx, handlers: handlers, requestSlots: make(chan struct{}, maxRequests)}
	stream := jsonrpc2.NewPlainObjectStream(&deadlineConn{Conn: conn, readTimeout: idleTimeout})
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, calls, jsonrpc2.SetLogger(discardLogger))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		// Replies that cannot be sent fail after writeTimeout, so this wait ends.
		calls.running.Wait()
		_ = rpc.Close()
	}
}

// handler decodes the parameters of a call and carries it out.
type handler func(ctx context.Context, params json.RawMessage) (any, error)

// handlerMap maps methods to their handlers.
type handlerMap map[method]handler

// connHandler handles the calls on one connection. Each call runs in a goroutine of
// its own, so that a request that waits for its answer does not delay other calls.
type connHandler struct {
	ctx      context.Context
	handlers handlerMap
	// requestSlots has one element for each submit and dispatch in progress.
	requestSlots chan struct{}
	running      sync.WaitGroup
}

// Handle implements jsonrpc2.Handler.
func (c *connHandler) Handle(_ context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	isRequest := method(req.Method) == methodSubmit || method(req.Method) == methodDispatch
	if isRequest {
		select {
		case c.requestSlots <- struct{}{}:
		default:
			err := merry.Wrap(hoist.ErrOverLimit, merry.PrependMessagef("%d requests are already in progress on the connection", maxRequests))
			reply(conn, req, nil, err)
			return
		}
	}
	c.running.Go(func() {
		out, err := c.handlers.call(c.ctx, req)
		reply(conn, req, out, err)
		if isRequest {
			<-c.requestSlots
		}
	})
}

// reply sends the result of a call. If that fails, it closes the connection, as
// part of the message may have been written.
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

// call carries out one call with the handler of its method.
func (hm handlerMap) call(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	h, ok := hm[method(req.Method)]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method " + req.Method + " does not exist"}
	}
	if req.Params == nil {
		return nil, merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("method %s has no parameters", req.Method))
	}
	return h(ctx, *req.Params)
}

// rpcError returns the JSON-RPC error that carries err and its code.
func rpcError(err error) *jsonrpc2.Error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
	}
	rpcErr = &jsonrpc2.Error{Code: errorCode, Message: err.Error()}
	rpcErr.SetError(codec.ErrorCode(err))
	return rpcErr
}

// jsonHandler returns a handler that decodes the parameters to In and calls fn.
func jsonHandler[In, Out any](fn func(context.Context, In) (Out, error)) handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, hoist.ConvertError(hoist.ErrInvalid, err)
		}
		return fn(ctx, in)
	}
}

// emptyHandler returns a handler that converts the parameters to a domain type and
// calls fn, which returns no result.
func emptyHandler[In, Domain any](convert func(In) Domain, fn func(context.Context, Domain) error) handler {
	return jsonHandler(func(ctx context.Context, in In) (wire.Empty, error) {
		return wire.Empty{}, fn(ctx, convert(in))
	})
}

// voteHandler returns a handler that calls fn with a lease reference and replies
// whether the vote was granted.
func voteHandler(fn func(context.Context, hoist.LeaseRef) (bool, error)) handler {
	return jsonHandler(func(ctx context.Context, in wire.LeaseRef) (wire.Vote, error) {
		granted, err := fn(ctx, codec.ToLeaseRef(in))
		return wire.Vote{Granted: granted}, err
	})
}

// answerHandler returns a handler that converts the parameters to a domain type and
// calls fn, which returns an answer.
func answerHandler[In, Domain any](convert func(In) Domain, fn func(context.Context, Domain) (hoist.Answer, error)) handler {
	return jsonHandler(func(ctx context.Context, in In) (wire.Answer, error) {
		out, err := fn(ctx, convert(in))
		return codec.Answer(out), err
	})
}

func (s *Server) handlers() handlerMap {
	p := s.Peer
	all := handlerMap{
		methodHeartbeat: jsonHandler(func(ctx context.Context, in wire.Heartbeat) (wire.Heartbeat, error) {
			out, err := p.Heartbeat(ctx, codec.ToHeartbeat(in))
			return codec.Heartbeat(out), err
		}),
		methodPromise:  voteHandler(p.Promise),
		methodRelease:  voteHandler(p.Release),
		methodClaim:    emptyHandler(codec.ToClaim, p.Claim),
		methodHandover: emptyHandler(codec.ToHandover, p.Handover),
		methodSubmit:   answerHandler(codec.ToRequest, p.Submit),
		methodDispatch: answerHandler(codec.ToAttempt, p.Dispatch),
		methodConfig: jsonHandler(func(ctx context.Context, in wire.ConfigRequest) (wire.ConfigDocument, error) {
			out, err := p.Config(ctx, hoist.ConfigVersion(in.Version))
			return wire.ConfigDocument{Version: in.Version, Document: string(out)}, err
		}),
		methodReport: jsonHandler(func(ctx context.Context, _ wire.Empty) (wire.HostReport, error) {
			out, err := p.Report(ctx)
			return codec.HostReport(out), err
		}),
	}
	maps.Copy(all, s.taskHandlers())
	return all
}
