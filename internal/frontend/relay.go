package frontend

import (
	"context"

	"github.com/go-kit/log"

	"ospreypond/internal/directory"
)

// Relay answers clients' requests as a frontend does, without listening: for programs that hand jobs in themselves.
type Relay struct {
	*Service
	directory *directory.Directory
}

// NewRelay returns a Relay that begins at the internal addresses of control processes. It needs Run.
func NewRelay(client directory.Caller, addresses []string, node string) *Relay {
	views := NewViews()
	known := directory.New(directory.Options{
		Client:          client,
		Seeds:           addresses,
		Node:            node,
		OnConfiguration: (&documents{views: views, logger: log.NewNopLogger()}).take,
	})
	service := NewService(Options{Directory: confirmed{known, views}, Owners: owners{known}, Views: views})
	return &Relay{Service: service, directory: known}
}

// Run follows the configuration until ctx ends.
func (r *Relay) Run(ctx context.Context) { r.directory.Run(ctx) }
