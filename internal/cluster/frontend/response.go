package frontend

import (
	"net/http"
	"sync/atomic"
)

// connectionClose is the value of the header Connection that responses share. It must not be changed.
var connectionClose = []string{"close"}

// closingWriter writes a response. If the process is shutting down when the response's head is written, it adds the header
// that makes this the last response of its connection.
type closingWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// WriteHeader writes the response's head.
func (w *closingWriter) WriteHeader(status int) {
	if w.draining.Load() {
		w.Header()["Connection"] = connectionClose
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the server's own writer, for http.MaxBytesReader and http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
