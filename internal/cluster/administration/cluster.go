package administration

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/transport"
)

// Reports asks the given control processes, and all that they know of, how they stand. A process that does not answer
// has no report; it is an error if none answers.
func (c *Client) Reports(ctx context.Context) ([]Report, error) {
	asked := map[string]bool{}
	var reports []Report
	var fault error
	for addresses := c.addresses; len(addresses) > 0; addresses = unasked(reports, asked) {
		answers, err := c.askAll(ctx, addresses, asked)
		reports = append(reports, answers...)
		if err != nil {
			fault = err
		}
	}
	if len(reports) == 0 {
		return nil, errors.Errorf("no control process answers at %s; are they running, and are these their internal addresses? (%s)",
			strings.Join(c.addresses, ", "), messageOf(fault))
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Address, b.Address))
	})
	return slices.CompactFunc(reports, func(a, b Report) bool { return a.Identity == b.Identity }), nil
}

// askAll asks several processes at once. The error is one that did not answer.
func (c *Client) askAll(ctx context.Context, addresses []string, asked map[string]bool) ([]Report, error) {
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	var reports []Report
	var fault error
	for _, address := range addresses {
		if asked[address] {
			continue
		}
		asked[address] = true
		waiting.Go(func() {
			report, err := c.report(ctx, address)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				fault = err
				return
			}
			reports = append(reports, *report)
		})
	}
	waiting.Wait()
	return reports, fault
}

func (c *Client) report(ctx context.Context, address string) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	return transport.Call[ReportRequest, Report](ctx, c.transport, address, &ReportRequest{})
}

// unasked returns the addresses of members that reports name and that were not asked yet.
func unasked(reports []Report, asked map[string]bool) []string {
	var addresses []string
	for i := range reports {
		for _, group := range reports[i].Groups {
			for _, member := range group.Members {
				known := asked[member.Address] || slices.Contains(addresses, member.Address)
				if member.Address != "" && !known {
					addresses = append(addresses, member.Address)
				}
			}
		}
	}
	return addresses
}

// Runners returns the runners of all shards.
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

// Drain has a control process, named by its node or its internal address, give its leaderships away. It returns how
// many it could not get rid of in time.
func (c *Client) Drain(ctx context.Context, node string) (left int, err error) {
	reports, err := c.Reports(ctx)
	if err != nil {
		return 0, err
	}
	var names []string
	for i := range reports {
		if reports[i].Node != node && reports[i].Address != node {
			names = append(names, reports[i].Node)
			continue
		}
		response, err := transport.Call[ResignRequest, ResignResponse](ctx, c.transport, reports[i].Address, &ResignRequest{})
		if err != nil {
			return 0, err
		}
		return response.Left, nil
	}
	return 0, failure.Newf(failure.Invalid, "no control process %q answers; there are %q", node, names)
}
