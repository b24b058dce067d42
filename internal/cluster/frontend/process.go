package frontend

import (
	"context"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/uplink"
)

// ProcessOptions configure a Process.
type ProcessOptions struct {
	Client    directory.Caller
	Addresses []string // internal addresses of the control processes to start from
	Node      string   // this machine's name
	Zone      string   // of this machine
	Bounds    Bounds
	Clock     clockwork.Clock // nil: the real one
	Logger    log.Logger      // nil: none
}

// Process is a frontend without sockets of its own: it serves clients' requests as an http.Handler and follows the
// configuration and the owners of shards. The frontend's program, programs that submit jobs by themselves and the
// simulation are built from it.
type Process struct {
	*Service
	Known *directory.Directory // what is known of the configuration and of the owners of shards
}

// NewProcess returns a Process. Run must be called for it to serve.
func NewProcess(options ProcessOptions) *Process {
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	views := NewViews()
	known := uplink.NewDirectory(directory.Options{
		Client:          options.Client,
		Zone:            options.Zone,
		Seeds:           options.Addresses,
		Node:            options.Node,
		Clock:           options.Clock,
		Logger:          options.Logger,
		Wait:            maxWatchWait(options.Bounds.ConfigApply),
		OnConfiguration: (&configurationApplier{views: views, logger: options.Logger}).apply,
	})
	service := NewService(Options{
		Directory: confirmedDirectory{known, views},
		Owners:    owners{known},
		Views:     views,
		Bounds:    options.Bounds,
		Clock:     options.Clock,
	})
	return &Process{Service: service, Known: known}
}

// Run follows the configuration and the owners of shards until ctx ends.
func (p *Process) Run(ctx context.Context) { p.Known.Run(ctx) }
