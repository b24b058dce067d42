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
	Addresses []string // internal addresses of the control processes to call first; others are learned from them
	Node      string   // name of this machine
	Zone      string   // zone of this machine
	Bounds    Bounds
	Clock     clockwork.Clock // nil: the real clock
	Logger    log.Logger      // nil: no log
}

// Process is a frontend that opens no listeners: it serves clients' requests as an http.Handler, and keeps the configuration
// and the owners of shards up to date. The frontend's program, programs that submit jobs without a frontend, and the
// simulation use it.
type Process struct {
	*Service
	Known *directory.Directory // the known version of the configuration and the known owners of shards
}

// NewProcess returns a Process. It has no configuration, and so can't serve, before Run is called.
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

// Run keeps the configuration and the owners of shards up to date until ctx ends.
func (p *Process) Run(ctx context.Context) { p.Known.Run(ctx) }
