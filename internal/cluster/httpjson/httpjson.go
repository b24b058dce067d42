// Package httpjson reads the bodies of requests and writes the JSON responses that frontends give to clients and agents
// give to runners, so that both kinds of callers see the same errors.
//
// Its functions may be called by any number of goroutines, each with a writer of its own.
package httpjson

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
)

// maxPreallocatedBytes bounds the memory that is allocated for a body before it arrives: a sender may announce more than
// it sends.
const maxPreallocatedBytes = 16 << 10

// Header values that all responses share. They are never changed.
var (
	contentTypeJSON = []string{"application/json"}
	retryAfter      = []string{"1"} // seconds
	connectionClose = []string{"close"}
)

// EmptyObject is the body of a response that has nothing to say. It must not be changed.
var EmptyObject = []byte("{}")

// ReadBody returns the body of r. An error is of kind TooLarge for a body of more than limit bytes, and Unavailable for
// one that didn't arrive completely. w must be the server's own writer, which http.MaxBytesReader asks to close the
// connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		w.Header()["Connection"] = connectionClose // the rest of the body is not read
		return nil, tooLarge(limit)
	}
	body, err := ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err == nil {
		return body, nil
	}
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge(limit)
	}
	// A slow or broken connection doesn't make the request invalid: the caller may send it again.
	return nil, failure.Newf(failure.Unavailable, "the request body did not arrive completely: %v", err)
}

func tooLarge(limit int64) error {
	return failure.Newf(failure.TooLarge, "the request body exceeds the limit of %d bytes", limit)
}

// ReadAll is io.ReadAll with memory allocated ahead for size bytes, as far as that is a usual size. A negative size is
// unknown.
func ReadAll(reader io.Reader, size int64) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(int(min(max(size, 0), maxPreallocatedBytes)) + bytes.MinRead)
	_, err := body.ReadFrom(reader)
	return body.Bytes(), err
}

// errorBody is the body of a response that isn't a success.
type errorBody struct {
	Error   string `json:"error"`
	Message string `json:"message"`
}

// Write sends status with a JSON body.
func Write(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header["Content-Type"] = contentTypeJSON
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has disconnected needs no response
}

// WriteError sends the status, name and Retry-After of err's kind, see package answers.
func WriteError(w http.ResponseWriter, err error) {
	answer := answers.ForKind(failure.KindOf(err))
	if answer.Retry {
		w.Header()["Retry-After"] = retryAfter
	}
	writeErrorBody(w, answer.Status, answer.Name, err.Error())
}

// WriteMethodNotAllowed rejects a request whose method isn't among allowed, a comma-separated list.
func WriteMethodNotAllowed(w http.ResponseWriter, allowed string) {
	w.Header().Set("Allow", allowed)
	writeErrorBody(w, http.StatusMethodNotAllowed, "method_not_allowed", "allowed methods: "+allowed)
}

func writeErrorBody(w http.ResponseWriter, status int, name, message string) {
	body, err := json.Marshal(errorBody{Error: name, Message: message})
	if err != nil {
		body = EmptyObject
	}
	Write(w, status, body)
}
