package replica

import "ospreypond/internal/cluster/consensus"

// outbox collects the messages, requests and approvals of a step, in one envelope for each address. flush sends the
// envelopes at the end of the step.
type outbox struct {
	engine  *Engine
	pending []addressedEnvelope
}

type addressedEnvelope struct {
	address  string
	envelope *Envelope
}

func newOutbox(e *Engine) *outbox { return &outbox{engine: e} }

// addMessage adds a message to another member. It drops the message if the member's address is unknown.
func (o *outbox) addMessage(message *consensus.Message) {
	address := o.engine.peers.address(message.To)
	if address == "" || message.To == o.engine.self.ID {
		return
	}
	envelope := o.envelopeFor(address)
	envelope.Messages = append(envelope.Messages, *message)
}

// addJoin adds a request to join.
func (o *outbox) addJoin(address string, join Join) {
	envelope := o.envelopeFor(address)
	envelope.Joins = append(envelope.Joins, join)
}

// addDecommissionRequest adds a request for the decommission of this process.
func (o *outbox) addDecommissionRequest(address string, request DecommissionRequest) {
	envelope := o.envelopeFor(address)
	envelope.Leaves = append(envelope.Leaves, request)
}

// addApproval adds the approval of another member's decommission. It drops the approval if the address is empty, which
// stands for an unknown address.
func (o *outbox) addApproval(address string, approval DecommissionApproval) {
	if address == "" {
		return
	}
	envelope := o.envelopeFor(address)
	envelope.Releases = append(envelope.Releases, approval)
}

// envelopeFor returns this step's envelope to an address. It creates a missing envelope.
func (o *outbox) envelopeFor(address string) *Envelope {
	for i := range o.pending {
		if o.pending[i].address == address {
			return o.pending[i].envelope
		}
	}
	envelope := &Envelope{From: o.engine.self.ID, Address: o.engine.self.Address}
	o.pending = append(o.pending, addressedEnvelope{address: address, envelope: envelope})
	return envelope
}

// flush sends all envelopes, and states in each whether this process avoids leadership.
func (o *outbox) flush() {
	avoidsLeadership := o.engine.avoidsLeadership()
	for i := range o.pending {
		o.pending[i].envelope.Reluctant = avoidsLeadership
		o.engine.options.Sender.Send(o.pending[i].address, o.pending[i].envelope)
	}
	clear(o.pending)
	o.pending = o.pending[:0]
}
