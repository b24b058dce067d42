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

// frontendProcess is one life of a frontend: the shipped one, without its sockets.
type frontendProcess struct {
	shell   *shell
	process *frontend.Process
}

func newFrontend(c *Cluster, m *simulation.Machine) *frontendProcess {
	s := c.newShell(m)
	bounds := c.deployment.History.Bounds
	f := &frontendProcess{shell: s, process: frontend.NewProcess(frontend.ProcessOptions{
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

// request sends the frontend a client's request.
func (f *frontendProcess) request(method string, queue simulation.QueueName, id string, body []byte, deadline time.Duration,
	answered func(*response)) (left func()) {
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

// Submit takes a job.
func (f *frontendProcess) Submit(queue simulation.QueueName, id string, job *protocol.JobSpec, deadline time.Duration,
	reply func(int)) (left func()) {
	return f.request(http.MethodPost, queue, id, mustJSON(job), deadline, func(a *response) { reply(a.status) })
}

// State tells a job's state.
func (f *frontendProcess) State(queue simulation.QueueName, id string, deadline time.Duration, reply func(int, string)) (left func()) {
	return f.request(http.MethodGet, queue, id, nil, deadline, func(a *response) {
		var told struct {
			State string `json:"state"`
		}
		a.decode(&told)
		reply(a.status, told.State)
	})
}

// Cancel cancels a job.
func (f *frontendProcess) Cancel(queue simulation.QueueName, id string, deadline time.Duration, reply func(int)) (left func()) {
	return f.request(http.MethodDelete, queue, id, nil, deadline, func(a *response) { reply(a.status) })
}

// CountPending counts a queue's jobs that have not ended.
func (f *frontendProcess) CountPending(queue simulation.QueueName, deadline time.Duration, reply func(int, int)) (left func()) {
	return f.request(http.MethodGet, queue, "", nil, deadline, func(a *response) {
		var told struct {
			Pending int `json:"pending"`
		}
		a.decode(&told)
		reply(a.status, told.Pending)
	})
}

// decode reads the body of a success.
func (a *response) decode(into any) {
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
