package frontend

import (
	"context"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/relay"
)

// ProcessOptions are what a Process is made of.
type ProcessOptions struct {
	Client    directory.Caller
	Addresses []string // internal addresses of control processes to begin at
	Node      string   // this machine's name
	Zone      string   // of this machine
	Bounds    Bounds
	Clock     clockwork.Clock // nil: the real one
	Logger    log.Logger      // nil: none
}

// Process answers clients' requests as a frontend does, without listening: a frontend's process, a program that hands jobs
// in by itself and the simulation are made of it.
type Process struct {
	*Service
	Known *directory.Directory // what is known of the configuration and of shards' owners
}

// NewProcess returns a Process. It needs Run.
func NewProcess(options ProcessOptions) *Process {
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	views := NewViews()
	paths := relay.NewCaller(options.Client, options.Clock)
	known := directory.New(directory.Options{
		Client:          paths,
		OnRelays:        paths.SetRelays,
		Zone:            options.Zone,
		Seeds:           options.Addresses,
		Node:            options.Node,
		Clock:           options.Clock,
		Logger:          options.Logger,
		Wait:            watchWait(options.Bounds.ConfigApply),
		OnConfiguration: (&documents{views: views, logger: options.Logger}).take,
	})
	service := NewService(Options{
		Directory: confirmed{known, views},
		Owners:    owners{known},
		Views:     views,
		Bounds:    options.Bounds,
		Clock:     options.Clock,
	})
	return &Process{Service: service, Known: known}
}

// Run follows the configuration until ctx ends.
func (r *Process) Run(ctx context.Context) { r.Known.Run(ctx) }
