package cluster

import (
	"net/http"
	"net/url"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// operatorAPI sends the operator's requests to the HTTP handler of a control process. It implements
// simulation.ControlAPI.
type operatorAPI struct{ process *process }

// Configure sends a change of the configuration that builds on version base, and calls reply with the HTTP status.
func (o *operatorAPI) Configure(kind simulation.ChangeKind, base string, body []byte,
	reply func(status int)) (disconnect func()) {
	verb := protocol.ConfigurationReplace
	if kind == simulation.UpdateItems {
		verb = protocol.ConfigurationUpdate
	}
	request := o.request(http.MethodPost, verb)
	request.Header.Set("Ospreypond-Base-Version", base)
	setBody(request, body)
	return o.process.harness.serve(o.process.operator, request, func(r *response) { reply(r.status) })
}

// Read reads the newest configuration and calls reply with the HTTP status and the body.
func (o *operatorAPI) Read(reply func(status int, body []byte)) {
	request := o.request(http.MethodGet, "read")
	setBody(request, nil)
	o.process.harness.serve(o.process.operator, request, func(r *response) { reply(r.status, r.body.Bytes()) })
}

// request returns a request without a body to the path of a verb below /v1/configuration.
func (o *operatorAPI) request(method, verb string) *http.Request {
	return &http.Request{Method: method, Host: o.process.machine.Name, URL: &url.URL{Path: "/v1/configuration/" + verb},
		Header: http.Header{}}
}
