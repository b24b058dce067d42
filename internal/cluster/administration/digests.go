package administration

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"ospreypond/internal/cluster/administration/identity"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/transport"
)

const (
	maxDigestAttempts = 6 // for one shard, each at the index that is then the newest applied one
	// digestLead is the number of log entries that every second attempt adds to the newest applied index. While a shard is in
	// use, members are past that index before the request arrives; they have the digest when they reach the later one.
	digestLead = 8
)

// ShardDigests has the digests of a shard's state at its members, all as of one index of its log. It is printed as JSON.
// Members that run the same version of the program must have equal digests. If they differ, the program or a disk is faulty.
type ShardDigests struct {
	Shard   protocol.ShardID `json:"shard"`
	Index   uint64           `json:"index"`
	Members []MemberDigest   `json:"members"`
}

// MemberDigest is the digest of one member's state.
type MemberDigest struct {
	Node   string      `json:"node"`
	ID     identity.ID `json:"id"`
	Digest string      `json:"digest"` // hexadecimal; empty if the member did not return one for that index
}

// Differ reports whether two members have different digests.
func (d *ShardDigests) Differ() bool {
	known := d.known()
	return len(known) > 1 && slices.ContainsFunc(known[1:], func(digest string) bool { return digest != known[0] })
}

// known returns the digests that are not empty.
func (d *ShardDigests) known() []string {
	var digests []string
	for _, member := range d.Members {
		if member.Digest != "" {
			digests = append(digests, member.Digest)
		}
	}
	return digests
}

// Digests collects the digests of every shard's state from the members that answer, as of one index for each shard. A
// member that is past the index, or doesn't reach it in time, returns no digest; so a shard in use may take several
// attempts.
func (c *Client) Digests(ctx context.Context) ([]ShardDigests, error) {
	var all []ShardDigests
	for shard := protocol.ConfigurationShard; shard <= protocol.JobShards; shard++ {
		digests, err := c.shardDigests(ctx, shard)
		if err != nil {
			return nil, err
		}
		all = append(all, *digests)
	}
	return all, nil
}

// shardDigests makes up to maxDigestAttempts attempts and returns the attempt with the most digests.
func (c *Client) shardDigests(ctx context.Context, shard protocol.ShardID) (*ShardDigests, error) {
	best := &ShardDigests{Shard: shard}
	for attempt := range maxDigestAttempts {
		reports, err := c.Reports(ctx)
		if err != nil {
			return nil, err
		}
		index := uint64(0)
		for i := range reports {
			if group := reports[i].group(shard); group != nil {
				index = max(index, group.Applied)
			}
		}
		if attempt%2 == 1 {
			index += digestLead
		}
		digests := c.digestsAt(ctx, reports, shard, index)
		if attempt == 0 || len(digests.known()) > len(best.known()) {
			best = digests
		}
		if len(best.known()) == len(best.Members) {
			break
		}
	}
	return best, nil
}

// digestsAt requests the digests as of an index from all members of a shard in parallel.
func (c *Client) digestsAt(ctx context.Context, reports []Report, shard protocol.ShardID, index uint64) *ShardDigests {
	digests := &ShardDigests{Shard: shard, Index: index, Members: make([]MemberDigest, 0, len(reports))}
	var members []*Report
	for i := range reports {
		if reports[i].group(shard) != nil {
			members = append(members, &reports[i])
			digests.Members = append(digests.Members, MemberDigest{Node: reports[i].Node, ID: identity.ID(reports[i].Identity)})
		}
	}
	var pending sync.WaitGroup
	for i, report := range members {
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			request := &DigestRequest{Shard: shard, Index: index}
			response, err := transport.Call[DigestRequest, DigestResponse](ctx, c.transport, report.Address, request)
			if err == nil {
				digests.Members[i].Digest = fmt.Sprintf("%016x", response.Digest)
			}
		})
	}
	pending.Wait()
	return digests
}

// group returns the report of a shard's group, or nil if the process has no such group.
func (r *Report) group(shard protocol.ShardID) *GroupReport {
	for i := range r.Groups {
		if r.Groups[i].Shard == shard {
			return &r.Groups[i]
		}
	}
	return nil
}
