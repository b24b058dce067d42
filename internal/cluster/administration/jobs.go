package administration

import (
	"context"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// readDocument returns the newest configuration as frontends get it: with the earlier services of queues, which the JSON
// lacks.
func (c *Client) readDocument(ctx context.Context) (*configuration.Document, error) {
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
		return nil, failure.Newf(failure.Unavailable, "the configuration in the owner's response cannot be decoded: %v", err)
	}
	return document, nil
}

// findQueue returns the route of a queue, given as HOST/PREFIX with or without the prefix's last slash. The error lists up
// to maxNames of the existing queues.
func findQueue(document *configuration.Document, queue string) (*configuration.Route, error) {
	for _, key := range []string{queue, queue + "/"} {
		if route := document.Queue(key); route != nil {
			return route, nil
		}
	}
	const maxNames = 8
	var names []string
	for route := range document.Routes() {
		names = append(names, configuration.QueueKey(route))
	}
	if len(names) > maxNames {
		names = append(names[:maxNames], "...")
	}
	return nil, failure.Newf(failure.NoRoute, "there is no queue %q; there are %q", queue, names)
}

// Status returns the state of a job. It fails with Gone if no shard has the job.
func (c *Client) Status(ctx context.Context, id string) (state string, err error) {
	state, _, err = c.findJob(ctx, id)
	return state, err
}

// Cancel cancels a job. It fails with Gone if no shard has the job. Then no shard accepts it later either: its ID is
// withdrawn, as a submission may be on its way.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, shard, err := c.findJob(ctx, id)
	if err == nil {
		return c.cancelIn(ctx, shard, id)
	}
	if failure.KindOf(err) != failure.Gone {
		return err
	}
	return c.withdraw(ctx, id)
}

func (c *Client) cancelIn(ctx context.Context, shard protocol.ShardID, id string) error {
	_, err := call[protocol.CancelRequest, protocol.CancelResponse](
		ctx, c, shard, &protocol.CancelRequest{Shard: shard, ID: id})
	return err
}

// withdraw has every shard promise never to accept a job. It cancels the job in a shard that has accepted it in the
// meantime. Otherwise it returns Gone.
func (c *Client) withdraw(ctx context.Context, id string) error {
	for shard := protocol.ShardID(1); shard <= protocol.JobShards; shard++ {
		response, err := call[protocol.FenceRequest, protocol.FenceResponse](
			ctx, c, shard, &protocol.FenceRequest{Shard: shard, ID: id, ConfigurationVersion: protocol.EveryVersion})
		if err != nil {
			return err
		}
		if !response.HasJob {
			continue
		}
		if err := c.cancelIn(ctx, shard, id); failure.KindOf(err) != failure.Gone {
			return err
		}
	}
	return failure.Newf(failure.Gone, "no shard knows a job %q, and none accepts it from now on", id)
}

// findJob queries one shard after the other for a job. Only the error Gone lets the search continue: a shard that can't be
// queried may have the job, so the job must not be reported as Gone then.
func (c *Client) findJob(ctx context.Context, id string) (state string, shard protocol.ShardID, err error) {
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

// Jobs returns the jobs of a queue, or of all queues if queue is empty, sorted by shard and ID. Ended jobs are included
// while their state is retained. A queue whose route was removed may still have jobs. Jobs fails with NoRoute if the queue
// has neither a route nor jobs.
func (c *Client) Jobs(ctx context.Context, queue string) ([]Job, error) {
	if queue == "" {
		return c.listJobs(ctx, "")
	}
	document, err := c.readDocument(ctx)
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

// listJobs reads the jobs of a queue, given by its key, or of all queues if queue is empty, from all shards, page by page.
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
