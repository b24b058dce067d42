package cluster

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// setBody sets a request's body. An empty body becomes http.NoBody.
func setBody(request *http.Request, body []byte) {
	request.Body, request.ContentLength = http.NoBody, int64(len(body))
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
}

// response records the response of an HTTP handler. It implements http.ResponseWriter.
type response struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// newResponse returns an empty response. Its status is 200 OK unless the handler sets another status.
func newResponse() *response { return &response{header: http.Header{}, status: http.StatusOK} }

// Header returns the response's header.
func (r *response) Header() http.Header { return r.header }

// WriteHeader sets the response's status.
func (r *response) WriteHeader(status int) { r.status = status }

// Write appends data to the response's body.
func (r *response) Write(data []byte) (int, error) { return r.body.Write(data) }

// decode decodes the JSON body into the value that into points to. Unless the status is 200 OK it leaves that value
// unchanged. It panics if the body is not the expected JSON.
func (r *response) decode(into any) {
	if r.status != http.StatusOK {
		return
	}
	if err := json.Unmarshal(r.body.Bytes(), into); err != nil {
		panic(err)
	}
}

// mustJSON returns the JSON encoding of a value, and panics if the value can't be encoded.
func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
