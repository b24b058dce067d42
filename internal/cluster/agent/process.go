package agent

import (
	"context"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/uplink"
)

// ProcessOptions configure a Process.
type ProcessOptions struct {
	Client    directory.Caller
	Addresses []string        // internal addresses of the control processes to start from
	Node      string          // this machine's name
	Zone      string          // of this machine
	Relay     string          // internal address at which this process relays calls; empty: it doesn't
	Service   string          // of the runner on this machine; empty: unknown
	Calls     bool            // the runner is called
	App       string          // ip:port at which it is called; empty: at the address in its heartbeats
	Dial      Dial            // connects to it; nil: by TCP
	Clock     clockwork.Clock // nil: the real one
	Logger    log.Logger
}

// Process is an agent without sockets of its own: it serves a runner's calls as an http.Handler and finds the owners of
// shards. The agent's program and the simulation are built from it.
type Process struct {
	*Service
	Known *directory.Directory // what is known of the owners of shards
}

// NewProcess returns a Process. Run must be called for it to learn the owners, and Close at the end.
func NewProcess(options ProcessOptions) *Process {
	known := uplink.NewDirectory(directory.Options{
		Client: options.Client,
		Seeds:  options.Addresses,
		Node:   options.Node,
		Zone:   options.Zone,
		Relay:  options.Relay,
		Clock:  options.Clock,
		Logger: options.Logger,
		Wait:   maxWatchWait,
	})
	service := NewService(Options{
		Owners:  owners{known},
		Service: options.Service,
		Clock:   options.Clock,
		Calls:   options.Calls,
		App:     options.App,
		Dial:    options.Dial,
	})
	return &Process{Service: service, Known: known}
}

// Run follows the owners of shards until ctx ends.
func (p *Process) Run(ctx context.Context) { p.Known.Run(ctx) }

// owners carries messages by a directory.
type owners struct{ *directory.Directory }

// Heartbeat carries a heartbeat. An attempt without a response isn't repeated here, so that it is known whose response
// comes back.
func (o owners) Heartbeat(ctx context.Context, r *protocol.HeartbeatRequest) (*protocol.HeartbeatResponse, error) {
	return directory.Call[protocol.HeartbeatRequest, protocol.HeartbeatResponse](ctx, o.Directory, r.Shard, r, false)
}

// Deregister reports a planned end. It may be repeated: the second report changes nothing.
func (o owners) Deregister(ctx context.Context, r *protocol.DeregisterRequest) (*protocol.DeregisterResponse, error) {
	return directory.Call[protocol.DeregisterRequest, protocol.DeregisterResponse](ctx, o.Directory, r.Shard, r, true)
}
