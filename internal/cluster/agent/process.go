package agent

import (
	"context"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/relay"
)

// ProcessOptions are what a Process is made of.
type ProcessOptions struct {
	Client    directory.Caller
	Addresses []string // internal addresses of control processes to begin at
	Node      string   // this machine's name
	Zone      string   // of this machine
	Relay     string   // internal address at which this process relays calls; empty: it does not
	Service   string   // of the runner on this machine; empty: unknown
	Calls     bool     // the runner is called, instead of answered
	App       string   // where it is called; empty: at the address in its heartbeats
	Dial      Dial     // connects to it; nil: by TCP
	Clock     clockwork.Clock
	Logger    log.Logger
}

// Process carries a runner's calls as an agent does, without listening: an agent's process and the simulation are made of
// it.
type Process struct {
	*Service
	Known *directory.Directory // what is known of shards' owners
}

// NewProcess returns a Process. It needs Run.
func NewProcess(options ProcessOptions) *Process {
	paths := relay.NewCaller(options.Client, options.Clock)
	known := directory.New(directory.Options{
		Client:   paths,
		OnRelays: paths.SetRelays,
		Seeds:    options.Addresses,
		Node:     options.Node,
		Zone:     options.Zone,
		Relay:    options.Relay,
		Clock:    options.Clock,
		Logger:   options.Logger,
		Wait:     watchWait,
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

// Run follows the shards' owners until ctx ends.
func (r *Process) Run(ctx context.Context) { r.Known.Run(ctx) }

// owners carries messages by a directory.
type owners struct{ *directory.Directory }

// Heartbeat carries a heartbeat. An attempt without an answer isn't repeated here, so that it is known whose answer
// comes back.
func (o owners) Heartbeat(ctx context.Context, r *protocol.HeartbeatRequest) (*protocol.HeartbeatResponse, error) {
	return directory.Call[protocol.HeartbeatRequest, protocol.HeartbeatResponse](ctx, o.Directory, r.Shard, r, false)
}

// Deregister tells of a planned end.
func (o owners) Deregister(ctx context.Context, r *protocol.DeregisterRequest) (*protocol.DeregisterResponse, error) {
	return directory.Call[protocol.DeregisterRequest, protocol.DeregisterResponse](ctx, o.Directory, r.Shard, r, true)
}
