package administration

import (
	"context"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// document returns the configuration with what it remembers of queues that moved.
func (c *Client) document(ctx context.Context) (*configuration.Document, error) {
	response, err := read[protocol.WatchRequest, protocol.WatchResponse](
		ctx, c, protocol.ConfigurationShard, &protocol.WatchRequest{Node: "administration"})
	if err != nil {
		return nil, err
	}
	if response.Version == 0 {
		return nil, failure.New(failure.Unavailable, "there is no configuration yet; `config apply` one")
	}
	document, err := configuration.Advance(nil, response.Configuration)
	if err != nil {
		return nil, failure.Newf(failure.Unavailable, "the configuration cannot be read: %v", err)
	}
	return document, nil
}

// findQueue returns the route of a queue named HOST/PREFIX, also without the prefix's last slash.
func findQueue(document *configuration.Document, queue string) (*configuration.Route, error) {
	for _, key := range []string{queue, queue + "/"} {
		if route := document.Queue(key); route != nil {
			return route, nil
		}
	}
	const shown = 8
	var names []string
	for route := range document.Routes() {
		names = append(names, configuration.QueueKey(route))
	}
	if len(names) > shown {
		names = append(names[:shown], "...")
	}
	return nil, failure.Newf(failure.NoRoute, "there is no queue %q; there are %q", queue, names)
}

// Status returns a job's state, in whatever shard it is. A job that none has is the error Gone.
func (c *Client) Status(ctx context.Context, id string) (state string, err error) {
	state, _, err = c.find(ctx, id)
	return state, err
}

// Cancel cancels a job, in whatever shard it is. A job that none has is the error Gone.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, shard, err := c.find(ctx, id)
	if err != nil {
		return err
	}
	_, err = call[protocol.CancelRequest, protocol.CancelResponse](
		ctx, c, shard, &protocol.CancelRequest{Shard: shard, ID: id})
	return err
}

func (c *Client) find(ctx context.Context, id string) (state string, shard protocol.ShardID, err error) {
	for shard = 1; shard <= protocol.JobShards; shard++ {
		response, err := read[protocol.StatusRequest, protocol.StatusResponse](
			ctx, c, shard, &protocol.StatusRequest{Shard: shard, ID: id})
		if err == nil {
			return string(response.State), shard, nil
		}
		if failure.KindOf(err) != failure.Gone {
			return "", 0, err
		}
	}
	return "", 0, failure.Newf(failure.Gone, "no shard knows a job %q", id)
}

// Jobs returns the jobs of a queue (empty: of all) whose state is kept, by shard and id. A queue without a route, and
// without jobs of the time when it had one, is the error NoRoute.
func (c *Client) Jobs(ctx context.Context, queue string) ([]Job, error) {
	if queue == "" {
		return c.listJobs(ctx, "")
	}
	document, err := c.document(ctx)
	if err != nil {
		return nil, err
	}
	route, missing := findQueue(document, queue)
	if missing == nil {
		return c.listJobs(ctx, configuration.QueueKey(route))
	}
	jobs, err := c.listJobs(ctx, queue)
	if err == nil && len(jobs) == 0 {
		return nil, missing
	}
	return jobs, err
}

func (c *Client) listJobs(ctx context.Context, queue string) ([]Job, error) {
	var jobs []Job
	err := eachShard(func(shard protocol.ShardID) error {
		after := ""
		for {
			page, err := read[JobsRequest, JobsResponse](ctx, c, shard, &JobsRequest{Shard: shard, Queue: queue, After: after})
			if err != nil {
				return err
			}
			jobs = append(jobs, page.Jobs...)
			if !page.More || len(page.Jobs) == 0 {
				return nil
			}
			after = page.Jobs[len(page.Jobs)-1].ID
		}
	})
	return jobs, err
}
