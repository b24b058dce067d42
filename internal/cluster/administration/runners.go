package administration

import (
	"cmp"
	"context"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// Runners returns the runners of all shards, sorted by service and instance.
func (c *Client) Runners(ctx context.Context) ([]Runner, error) {
	var runners []Runner
	err := eachShard(func(shard protocol.ShardID) error {
		response, err := read[RunnersRequest, RunnersResponse](ctx, c, shard, &RunnersRequest{Shard: shard})
		if err != nil {
			return err
		}
		runners = append(runners, response.Runners...)
		return nil
	})
	slices.SortFunc(runners, func(a, b Runner) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return runners, err
}

// RunnerView is a runner as it is printed in JSON; see Runner for the fields. The keys are part of the documented output.
type RunnerView struct {
	Instance         string             `json:"instance"`
	Shard            protocol.ShardID   `json:"shard"`
	Service          string             `json:"service"`
	Address          string             `json:"address"`
	Zone             string             `json:"zone"`
	Labels           []string           `json:"labels"`
	State            string             `json:"state"`
	Capacity         protocol.Resources `json:"capacity"`
	Free             protocol.Resources `json:"free"`
	Runs             int                `json:"runs"`
	Stops            int                `json:"stops"`
	FailureScore     float64            `json:"distrust"`
	SinceHeartbeatMs int64              `json:"silentMs"`
	LeaseMs          int64              `json:"holdMs"`
}

// RunnerViews converts runners to their printed form.
func RunnerViews(runners []Runner) []RunnerView {
	views := make([]RunnerView, 0, len(runners))
	for _, r := range runners {
		views = append(views, RunnerView{
			Instance: r.Instance, Shard: r.Shard, Service: r.Service, Address: r.Address, Zone: r.Zone, Labels: r.Labels,
			State: r.State, Capacity: r.Capacity, Free: r.Free, Runs: r.Runs, Stops: r.Stops, FailureScore: r.Distrust,
			SinceHeartbeatMs: r.SilentMs, LeaseMs: r.HoldMs,
		})
	}
	return views
}
