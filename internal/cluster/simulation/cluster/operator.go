package cluster

import (
	"bytes"
	"net/http"
	"net/url"

	"ospreypond/internal/cluster/protocol"
)

// operatorPort is a control process's interface to the operator.
type operatorPort struct{ process *process }

// Configure sends an order.
func (o *operatorPort) Configure(update bool, base string, body []byte, reply func(status int)) (left func()) {
	kind := protocol.ConfigurationReplace
	if update {
		kind = protocol.ConfigurationUpdate
	}
	request := o.request(http.MethodPost, kind)
	request.Header.Set("Ospreypond-Base-Version", base)
	request.Body, request.ContentLength = reader{bytes.NewReader(body)}, int64(len(body))
	return o.process.shell.serve(o.process.operator, request, func(a *answer) { reply(a.status) })
}

// Read reads the newest configuration.
func (o *operatorPort) Read(reply func(status int, body []byte)) {
	request := o.request(http.MethodGet, "read")
	o.process.shell.serve(o.process.operator, request, func(a *answer) { reply(a.status, a.body.Bytes()) })
}

func (o *operatorPort) request(method, verb string) *http.Request {
	return &http.Request{Method: method, Host: o.process.machine.Name, URL: &url.URL{Path: "/v1/configuration/" + verb},
		Header: http.Header{}, Body: http.NoBody}
}
