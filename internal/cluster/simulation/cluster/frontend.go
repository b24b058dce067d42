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

// frontendProcess is one incarnation of the shipped frontend process, without its sockets. It implements
// simulation.Frontend.
type frontendProcess struct {
	harness *harness
	process *frontend.Process
}

// newFrontend starts an incarnation of the frontend of a machine.
func newFrontend(c *Cluster, m *simulation.Machine) *frontendProcess {
	h := c.newHarness(m)
	bounds := c.deployment.History.Bounds
	f := &frontendProcess{harness: h, process: frontend.NewProcess(frontend.ProcessOptions{
		Client:    caller{h},
		Addresses: c.seedAddresses(),
		Node:      m.Name,
		Bounds:    frontend.Bounds{ConfigApply: bounds.ConfigApply, MaxSkew: bounds.MaxSkew},
		Clock:     machineClock{harness: h},
	})}
	h.run(f.process.Run)
	return f
}

// request sends a client's request about the job with that id to the frontend's HTTP handler and calls done with the
// response. With an empty id the request is about the queue.
func (f *frontendProcess) request(method string, queue simulation.QueueName, id string, body []byte, timeout time.Duration,
	done func(*response)) (disconnect func()) {
	request := &http.Request{
		Method: method, Host: queue.Host, URL: &url.URL{Path: queue.Prefix + id},
		Header: http.Header{frontend.DeadlineHeader: {strconv.FormatInt(timeout.Milliseconds(), 10)}},
	}
	setBody(request, body)
	return f.harness.serve(f.process, request, done)
}

// Submit submits a job to a queue.
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

// CountPending queries the number of jobs in a queue that have not ended.
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
