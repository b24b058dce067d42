package cluster

import (
	"strconv"
	"time"

	"ospreypond/internal/configuration"
	"ospreypond/internal/failure"
	"ospreypond/internal/protocol"
)

// Times of an order at a control process, as in production.
const (
	orderTime        = 800 * time.Millisecond
	orderAttemptTime = 350 * time.Millisecond
	orderGap         = 50 * time.Millisecond
)

// operatorPort is a control process's interface to the operator, modelled after internal/control.
type operatorPort struct{ process *process }

// Configure passes an order to the owner of the configuration.
func (o *operatorPort) Configure(update bool, base string, body []byte, reply func(status int)) {
	number, err := strconv.ParseUint(base, 10, 64)
	if err != nil || configuration.Readable(body) != nil {
		reply(failure.AnswerTo(failure.Invalid).Status)
		return
	}
	kind := protocol.ConfigurationReplace
	if update {
		kind = protocol.ConfigurationUpdate
	}
	request := &protocol.ConfigureRequest{Kind: kind, Base: number, Body: body}
	o.callOwner(request, func(_ any, err error) { reply(failure.AnswerTo(failure.KindOf(err)).Status) })
}

// Read returns the newest configuration.
func (o *operatorPort) Read(reply func(status int, body []byte)) {
	o.callOwner(&protocol.ReadConfigurationRequest{}, func(response any, err error) {
		if err != nil {
			reply(unread(err), nil)
			return
		}
		reply(200, response.(*protocol.ReadConfigurationResponse).Body)
	})
}

// callOwner tries the owner, here or elsewhere, until it answers clearly or the order's time is over.
func (o *operatorPort) callOwner(request any, done func(any, error)) {
	p := o.process
	until := p.machine.Steady() + orderTime
	var doubt error
	var try func()
	again := func(last error) {
		if failure.KindOf(last) == failure.UnknownOutcome {
			doubt = last
		}
		if p.machine.Steady()+orderGap >= until {
			if doubt != nil {
				last = doubt
			}
			done(nil, last)
			return
		}
		p.machine.After(orderGap, try)
	}
	try = func() {
		settle := func(response any, err error) {
			switch failure.KindOf(err) {
			case failure.NotLeader, failure.Unavailable, failure.UnknownOutcome:
				again(err)
			default:
				done(response, err)
			}
		}
		owner := p.leaderAddress(0)
		if owner == "" {
			again(failure.New(failure.NotLeader, "no owner is known"))
			return
		}
		wait := min(orderAttemptTime, until-p.machine.Steady())
		p.cluster.call(p.machine, owner, request, wait, settle)
	}
	try()
}

// unread is the status of a question: one without an answer has done nothing.
func unread(err error) int {
	if failure.KindOf(err) == failure.UnknownOutcome {
		return failure.AnswerTo(failure.Unavailable).Status
	}
	return failure.AnswerTo(failure.KindOf(err)).Status
}
