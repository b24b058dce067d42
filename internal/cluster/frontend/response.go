package frontend

import (
	"net/http"
	"sync/atomic"
)

// connectionClose is a header value that responses share. It is never changed.
var connectionClose = []string{"close"}

// closingWriter adds to a response that it is the last of its connection, if the process is shutting down by the time the
// response is written.
type closingWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// WriteHeader sends the response's head.
func (w *closingWriter) WriteHeader(status int) {
	if w.draining.Load() {
		w.Header()["Connection"] = connectionClose
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the server's own writer, for http.MaxBytesReader and http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
