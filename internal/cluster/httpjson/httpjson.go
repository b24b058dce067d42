// Package httpjson reads the bodies of HTTP requests and writes JSON responses. Frontends use it for clients and agents
// use it for runners, so that both kinds of callers get errors in the same form.
//
// Several goroutines may call its functions at once, each with its own writer.
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

// maxPreallocatedBytes bounds the memory that is allocated for a body before it arrives. A sender may announce a longer body
// than it sends, and must not make the process allocate memory for it.
const maxPreallocatedBytes = 16 << 10

// Header values that all responses share. They must not be changed.
var (
	contentTypeJSON = []string{"application/json"}
	retryAfter      = []string{"1"} // in seconds
	connectionClose = []string{"close"}
)

// EmptyObject is the body of a response without fields. It must not be changed.
var EmptyObject = []byte("{}")

// ReadBody returns the body of r. Its error is of kind TooLarge for a body of more than limit bytes, and of kind
// Unavailable for a body that didn't arrive completely. w must be the server's own writer and no wrapper:
// http.MaxBytesReader makes that writer close the connection after a body that is too large.
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
	// The cause is a slow or broken connection and not the request, so the caller may send the request again.
	return nil, failure.Newf(failure.Unavailable, "the request body did not arrive completely: %v", err)
}

// tooLarge returns the error for a body of more than limit bytes.
func tooLarge(limit int64) error {
	return failure.Newf(failure.TooLarge, "the request body exceeds the limit of %d bytes", limit)
}

// ReadAll reads all of reader, like io.ReadAll. It allocates memory for size bytes in advance, but not for more than
// maxPreallocatedBytes. A negative size is unknown.
func ReadAll(reader io.Reader, size int64) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(int(min(max(size, 0), maxPreallocatedBytes)) + bytes.MinRead)
	_, err := body.ReadFrom(reader)
	return body.Bytes(), err
}

// errorBody is the JSON body of a response to a request that failed.
type errorBody struct {
	Error   string `json:"error"`   // name of the kind of failure; see package answers
	Message string `json:"message"` // text for people
}

// Write sends a response with a JSON body.
func Write(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header["Content-Type"] = contentTypeJSON
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the caller has disconnected
}

// WriteError sends the response for err: package answers gives its status, its name and whether it has the header
// Retry-After.
func WriteError(w http.ResponseWriter, err error) {
	answer := answers.ForKind(failure.KindOf(err))
	if answer.Retry {
		w.Header()["Retry-After"] = retryAfter
	}
	writeErrorBody(w, answer.Status, answer.Name, err.Error())
}

// WriteMethodNotAllowed sends the response to a request with a method that is not in allowed, a comma-separated list.
func WriteMethodNotAllowed(w http.ResponseWriter, allowed string) {
	w.Header().Set("Allow", allowed)
	writeErrorBody(w, http.StatusMethodNotAllowed, "method_not_allowed", "allowed methods: "+allowed)
}

// writeErrorBody sends a response with an errorBody.
func writeErrorBody(w http.ResponseWriter, status int, name, message string) {
	body, err := json.Marshal(errorBody{Error: name, Message: message})
	if err != nil {
		body = EmptyObject
	}
	Write(w, status, body)
}
