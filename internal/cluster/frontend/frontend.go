// Package frontend is the role that clients send their requests to. A frontend finds the queue of a request in the newest
// configuration that it has and sends the request to the owner of the queue's shard. Each request gets one response, in the
// time that the client waits if that is long enough.
//
// Invariants, with the fault that each is for:
//
//   - A final error or a count is correct by each version of the configuration that was acknowledged Bounds.ConfigApply or
//     longer before the request arrived. For 410 (the job is unknown) this holds for each version that was acknowledged
//     before the request arrived. A frontend may not have received the newest version, as when the network is partitioned.
//     If a version that it doesn't have could make the response wrong, the request waits for a confirmation that there is
//     none. Without a confirmation the response is 503.
//   - A submission carries the version of the configuration that the frontend has used to choose the queue. The owner
//     rejects the submission if it has that version or a newer one, and the queue belongs to another service there (Stale).
//     It also rejects the submission if its shard has promised by that version not to accept the job (Moved).
//   - No job is accepted by two shards. A client may submit a job again after the queue has moved. Before a job is submitted
//     to the current shard of its queue, each earlier shard has answered that it doesn't have the job, and has promised
//     never to accept it (protocol.FenceRequest).
//   - After 410 to a cancel, no shard ever accepts the job: all have promised it (protocol.EveryVersion). After any other
//     error some shards may have promised it, so that a later submission is rejected, but the client can't rely on that.
//   - After 429 and 503, which ask the client to retry, the job was certainly not accepted. If that is unknown, the response
//     is 504.
//
// A frontend stores no jobs, and writes no state to disk.
package frontend

import (
	"context"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Directory knows how recently the owner of the configuration has confirmed that this process has the newest version.
// Several goroutines may use it at once.
type Directory interface {
	// Fresh reports whether a confirmation says that this process's version was the newest at a time at most maxAge ago.
	Fresh(maxAge time.Duration) bool
	// ConfirmedSince reports whether a confirmation says that this process's version was the newest at that time or later.
	ConfirmedSince(at time.Time) bool
	// Refresh requests a confirmation from the owner of the configuration, and returns without waiting for it. It has no
	// effect on a watch that was sent a moment ago.
	Refresh()
}

// Owners calls the owners of shards. A call returns when its ctx ends, or before. Its errors have a kind of package failure;
// the kind is UnknownOutcome if any attempt of the call may have taken effect. Several goroutines may use it at once.
type Owners interface {
	Submit(ctx context.Context, request *protocol.SubmitRequest) (*protocol.SubmitResponse, error)
	Fence(ctx context.Context, request *protocol.FenceRequest) (*protocol.FenceResponse, error)
	Status(ctx context.Context, request *protocol.StatusRequest) (*protocol.StatusResponse, error)
	Cancel(ctx context.Context, request *protocol.CancelRequest) (*protocol.CancelResponse, error)
	Pending(ctx context.Context, request *protocol.PendingRequest) (*protocol.PendingResponse, error)
}

// Route is the configuration of one queue.
type Route struct {
	Queue   protocol.Queue
	Timeout time.Duration      // bounds the time from a request to its response; 0: defaultTimeout
	Shards  []protocol.ShardID // shard of the queue's service, then the shards of its earlier services, without duplicates
}

// Table maps requests to queues. It never changes, and several goroutines may use it at once.
type Table interface {
	// Lookup returns the route of that host with the longest path prefix that path begins with, and the rest of path
	// after that prefix. ok is false if there is no such route.
	Lookup(host, path string) (route *Route, rest string, ok bool)
}

// Limits are the configuration's limits for clients' connections. 0 means the default.
type Limits struct {
	MaxHeaderBytes int           // size of a request's head
	MaxBodyBytes   int64         // size of a request's body
	HeaderTimeout  time.Duration // bounds the time until a request's head has arrived
	IdleTimeout    time.Duration // time after which a connection without requests is closed
}

// Default values of Limits.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 256 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 30 * time.Second
)

// orDefaults returns the limits with the default for each that isn't set.
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

// View is one version of the configuration in the form that requests need. It never changes.
type View struct {
	Version uint64 // version of the configuration
	Table   Table
	Limits  Limits
}

// maxBodyBytes returns the limit for the body of a request, in bytes.
func (v *View) maxBodyBytes() int64 { return v.Limits.orDefaults().MaxBodyBytes }
