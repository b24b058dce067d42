// Package frontend is the role that clients talk to. It finds a request's queue by the configuration in force, carries the
// request to the owner of the queue's shard, and responds to each request once and in time.
//
// A final error or a count is true by every version of the configuration that was acknowledged Bounds.ConfigApply before
// the request arrived, and 410 (the job is unknown) by every one that was acknowledged before. Where a version that this
// process doesn't know yet could make such a response wrong, the request waits for a confirmation that there is none, and
// without one gets a 503. A submission takes along the version by which its queue was chosen, which the owner checks. A job
// is never accepted by two shards: before it is submitted to the present shard of its queue, the earlier ones have promised
// not to accept it (protocol.FenceRequest).
// An error that a client may answer by a retry (429, 503) means that the job was certainly not accepted; if that is
// unknown the response is 504.
//
// A frontend stores no jobs and nothing durably.
package frontend

import (
	"context"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Directory knows how recent this process's view of the configuration is. It is used by several goroutines at once.
type Directory interface {
	// Fresh reports whether the owner of the configuration has confirmed, in response to a watch sent at most maxAge ago,
	// that the newest version passed on here is the one in force.
	Fresh(maxAge time.Duration) bool
	// ConfirmedSince reports whether the owner has confirmed that the version passed on here was in force at that time or
	// later.
	ConfirmedSince(at time.Time) bool
	// Refresh asks the owner of the configuration for a confirmation at once, without waiting for it. A watch sent a moment
	// ago is left alone.
	Refresh()
}

// Owners carries requests to the owners of shards. Errors have a kind of package failure. A call ends with its ctx at the
// latest; its error is UnknownOutcome if any of its attempts may have taken effect. It is used by several goroutines at
// once.
type Owners interface {
	Submit(ctx context.Context, request *protocol.SubmitRequest) (*protocol.SubmitResponse, error)
	Fence(ctx context.Context, request *protocol.FenceRequest) (*protocol.FenceResponse, error)
	Status(ctx context.Context, request *protocol.StatusRequest) (*protocol.StatusResponse, error)
	Cancel(ctx context.Context, request *protocol.CancelRequest) (*protocol.CancelResponse, error)
	Pending(ctx context.Context, request *protocol.PendingRequest) (*protocol.PendingResponse, error)
}

// Route is what the configuration says about one queue.
type Route struct {
	Queue   protocol.Queue
	Timeout time.Duration      // bounds a client's call; 0: defaultTimeout
	Shards  []protocol.ShardID // the shard of the queue's service, then those of its earlier services, each once
}

// Table maps requests to queues. It never changes and may be used by several goroutines.
type Table interface {
	// Lookup returns the route with that host and the longest prefix of path, and the rest of path after the prefix. ok is
	// false if there is none.
	Lookup(host, path string) (route *Route, rest string, ok bool)
}

// Limits are those of the configuration for clients' connections. A value of 0 means the default.
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

// orDefaults returns the limits with the defaults filled in.
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

// View is one version of the configuration as requests use it. It never changes.
type View struct {
	Version uint64
	Table   Table
	Limits  Limits
}

// maxBodyBytes returns the limit of a request's body.
func (v *View) maxBodyBytes() int64 { return v.Limits.orDefaults().MaxBodyBytes }
