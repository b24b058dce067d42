package frontend

import (
	"context"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/directory"
)

// RelayOptions are what a Relay is made of.
type RelayOptions struct {
	Client    directory.Caller
	Addresses []string // internal addresses of control processes to begin at
	Node      string   // this machine's name
	Bounds    Bounds
	Clock     clockwork.Clock // nil: the real one
	Logger    log.Logger      // nil: none
}

// Relay answers clients' requests as a frontend does, without listening: a frontend's process, a program that hands jobs
// in by itself and the simulation are made of it.
type Relay struct {
	*Service
	Known *directory.Directory // what is known of the configuration and of shards' owners
}

// NewRelay returns a Relay. It needs Run.
func NewRelay(options RelayOptions) *Relay {
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	views := NewViews()
	known := directory.New(directory.Options{
		Client:          options.Client,
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
	return &Relay{Service: service, Known: known}
}

// Run follows the configuration until ctx ends.
func (r *Relay) Run(ctx context.Context) { r.Known.Run(ctx) }
