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

// Bounds of a comparison of digests.
const (
	digestTries = 6 // at another index each
	digestLead  = 8 // entries by which every second try is ahead of what is applied, for shards that do not stand still
)

// ShardDigests has the digests of a shard's states at its members, all as of one index. Where they differ, a member holds
// another state than the others.
type ShardDigests struct {
	Shard   protocol.ShardID `json:"shard"`
	Index   uint64           `json:"index"`
	Members []MemberDigest   `json:"members"`
}

// MemberDigest is the digest of one member's state; empty where it did not tell one as of that index.
type MemberDigest struct {
	Node   string      `json:"node"`
	ID     identity.ID `json:"id"`
	Digest string      `json:"digest"`
}

// Differ tells whether two members have told different digests.
func (d *ShardDigests) Differ() bool {
	told := d.told()
	return len(told) > 1 && slices.ContainsFunc(told[1:], func(digest string) bool { return digest != told[0] })
}

func (d *ShardDigests) told() []string {
	var told []string
	for _, member := range d.Members {
		if member.Digest != "" {
			told = append(told, member.Digest)
		}
	}
	return told
}

// Digests asks the members of every shard that answer for the digest of their state, as of one index for each shard.
// While entries come, that takes some tries: a member that is past the index, or does not get there, tells none.
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

// shardDigests returns the try that most members have answered.
func (c *Client) shardDigests(ctx context.Context, shard protocol.ShardID) (*ShardDigests, error) {
	best := &ShardDigests{Shard: shard}
	for try := range digestTries {
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
		if try%2 == 1 {
			index += digestLead
		}
		digests := c.digestsAt(ctx, reports, shard, index)
		if try == 0 || len(digests.told()) > len(best.told()) {
			best = digests
		}
		if len(best.told()) == len(best.Members) {
			break
		}
	}
	return best, nil
}

// digestsAt asks all at once.
func (c *Client) digestsAt(ctx context.Context, reports []Report, shard protocol.ShardID, index uint64) *ShardDigests {
	digests := &ShardDigests{Shard: shard, Index: index, Members: make([]MemberDigest, 0, len(reports))}
	var asked []*Report
	for i := range reports {
		if reports[i].group(shard) != nil {
			asked = append(asked, &reports[i])
			digests.Members = append(digests.Members, MemberDigest{Node: reports[i].Node, ID: identity.ID(reports[i].Identity)})
		}
	}
	var waiting sync.WaitGroup
	for i, report := range asked {
		waiting.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTime)
			defer cancel()
			request := &DigestRequest{Shard: shard, Index: index}
			response, err := transport.Call[DigestRequest, DigestResponse](ctx, c.transport, report.Address, request)
			if err == nil {
				digests.Members[i].Digest = fmt.Sprintf("%016x", response.Digest)
			}
		})
	}
	waiting.Wait()
	return digests
}

// group returns what the report has of a shard, or nil.
func (r *Report) group(shard protocol.ShardID) *GroupReport {
	for i := range r.Groups {
		if r.Groups[i].Shard == shard {
			return &r.Groups[i]
		}
	}
	return nil
}
