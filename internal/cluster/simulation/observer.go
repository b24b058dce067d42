package simulation

import (
	"net/http"
	"time"
)

// ConfigurationRead is one read of the configuration at a control machine during a scenario.
type ConfigurationRead struct {
	Machine  string
	Sent     time.Duration
	Answered time.Duration // when the response arrived; Never: none did
	Status   int
	Version  int64  // of the configuration; 0 unless Status is 200
	Body     string // the configuration in canonical JSON; empty unless Status is 200
}

// Observer queries the states of jobs at drawn frontends and reads the configuration at drawn control machines, all through
// a scenario. The more responses there are, the more violations of consistency they can show. The queries of states are in
// JobRecord.Queries.
type Observer struct {
	Reads []*ConfigurationRead

	deployment *Deployment
	until      time.Duration
}

const (
	stateQueryInterval        = 40 * time.Millisecond // each time is drawn from half to twice this interval
	configurationReadInterval = 60 * time.Millisecond // the same
	maxObservedJobs           = 6                     // only so many jobs, the newest ones, are queried
)

// Observe returns an observer that observes a deployment from one time until another. It must be called before
// Deployment.Play.
func Observe(d *Deployment, from, until time.Duration) *Observer {
	o := &Observer{deployment: d, until: until}
	d.World.At(from, o.queryStates)
	d.World.At(from, o.readConfiguration)
	return o
}

// queryStates queries the state of one of the newest jobs, now and at intervals.
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

// readConfiguration reads the configuration, now and at intervals.
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

// receive fills in the response.
func (r *ConfigurationRead) receive(now time.Duration, status int, body []byte) {
	r.Answered, r.Status = now, status
	if status == http.StatusOK {
		r.Body = Canonical(body)
		if version, ok := versionOf(string(body)); ok {
			r.Version = version
		}
	}
}
