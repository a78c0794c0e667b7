package gate

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"fuchsiahoist.example/hoist/internal/decide/admit"
)

// ErrTooLarge reports a body that is larger than allowed.
var ErrTooLarge = merry.Sentinel("the body is too large")

// ReadBody reads the body of a request, which must have at most maxBody bytes and be
// complete before end. Its memory is reserved as it arrives. It returns ErrRefused if the
// request is refused or too slow, and ErrTooLarge; the request must not be handled then.
func ReadBody(r *http.Request, maxBody int, end time.Time) ([]byte, error) {
	conn := ConnOf(r.Context())
	if r.ContentLength > int64(maxBody) {
		return nil, ErrTooLarge
	}
	if err := conn.SetPhase(admit.Reading); err != nil {
		return nil, conn.refuseRequest()
	}
	var body []byte
	for began := time.Now(); ; {
		if len(body) == cap(body) {
			size := admit.NextBuffer(cap(body), r.ContentLength, maxBody)
			if conn.Hold(admit.Bytes(size-cap(body))) != nil {
				return nil, conn.refuseRequest()
			}
			body = append(make([]byte, 0, size), body...)
		}
		// If this fails, the read does too.
		_ = conn.SetReadDeadline(admit.BodyDeadline(began, len(body), end))
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBody:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, conn.endBody()
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, conn.refuseRequest()
		case err != nil:
			return nil, err
		}
	}
}

// endBody ends the reading of a body. It returns ErrRefused if the request was refused in
// the meantime.
func (c *Conn) endBody() error {
	// Without it, the connection would count as broken while the request is handled.
	_ = c.SetReadDeadline(time.Time{})
	if c.SetPhase(admit.Working) != nil {
		return c.refuseRequest()
	}
	return nil
}

// refuseRequest lets no more of the request be read, so that its rest delays nothing. It
// returns ErrRefused.
func (c *Conn) refuseRequest() error {
	if c != nil {
		c.gate.mu.Lock()
		c.gate.clients.Refuse(c)
		c.gate.mu.Unlock()
		c.refuse()
	}
	return ErrRefused
}
