package administration

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/transport"
)

// Reports collects the reports of the control processes at the client's addresses and of all members that these reports
// name, sorted by node. A process that doesn't answer has no report. Reports fails if no process answers.
func (c *Client) Reports(ctx context.Context) ([]Report, error) {
	queried := map[string]bool{}
	var reports []Report
	var lastErr error
	for addresses := c.addresses; len(addresses) > 0; addresses = newAddresses(reports, queried) {
		received, err := c.queryAll(ctx, addresses, queried)
		reports = append(reports, received...)
		if err != nil {
			lastErr = err
		}
	}
	if len(reports) == 0 {
		return nil, errors.Errorf("no control process answers at %s; are they running, and are these their internal addresses? (%s)",
			strings.Join(c.addresses, ", "), messageOf(lastErr))
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Address, b.Address))
	})
	return slices.CompactFunc(reports, func(a, b Report) bool { return a.Identity == b.Identity }), nil
}

// queryAll requests the reports of the processes at addresses in parallel, except of those in queried, and adds the
// addresses to queried. If some processes don't answer, it returns one of their errors together with the reports that
// arrived.
func (c *Client) queryAll(ctx context.Context, addresses []string, queried map[string]bool) ([]Report, error) {
	var mutex sync.Mutex
	var pending sync.WaitGroup
	var reports []Report
	var lastErr error
	for _, address := range addresses {
		if queried[address] {
			continue
		}
		queried[address] = true
		pending.Go(func() {
			report, err := c.report(ctx, address)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			reports = append(reports, *report)
		})
	}
	pending.Wait()
	return reports, lastErr
}

// report requests the report of the process at an address.
func (c *Client) report(ctx context.Context, address string) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return transport.Call[ReportRequest, Report](ctx, c.transport, address, &ReportRequest{})
}

// newAddresses returns the addresses of members in the reports that are not in queried, each once.
func newAddresses(reports []Report, queried map[string]bool) []string {
	var addresses []string
	for i := range reports {
		for _, group := range reports[i].Groups {
			for _, member := range group.Members {
				known := queried[member.Address] || slices.Contains(addresses, member.Address)
				if member.Address != "" && !known {
					addresses = append(addresses, member.Address)
				}
			}
		}
	}
	return addresses
}

// newestGroups returns the newest report of each shard: the owner's, or if there is none, that with the highest term and,
// in one term, the highest commit index. If several processes report that they are the owner, the highest term decides.
func newestGroups(reports []Report) map[protocol.ShardID]GroupReport {
	newest := map[protocol.ShardID]GroupReport{}
	for i := range reports {
		for _, group := range reports[i].Groups {
			known, found := newest[group.Shard]
			if !found || isNewer(&group, &known) {
				newest[group.Shard] = group
			}
		}
	}
	return newest
}

// isNewer reports whether newestGroups must prefer a to b, two reports of the same shard.
func isNewer(a, b *GroupReport) bool {
	switch {
	case a.Owner != b.Owner:
		return a.Owner
	case a.Term != b.Term:
		return a.Term > b.Term
	default:
		return a.Commit > b.Commit
	}
}
