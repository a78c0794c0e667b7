package gate

import (
	"net/http"

	"fuchsiahoist.example/hoist/internal/decide/admit"
)

// fieldOverhead is what a field of a header has besides its name and value: a colon, a
// space and the end of the line.
const fieldOverhead = 4

// BeginRequest records that a request is handled from now on. It returns ErrRefused if the
// request must not be handled.
//
// It replaces the memory that was reserved as bytes arrived by that of the header alone. A
// read may return a part of the body with the header, or requests that follow it, whose
// headers are then parsed without a read.
func BeginRequest(r *http.Request) error {
	conn := ConnOf(r.Context())
	if conn == nil {
		return nil
	}
	if conn.gate.beginRequest(conn, headerSize(r)) != nil {
		return conn.refuseRequest()
	}
	return nil
}

// headerSize returns about how many bytes the header of a request had.
func headerSize(r *http.Request) admit.Bytes {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + 3*fieldOverhead
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + fieldOverhead
		}
	}
	return admit.Bytes(n)
}
