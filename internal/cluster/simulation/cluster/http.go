package cluster

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// setBody sets a request's body; an empty one is none.
func setBody(request *http.Request, body []byte) {
	request.Body, request.ContentLength = http.NoBody, int64(len(body))
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
}

// response is what a handler responds. It implements http.ResponseWriter.
type response struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newResponse() *response { return &response{header: http.Header{}, status: http.StatusOK} }

// Header returns the response's header.
func (r *response) Header() http.Header { return r.header }

// WriteHeader sets the response's status.
func (r *response) WriteHeader(status int) { r.status = status }

// Write adds to the response's body.
func (r *response) Write(data []byte) (int, error) { return r.body.Write(data) }

// decode decodes the JSON body of a success. It panics if that is not JSON, and leaves into as it is if it is no success.
func (r *response) decode(into any) {
	if r.status != http.StatusOK {
		return
	}
	if err := json.Unmarshal(r.body.Bytes(), into); err != nil {
		panic(err)
	}
}

// mustJSON returns the JSON of a value that can't fail to be encoded.
func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
