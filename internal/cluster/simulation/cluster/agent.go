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

// agentPort is one life of an agent: the shipped one, without its sockets.
type agentPort struct {
	shell   *shell
	process *agent.Process
}

func newAgent(c *Cluster, m *simulation.Machine) *agentPort {
	s := c.newShell(m)
	a := &agentPort{shell: s, process: agent.NewProcess(agent.ProcessOptions{
		Client:    caller{s},
		Addresses: c.seedAddresses(),
		Node:      m.Name,
		Clock:     shellClock{shell: s},
		Calls:     c.called,
		Dial:      s.dial,
	})}
	s.close = a.process.Close
	s.run(a.process.Run)
	return a
}

// ask sends the agent a runner's request.
func (a *agentPort) ask(instance, verb string, body []byte, answered func(*answer)) (left func()) {
	return a.shell.serve(a.process, &http.Request{
		Method: http.MethodPost, Host: a.shell.machine.Name, URL: &url.URL{Path: "/v1/instances/" + instance + "/" + verb},
		Header: http.Header{}, Body: reader{bytes.NewReader(body)}, ContentLength: int64(len(body)),
	}, answered)
}

// Heartbeat carries a runner's heartbeat to the owner.
func (a *agentPort) Heartbeat(beat *protocol.Heartbeat, reply func(orders *protocol.Orders, err error)) (left func()) {
	return a.ask(beat.Instance, "heartbeat", mustJSON(beat), func(told *answer) {
		if err := told.refusal(); err != nil {
			reply(nil, err)
			return
		}
		orders := new(protocol.Orders)
		told.read(orders)
		reply(orders, nil)
	})
}

// Deregister carries a runner's planned end to the owner.
func (a *agentPort) Deregister(service, instance string, reply func(err error)) {
	body := mustJSON(map[string]string{"service": service})
	a.ask(instance, "deregister", body, func(told *answer) { reply(told.refusal()) })
}

// refusal is the error that an answer other than a success stands for.
func (a *answer) refusal() error {
	if a.status == http.StatusOK {
		return nil
	}
	return failure.Newf(failure.Unavailable, "answered with %d", a.status)
}
