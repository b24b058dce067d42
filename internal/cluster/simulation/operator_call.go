package simulation

import (
	"fmt"
	"net/http"
	"time"
)

// submit sends a change, repeatedly until there is a final response or maxOperatorAttempts are made.
func (o *Operator) submit(c *change) {
	o.inFlight++
	o.attempt(c, nil)
}

// attempt sends a change once. It draws a second time if the first draw is the machine of the last attempt.
func (o *Operator) attempt(c *change, last *Machine) {
	machine := Pick(o.World, o.Controls)
	if machine == last {
		machine = Pick(o.World, o.Controls)
	}
	record := c.record
	record.Attempts = append(record.Attempts, Attempt{Machine: machine.Name, Incarnation: machine.incarnation, Sent: o.World.now,
		Answered: Never})
	number := len(record.Attempts) - 1
	isFinished := false
	finish := func(status int) {
		if !isFinished {
			isFinished = true
			o.resolve(c, machine, status)
		}
	}
	hasDisconnected, disconnect := false, func() {}
	o.World.After(operatorTimeout, func() {
		if isFinished {
			return
		}
		finish(noResponse)
		o.World.After(o.delay(), func() {
			hasDisconnected = true
			disconnect()
		})
	})
	o.reach(machine, func(control ControlAPI, incarnation int) {
		clientLeft := control.Configure(c.kind, fmt.Sprint(record.Base), []byte(record.Body), func(status int) {
			if machine.incarnation != incarnation || hasDisconnected {
				return
			}
			o.sendReply(record, number, machine, status, finish)
		})
		disconnect = func() { machine.inIncarnation(incarnation, clientLeft) }
		if hasDisconnected {
			clientLeft() // the operator disconnected while the machine was frozen
		}
	}, func() { finish(noResponse) })
}

// sendReply sends a machine's response to an attempt to the operator. A response that is lost on its way is recorded as
// well, because it shows how the machine handled the change. The operator does not receive it and sends the change again
// after the timeout.
func (o *Operator) sendReply(record *ConfigurationRecord, number int, machine *Machine, status int, finish func(status int)) {
	if status == http.StatusOK && o.OnAcknowledged != nil {
		o.OnAcknowledged(machine)
	}
	o.World.After(o.delay(), func() {
		attempt := &record.Attempts[number]
		if attempt.isAnswered() {
			return
		}
		attempt.Answered, attempt.Status = o.World.now, status
		attempt.ReplyLost = o.World.Chance(o.AckLossFraction)
		if status == http.StatusOK && record.Acknowledged == Never {
			record.Acknowledged = o.World.now
		}
		if !attempt.ReplyLost {
			finish(status)
		}
	})
}

// resolve ends a change after a final response or maxOperatorAttempts, or else sends it again after a backoff.
func (o *Operator) resolve(c *change, by *Machine, status int) {
	attempts := len(c.record.Attempts)
	if status == http.StatusOK || isFinalRejection(status) || attempts >= maxOperatorAttempts {
		o.inFlight--
		if status == http.StatusOK && !c.record.Invalid && (o.current == nil || c.result.Version > o.current.Version) {
			o.current = c.result
			o.version = max(o.version, c.result.Version)
		}
		return
	}
	backoff := o.World.Between(50*time.Millisecond, 200*time.Millisecond+50*time.Millisecond*time.Duration(min(attempts, 6)))
	o.World.After(backoff, func() { o.attempt(c, by) })
}

// ReadBack reads the configuration at drawn control machines, repeatedly until a time, and records each successful read.
func (o *Operator) ReadBack(until time.Duration) {
	if o.World.now > until {
		return
	}
	machine := Pick(o.World, o.Controls)
	isFinished := false
	next := func() {
		if !isFinished {
			isFinished = true
			o.World.After(o.World.Between(100*time.Millisecond, 300*time.Millisecond), func() { o.ReadBack(until) })
		}
	}
	o.World.After(operatorTimeout, next)
	o.reach(machine, func(control ControlAPI, incarnation int) {
		control.Read(func(status int, body []byte) {
			if machine.incarnation != incarnation {
				return
			}
			o.World.After(o.delay(), func() {
				if status == http.StatusOK {
					o.History.ReadBacks = append(o.History.ReadBacks, ReadBack{At: o.World.now, Body: Canonical(body)})
				}
				next()
			})
		})
	}, next)
}

// reach calls a control machine. Partitions do not affect the operator's calls. refused is called if no process is listening
// there.
func (o *Operator) reach(machine *Machine, call func(control ControlAPI, incarnation int), refused func()) {
	o.World.After(o.delay(), func() {
		control := o.Control(machine)
		if control == nil {
			o.World.After(o.delay(), refused)
			return
		}
		incarnation := machine.incarnation
		machine.inIncarnation(incarnation, func() { call(control, incarnation) })
	})
}

// delay draws the time that a message takes between the operator and a machine.
func (o *Operator) delay() time.Duration { return o.World.Between(ClientDelay, 2*ClientDelay) }
