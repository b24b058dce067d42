package simulation

import (
	"net/http"
	"time"
)

// ConfigurationRead is one read of the configuration during a scenario.
type ConfigurationRead struct {
	Machine  string
	Sent     time.Duration
	Answered time.Duration // Never: there was no response
	Status   int
	Version  int64
	Body     string // canonical JSON
}

// Observer queries the states of jobs and reads the configuration throughout a scenario, at whatever frontend or control
// machine, so that the history shows much of what was served. The states are in the jobs' records.
type Observer struct {
	Reads []*ConfigurationRead

	deployment *Deployment
	until      time.Duration
}

const (
	stateQueryInterval        = 40 * time.Millisecond
	configurationReadInterval = 60 * time.Millisecond
	maxObservedJobs           = 6 // the newest
)

// Observe has a deployment observed from a time until another. It must be called before Deployment.Play.
func Observe(d *Deployment, from, until time.Duration) *Observer {
	o := &Observer{deployment: d, until: until}
	d.World.At(from, o.queryStates)
	d.World.At(from, o.readConfiguration)
	return o
}

// queryStates queries the state of one of the newest jobs, again and again.
func (o *Observer) queryStates() {
	w := o.deployment.World
	if w.now >= o.until {
		return
	}
	jobs := o.deployment.History.JobOrder
	if newest := jobs[max(0, len(jobs)-maxObservedJobs):]; len(newest) > 0 {
		o.deployment.Clients.QueryState(Pick(w, newest), nil)
	}
	w.After(w.Between(stateQueryInterval/2, 2*stateQueryInterval), o.queryStates)
}

// readConfiguration reads the configuration, again and again.
func (o *Observer) readConfiguration() {
	w, operator := o.deployment.World, o.deployment.Operator
	if w.now >= o.until {
		return
	}
	o.Reads = append(o.Reads, operator.ReadAt(Pick(w, operator.Controls)))
	w.After(w.Between(configurationReadInterval/2, 2*configurationReadInterval), o.readConfiguration)
}

// ReadAt reads the configuration once at a machine. The result is filled in when the response arrives.
func (o *Operator) ReadAt(machine *Machine) *ConfigurationRead {
	read := &ConfigurationRead{Machine: machine.Name, Sent: o.World.now, Answered: Never}
	o.reach(machine, func(control ControlAPI, incarnation int) {
		control.Read(func(status int, body []byte) {
			if machine.incarnation == incarnation {
				o.World.After(o.delay(), func() { read.receive(o.World.now, status, body) })
			}
		})
	}, func() {})
	return read
}

func (r *ConfigurationRead) receive(now time.Duration, status int, body []byte) {
	r.Answered, r.Status = now, status
	if status == http.StatusOK {
		r.Body = Canonical(body)
		if version, ok := versionOf(string(body)); ok {
			r.Version = version
		}
	}
}
