package frontend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
)

// retryAfter is what a client that was refused is told, in whole seconds.
const retryAfter = "1"

// Header values that every answer shares; they are never changed.
var (
	jsonType       = []string{"application/json"}
	retryAfterOnce = []string{retryAfter}
	closeOnce      = []string{"close"}
)

// errorBody is the body of an answer that isn't a success.
type errorBody struct {
	Error   string `json:"error"`
	Message string `json:"message"`
}

// answer sends status and a JSON body.
func answer(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header["Content-Type"] = jsonType
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	w.Write(body) // a client that has left is no concern
}

// closingWriter says with an answer that it is the last of its connection, if the process is stopping by then.
type closingWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// WriteHeader sends the answer's head.
func (w *closingWriter) WriteHeader(status int) {
	if w.draining.Load() {
		w.Header()["Connection"] = closeOnce
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the server's writer, which the server's own functions want.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// answerError sends what a client is told for err's kind.
func answerError(w http.ResponseWriter, err error) {
	told := answers.To(failure.KindOf(err))
	if told.Retry {
		w.Header()["Retry-After"] = retryAfterOnce
	}
	answerFault(w, told.Status, told.Name, err.Error())
}

// answerFault sends status with a body that names what is wrong.
func answerFault(w http.ResponseWriter, status int, name, message string) {
	body, err := json.Marshal(errorBody{Error: name, Message: message})
	if err != nil {
		body = []byte("{}")
	}
	answer(w, status, body)
}
