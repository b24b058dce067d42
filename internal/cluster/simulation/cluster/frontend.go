package cluster

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ospreypond/internal/cluster/frontend"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// frontendProcess is one incarnation of a frontend: the shipped one, without its sockets. It implements
// simulation.Frontend.
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

// request sends a client's request to the frontend. An empty id means the queue itself.
func (f *frontendProcess) request(method string, queue simulation.QueueName, id string, body []byte, timeout time.Duration,
	done func(*response)) (disconnect func()) {
	request := &http.Request{
		Method: method, Host: queue.Host, URL: &url.URL{Path: queue.Prefix + id},
		Header: http.Header{frontend.DeadlineHeader: {strconv.FormatInt(timeout.Milliseconds(), 10)}},
	}
	setBody(request, body)
	return f.shell.serve(f.process, request, done)
}

// Submit submits a job.
func (f *frontendProcess) Submit(queue simulation.QueueName, id string, job *protocol.JobSpec, timeout time.Duration,
	reply func(status int)) (disconnect func()) {
	return f.request(http.MethodPost, queue, id, mustJSON(job), timeout, func(r *response) { reply(r.status) })
}

// State queries a job's state.
func (f *frontendProcess) State(queue simulation.QueueName, id string, timeout time.Duration,
	reply func(status int, state string)) (disconnect func()) {
	return f.request(http.MethodGet, queue, id, nil, timeout, func(r *response) {
		var job struct {
			State string `json:"state"`
		}
		r.decode(&job)
		reply(r.status, job.State)
	})
}

// Cancel cancels a job.
func (f *frontendProcess) Cancel(queue simulation.QueueName, id string, timeout time.Duration,
	reply func(status int)) (disconnect func()) {
	return f.request(http.MethodDelete, queue, id, nil, timeout, func(r *response) { reply(r.status) })
}

// CountPending queries how many jobs of a queue have not ended.
func (f *frontendProcess) CountPending(queue simulation.QueueName, timeout time.Duration,
	reply func(status int, pending int)) (disconnect func()) {
	return f.request(http.MethodGet, queue, "", nil, timeout, func(r *response) {
		var count struct {
			Pending int `json:"pending"`
		}
		r.decode(&count)
		reply(r.status, count.Pending)
	})
}
