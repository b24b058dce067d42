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
	Client        directory.Caller
	Addresses     []string        // internal addresses of the control processes to call first; others are learned from them
	Node          string          // name of this machine
	Zone          string          // zone of this machine
	Relay         string          // internal address at which this process relays calls; empty: it relays none
	Service       string          // service of the runner on this machine; empty: unknown
	CallsRunner   bool            // the agent calls the runner (boot.CommandsInvocation)
	RunnerAddress string          // ip:port at which the agent calls the runner; empty: the address in the runner's heartbeats
	Dial          Dial            // connects to the runner; nil: by TCP
	Clock         clockwork.Clock // nil: the real clock
	Logger        log.Logger
}

// Process is an agent that opens no listeners: it serves a runner's requests as an http.Handler and finds the owners of
// shards. Both the agent's program and the simulation use it.
type Process struct {
	*Service
	Known *directory.Directory // the known owners of shards
}

// NewProcess returns a Process. The caller must call Run, so that the process learns the owners, and Close at the end.
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
		Owners:        owners{known},
		Service:       options.Service,
		Clock:         options.Clock,
		CallsRunner:   options.CallsRunner,
		RunnerAddress: options.RunnerAddress,
		Dial:          options.Dial,
	})
	return &Process{Service: service, Known: known}
}

// Run keeps the owners of shards up to date until ctx ends.
func (p *Process) Run(ctx context.Context) { p.Known.Run(ctx) }

// owners implements Owners by a directory.
type owners struct{ *directory.Directory }

// Heartbeat sends a heartbeat to the owner. The directory doesn't repeat it after an attempt without a response: callOwner
// does, after it has checked for a successor.
func (o owners) Heartbeat(ctx context.Context, r *protocol.HeartbeatRequest) (*protocol.HeartbeatResponse, error) {
	return directory.Call[protocol.HeartbeatRequest, protocol.HeartbeatResponse](ctx, o.Directory, r.Shard, r, false)
}

// Deregister tells the owner that the runner is about to end. The directory may repeat the call, because it is idempotent.
func (o owners) Deregister(ctx context.Context, r *protocol.DeregisterRequest) (*protocol.DeregisterResponse, error) {
	return directory.Call[protocol.DeregisterRequest, protocol.DeregisterResponse](ctx, o.Directory, r.Shard, r, true)
}
