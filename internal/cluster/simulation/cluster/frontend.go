package cluster

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ospreypond/internal/cluster/frontend"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// frontendPort is one life of a frontend: the shipped one, without its sockets.
type frontendPort struct {
	shell   *shell
	process *frontend.Process
}

func newFrontend(c *Cluster, m *simulation.Machine) *frontendPort {
	s := c.newShell(m)
	bounds := c.deployment.Ledger.Bounds
	f := &frontendPort{shell: s, process: frontend.NewProcess(frontend.ProcessOptions{
		Client:    caller{s},
		Addresses: c.seedAddresses(),
		Node:      m.Name,
		Bounds:    frontend.Bounds{ConfigApply: bounds.ConfigApply, MaxSkew: bounds.MaxSkew},
		Clock:     shellClock{shell: s},
	})}
	s.run(f.process.Run)
	return f
}

// seedAddresses are the addresses of the operator's list.
func (c *Cluster) seedAddresses() []string {
	var addresses []string
	for _, m := range c.seeds() {
		addresses = append(addresses, m.Name)
	}
	return addresses
}

// ask sends the frontend a client's request.
func (f *frontendPort) ask(method string, queue simulation.QueueName, id string, body []byte, deadline time.Duration,
	answered func(*answer)) (left func()) {
	request := &http.Request{
		Method: method, Host: queue.Host, URL: &url.URL{Path: queue.Prefix + id}, ContentLength: int64(len(body)),
		Header: http.Header{frontend.DeadlineHeader: {strconv.FormatInt(deadline.Milliseconds(), 10)}},
		Body:   http.NoBody,
	}
	if len(body) > 0 {
		request.Body = reader{bytes.NewReader(body)}
	}
	return f.shell.serve(f.process, request, answered)
}

// reader is a request's body.
type reader struct{ *bytes.Reader }

// Close does nothing.
func (reader) Close() error { return nil }

// HandIn takes a job.
func (f *frontendPort) HandIn(queue simulation.QueueName, id string, job *protocol.JobSpec, deadline time.Duration,
	reply func(int)) (left func()) {
	return f.ask(http.MethodPost, queue, id, mustJSON(job), deadline, func(a *answer) { reply(a.status) })
}

// State tells a job's state.
func (f *frontendPort) State(queue simulation.QueueName, id string, deadline time.Duration, reply func(int, string)) (left func()) {
	return f.ask(http.MethodGet, queue, id, nil, deadline, func(a *answer) {
		var told struct {
			State string `json:"state"`
		}
		a.read(&told)
		reply(a.status, told.State)
	})
}

// Cancel cancels a job.
func (f *frontendPort) Cancel(queue simulation.QueueName, id string, deadline time.Duration, reply func(int)) (left func()) {
	return f.ask(http.MethodDelete, queue, id, nil, deadline, func(a *answer) { reply(a.status) })
}

// Pending counts a queue's jobs that have not ended.
func (f *frontendPort) Pending(queue simulation.QueueName, deadline time.Duration, reply func(int, int)) (left func()) {
	return f.ask(http.MethodGet, queue, "", nil, deadline, func(a *answer) {
		var told struct {
			Pending int `json:"pending"`
		}
		a.read(&told)
		reply(a.status, told.Pending)
	})
}

// read reads the body of a success.
func (a *answer) read(into any) {
	if a.status != http.StatusOK {
		return
	}
	if err := json.Unmarshal(a.body.Bytes(), into); err != nil {
		panic(err)
	}
}

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
