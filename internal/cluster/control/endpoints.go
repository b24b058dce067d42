package control

import (
	"fmt"
	"reflect"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/transport"
)

// endpoint serves requests of one type.
type endpoint struct {
	request  reflect.Type
	register func(server *transport.Server)
	handle   func(from string, request any, reply func(response any, err error))
}

// newEndpoint returns an endpoint that serves requests with f. f must call reply once for each request. It may do so after
// it has returned, in any order of the requests and from any goroutine.
func newEndpoint[Req, Resp any](f func(from string, request *Req, reply func(*Resp, error))) endpoint {
	return endpoint{
		request:  reflect.TypeFor[*Req](),
		register: func(server *transport.Server) { transport.HandleAsync(server, f) },
		handle: func(from string, request any, reply func(any, error)) {
			f(from, request.(*Req), func(response *Resp, err error) {
				if err != nil {
					reply(nil, err)
					return
				}
				reply(response, nil)
			})
		},
	}
}

// newEndpoints returns the endpoints of all requests that a control process serves: requests of frontends, agents, other
// control processes and the operator's commands.
func (c *Control) newEndpoints() []endpoint {
	a := newAdministrator(c)
	return []endpoint{
		newEndpoint(c.ping),
		newEndpoint(c.heartbeat),
		newEndpoint(c.deregister),
		newEndpoint(c.submit),
		newEndpoint(c.status),
		newEndpoint(c.cancel),
		newEndpoint(c.fence),
		newEndpoint(c.pending),
		newEndpoint(c.watch),
		newEndpoint(c.configure),
		newEndpoint(c.readConfiguration),
		newEndpoint(a.report),
		newEndpoint(a.runners),
		newEndpoint(a.jobs),
		newEndpoint(a.snapshot),
		newEndpoint(a.digest),
		newEndpoint(a.resign),
	}
}

// register registers all endpoints, and the receipt of envelopes of other control processes, with a server.
func (c *Control) register(server *transport.Server) {
	transport.HandleOneWay(server, func(_ string, envelope *replica.Envelope) { c.Receive(envelope) })
	for i := range c.endpoints {
		c.endpoints[i].register(server)
	}
}

// Handle serves a request as if it came over the network from the process named from. request must be a pointer to a request
// type of newEndpoints. Handle calls reply once, with a pointer to the response or with an error. Replies to several
// requests may come in any order and from any goroutine.
func (c *Control) Handle(from string, request any, reply func(response any, err error)) {
	requested := reflect.TypeOf(request)
	for i := range c.endpoints {
		if c.endpoints[i].request == requested {
			c.endpoints[i].handle(from, request, reply)
			return
		}
	}
	reply(nil, failure.New(failure.Invalid, fmt.Sprintf("no endpoint serves requests of type %v", requested)))
}
