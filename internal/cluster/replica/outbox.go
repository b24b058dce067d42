package replica

import "ospreypond/internal/cluster/consensus"

// outbox gathers what a turn sends: one envelope for each address.
type outbox struct {
	engine *Engine
	mail   []mail
}

type mail struct {
	address  string
	envelope *Envelope
}

func newOutbox(e *Engine) *outbox { return &outbox{engine: e} }

// message adds a message. One for a member whose address is not known is lost.
func (o *outbox) message(message *consensus.Message) {
	address := o.engine.peers.address(message.To)
	if address == "" || message.To == o.engine.self.ID {
		return
	}
	envelope := o.to(address)
	envelope.Messages = append(envelope.Messages, *message)
}

// join adds a wish to join.
func (o *outbox) join(address string, join Join) {
	envelope := o.to(address)
	envelope.Joins = append(envelope.Joins, join)
}

// leave adds a request to be let go.
func (o *outbox) leave(address string, leave Leave) {
	envelope := o.to(address)
	envelope.Leaves = append(envelope.Leaves, leave)
}

// release adds the word that a member may leave.
func (o *outbox) release(address string, release Release) {
	if address == "" {
		return
	}
	envelope := o.to(address)
	envelope.Releases = append(envelope.Releases, release)
}

func (o *outbox) to(address string) *Envelope {
	for i := range o.mail {
		if o.mail[i].address == address {
			return o.mail[i].envelope
		}
	}
	envelope := &Envelope{From: o.engine.self.ID, Address: o.engine.self.Address}
	o.mail = append(o.mail, mail{address: address, envelope: envelope})
	return envelope
}

// flush sends everything.
func (o *outbox) flush() {
	reluctant := o.engine.reluctant()
	for i := range o.mail {
		o.mail[i].envelope.Reluctant = reluctant
		o.engine.options.Sender.Send(o.mail[i].address, o.mail[i].envelope)
	}
	clear(o.mail)
	o.mail = o.mail[:0]
}
