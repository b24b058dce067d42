package frontend

import (
	"context"

	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/protocol"
)

// owners implements Owners by a directory. The directory may repeat each of the requests, as each takes effect only once.
type owners struct{ directory *directory.Directory }

// Submit submits a job to the owner of r.Shard.
func (o owners) Submit(ctx context.Context, r *protocol.SubmitRequest) (*protocol.SubmitResponse, error) {
	return directory.Call[protocol.SubmitRequest, protocol.SubmitResponse](ctx, o.directory, r.Shard, r, true)
}

// Fence asks an earlier shard of a queue whether it has a job. If it doesn't, the shard promises never to accept the job.
func (o owners) Fence(ctx context.Context, r *protocol.FenceRequest) (*protocol.FenceResponse, error) {
	return directory.Call[protocol.FenceRequest, protocol.FenceResponse](ctx, o.directory, r.Shard, r, true)
}

// Status returns a job's state.
func (o owners) Status(ctx context.Context, r *protocol.StatusRequest) (*protocol.StatusResponse, error) {
	return directory.Call[protocol.StatusRequest, protocol.StatusResponse](ctx, o.directory, r.Shard, r, true)
}

// Cancel cancels a job.
func (o owners) Cancel(ctx context.Context, r *protocol.CancelRequest) (*protocol.CancelResponse, error) {
	return directory.Call[protocol.CancelRequest, protocol.CancelResponse](ctx, o.directory, r.Shard, r, true)
}

// Pending returns the number of a queue's jobs in one shard that have not ended.
func (o owners) Pending(ctx context.Context, r *protocol.PendingRequest) (*protocol.PendingResponse, error) {
	return directory.Call[protocol.PendingRequest, protocol.PendingResponse](ctx, o.directory, r.Shard, r, true)
}
