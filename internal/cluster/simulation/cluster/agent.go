package cluster

import (
	"net/http"
	"net/url"

	"ospreypond/internal/cluster/agent"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// agentProcess is one incarnation of the shipped agent process, without its sockets. It implements simulation.Agent.
type agentProcess struct {
	harness *harness
	process *agent.Process
}

// newAgent starts an incarnation of the agent of a machine.
func newAgent(c *Cluster, m *simulation.Machine) *agentProcess {
	h := c.newHarness(m)
	a := &agentProcess{harness: h, process: agent.NewProcess(agent.ProcessOptions{
		Client:      caller{h},
		Addresses:   c.seedAddresses(),
		Node:        m.Name,
		Clock:       machineClock{harness: h},
		CallsRunner: c.invocation,
		Dial:        h.dial,
	})}
	h.closeProcess = a.process.Close
	h.run(a.process.Run)
	return a
}

// request sends a runner's request to the agent's HTTP handler and calls done with the response.
func (a *agentProcess) request(instance, verb string, body []byte, done func(*response)) (disconnect func()) {
	request := &http.Request{Method: http.MethodPost, Host: a.harness.machine.Name,
		URL: &url.URL{Path: "/v1/instances/" + instance + "/" + verb}, Header: http.Header{}}
	setBody(request, body)
	return a.harness.serve(a.process, request, done)
}

// Heartbeat sends a runner's heartbeat to the agent.
func (a *agentProcess) Heartbeat(heartbeat *protocol.Heartbeat, reply func(orders *protocol.Orders, err error)) (disconnect func()) {
	return a.request(heartbeat.Instance, "heartbeat", mustJSON(heartbeat), func(r *response) {
		if err := r.err(); err != nil {
			reply(nil, err)
			return
		}
		orders := new(protocol.Orders)
		r.decode(orders)
		reply(orders, nil)
	})
}

// Deregister sends a runner's deregistration to the agent.
func (a *agentProcess) Deregister(service, instance string, reply func(err error)) {
	body := mustJSON(map[string]string{"service": service})
	a.request(instance, "deregister", body, func(r *response) { reply(r.err()) })
}

// err returns nil if the status is 200 OK, and otherwise an error of kind failure.Unavailable.
func (r *response) err() error {
	if r.status == http.StatusOK {
		return nil
	}
	return failure.Newf(failure.Unavailable, "HTTP status %d", r.status)
}
