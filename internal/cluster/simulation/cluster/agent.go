package cluster

import (
	"bytes"
	"net/http"
	"net/url"

	"ospreypond/internal/cluster/agent"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// agentProcess is one life of an agent: the shipped one, without its sockets.
type agentProcess struct {
	shell   *shell
	process *agent.Process
}

func newAgent(c *Cluster, m *simulation.Machine) *agentProcess {
	s := c.newShell(m)
	a := &agentProcess{shell: s, process: agent.NewProcess(agent.ProcessOptions{
		Client:    caller{s},
		Addresses: c.seedAddresses(),
		Node:      m.Name,
		Clock:     shellClock{shell: s},
		Calls:     c.invocation,
		Dial:      s.dial,
	})}
	s.closeProcess = a.process.Close
	s.run(a.process.Run)
	return a
}

// request sends the agent a runner's request.
func (a *agentProcess) request(instance, verb string, body []byte, answered func(*response)) (left func()) {
	return a.shell.serve(a.process, &http.Request{
		Method: http.MethodPost, Host: a.shell.machine.Name, URL: &url.URL{Path: "/v1/instances/" + instance + "/" + verb},
		Header: http.Header{}, Body: reader{bytes.NewReader(body)}, ContentLength: int64(len(body)),
	}, answered)
}

// Heartbeat carries a runner's heartbeat to the owner.
func (a *agentProcess) Heartbeat(beat *protocol.Heartbeat, reply func(orders *protocol.Orders, err error)) (left func()) {
	return a.request(beat.Instance, "heartbeat", mustJSON(beat), func(told *response) {
		if err := told.err(); err != nil {
			reply(nil, err)
			return
		}
		orders := new(protocol.Orders)
		told.decode(orders)
		reply(orders, nil)
	})
}

// Deregister carries a runner's planned end to the owner.
func (a *agentProcess) Deregister(service, instance string, reply func(err error)) {
	body := mustJSON(map[string]string{"service": service})
	a.request(instance, "deregister", body, func(told *response) { reply(told.err()) })
}

// err is the error that an answer other than a success stands for.
func (a *response) err() error {
	if a.status == http.StatusOK {
		return nil
	}
	return failure.Newf(failure.Unavailable, "answered with %d", a.status)
}
