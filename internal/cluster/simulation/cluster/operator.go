package cluster

import (
	"bytes"
	"net/http"
	"net/url"

	"ospreypond/internal/cluster/protocol"
)

// operatorAPI is a control process's interface to the operator.
type operatorAPI struct{ process *process }

// Configure sends an order.
func (o *operatorAPI) Configure(update bool, base string, body []byte, reply func(status int)) (left func()) {
	kind := protocol.ConfigurationReplace
	if update {
		kind = protocol.ConfigurationUpdate
	}
	request := o.request(http.MethodPost, kind)
	request.Header.Set("Ospreypond-Base-Version", base)
	request.Body, request.ContentLength = reader{bytes.NewReader(body)}, int64(len(body))
	return o.process.shell.serve(o.process.operator, request, func(a *response) { reply(a.status) })
}

// Read reads the newest configuration.
func (o *operatorAPI) Read(reply func(status int, body []byte)) {
	request := o.request(http.MethodGet, "read")
	o.process.shell.serve(o.process.operator, request, func(a *response) { reply(a.status, a.body.Bytes()) })
}

func (o *operatorAPI) request(method, verb string) *http.Request {
	return &http.Request{Method: method, Host: o.process.machine.Name, URL: &url.URL{Path: "/v1/configuration/" + verb},
		Header: http.Header{}, Body: http.NoBody}
}
