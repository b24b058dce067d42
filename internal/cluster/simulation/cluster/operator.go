package cluster

import (
	"net/http"
	"net/url"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// operatorAPI is a control process's interface to the operator. It implements simulation.ControlAPI.
type operatorAPI struct{ process *process }

// Configure sends a change of the configuration.
func (o *operatorAPI) Configure(kind simulation.ChangeKind, base string, body []byte,
	reply func(status int)) (disconnect func()) {
	verb := protocol.ConfigurationReplace
	if kind == simulation.UpdateItems {
		verb = protocol.ConfigurationUpdate
	}
	request := o.request(http.MethodPost, verb)
	request.Header.Set("Ospreypond-Base-Version", base)
	setBody(request, body)
	return o.process.shell.serve(o.process.operator, request, func(r *response) { reply(r.status) })
}

// Read reads the newest configuration.
func (o *operatorAPI) Read(reply func(status int, body []byte)) {
	request := o.request(http.MethodGet, "read")
	setBody(request, nil)
	o.process.shell.serve(o.process.operator, request, func(r *response) { reply(r.status, r.body.Bytes()) })
}

func (o *operatorAPI) request(method, verb string) *http.Request {
	return &http.Request{Method: method, Host: o.process.machine.Name, URL: &url.URL{Path: "/v1/configuration/" + verb},
		Header: http.Header{}}
}
