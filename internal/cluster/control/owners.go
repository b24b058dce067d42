package control

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// ownersUpdateInterval is the minimum time between two updates of the feed's members and owners.
const ownersUpdateInterval = 40 * time.Millisecond

// updateOwners updates the feed with the known members of the configuration's group and the known owners of the shards. It
// skips the update if the last update was less than ownersUpdateInterval ago. The caller must own the configuration's shard.
func (c *Control) updateOwners() {
	now := c.engine.Now()
	if c.ownersUpdatedAt > 0 && now-c.ownersUpdatedAt < ownersUpdateInterval {
		return
	}
	c.ownersUpdatedAt = now
	owners := map[protocol.ShardID]string{protocol.ConfigurationShard: c.address}
	for id := range c.shards {
		if address := c.engine.LeaderAddress(uint32(id)); address != "" {
			owners[id] = address
		}
	}
	var members []protocol.Member
	for _, m := range c.engine.Members(c.configuration.group()) {
		members = append(members, protocol.Member{ID: uint64(m.ID), Node: m.Node, Zone: m.Zone, Address: m.Address})
	}
	c.configuration.feed.SetOwners(members, owners)
}
