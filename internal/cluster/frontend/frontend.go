// Package frontend is the role that clients talk to: it picks a request's queue by the configuration in force, carries
// the request to the owner of the queue's shard, and gives each request one final answer in time. It keeps no jobs.
package frontend

import (
	"context"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Directory tells how new this process's knowledge of the configuration is.
type Directory interface {
	// Fresh tells whether the owner of the configuration confirmed, in answer to a question sent at most within ago, that
	// the newest configuration handed over here is the one in force.
	Fresh(within time.Duration) bool
	// ConfirmedSince tells whether the owner confirmed that what was handed over here was in force at some moment not
	// before that time.
	ConfirmedSince(at time.Time) bool
	// Refresh asks the owner of the configuration at once, without waiting for the answer. A question sent a moment ago
	// is left alone.
	Refresh()
}

// Owners carries requests to the owners of shards. Errors carry a kind of package failure. A call ends with its ctx at
// the latest; its error is UnknownOutcome if any of its attempts may have been carried out.
type Owners interface {
	Submit(ctx context.Context, request *protocol.SubmitRequest) (*protocol.SubmitResponse, error)
	Fence(ctx context.Context, request *protocol.FenceRequest) (*protocol.FenceResponse, error)
	Status(ctx context.Context, request *protocol.StatusRequest) (*protocol.StatusResponse, error)
	Cancel(ctx context.Context, request *protocol.CancelRequest) (*protocol.CancelResponse, error)
	Pending(ctx context.Context, request *protocol.PendingRequest) (*protocol.PendingResponse, error)
}

// Route is what the configuration says of one queue.
type Route struct {
	Queue   protocol.Queue
	Timeout time.Duration      // most time that a client's call may take
	Shards  []protocol.ShardID // the shard of the queue's service, then those of its earlier services, each once
}

// Table finds the queue of a request: the route with that host and the longest prefix that path starts with, and the
// rest of path after the prefix. It never changes and may be used by many at once.
type Table interface {
	Lookup(host, path string) (route *Route, rest string, ok bool)
}

// Limits are those of the configuration for clients' connections; what is 0 has a default.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Defaults of Limits.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 256 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 30 * time.Second
)

// orDefaults returns the limits with what is missing filled in.
func (l Limits) orDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// View is one version of the configuration as requests are handled by it.
type View struct {
	Version uint64
	Table   Table
	Limits  Limits
}

// maxBodyBytes is how large a body may be.
func (v *View) maxBodyBytes() int64 { return v.Limits.orDefaults().MaxBodyBytes }
