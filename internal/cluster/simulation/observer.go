package simulation

import (
	"encoding/json"
	"time"
)

// ConfigurationRead is one reading of the configuration during a day.
type ConfigurationRead struct {
	Machine  string
	Sent     time.Duration
	Answered time.Duration // Never: silence
	Status   int
	Version  int64
	Body     string // canonical JSON
}

// Observer asks for jobs' states and for the configuration all day long, at whatever frontend or control machine, so
// that the histories of a day say much about what was served. The states are in the jobs' records.
type Observer struct {
	deployment *Deployment
	until      time.Duration
	Reads      []*ConfigurationRead
}

// Times of an Observer.
const (
	stateQueryInterval        = 40 * time.Millisecond // a question for a state
	configurationReadInterval = 60 * time.Millisecond // a reading of the configuration
	maxObservedJobs           = 6                     // states are asked of so many of the newest jobs
)

// Observe has a deployment observed from a time on until another.
func Observe(d *Deployment, from, until time.Duration) *Observer {
	o := &Observer{deployment: d, until: until}
	d.World.At(from, o.queryStates)
	d.World.At(from, o.readConfiguration)
	return o
}

// queryStates asks for the state of one of the newest jobs, again and again.
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
	o.Reads = append(o.Reads, ReadAt(operator, Pick(w, operator.Controls)))
	w.After(w.Between(configurationReadInterval/2, 2*configurationReadInterval), o.readConfiguration)
}

// ReadAt has the operator read the configuration at a machine, once.
func ReadAt(operator *Operator, machine *Machine) *ConfigurationRead {
	w := operator.World
	read := &ConfigurationRead{Machine: machine.Name, Sent: w.now, Answered: Never}
	operator.reach(machine, func(control ControlAPI, life int) {
		control.Read(func(status int, body []byte) {
			if machine.incarnation == life {
				w.After(operator.delay(), func() { read.take(w.now, status, body) })
			}
		})
	}, func() {})
	return read
}

func (r *ConfigurationRead) take(now time.Duration, status int, body []byte) {
	r.Answered, r.Status = now, status
	if status != 200 {
		return
	}
	r.Body = Canonical(body)
	var head struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(body, &head); err == nil {
		r.Version = head.Version
	}
}
