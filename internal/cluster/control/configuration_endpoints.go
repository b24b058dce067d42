package control

import (
	"time"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/protocol"
)

// ownersUpdateInterval is how often the feed gets the members and owners.
const ownersUpdateInterval = 40 * time.Millisecond

// updateOwners gives the feed the members and owners as this process knows them, once every ownersUpdateInterval.
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
	c.configuration.feed.OwnersChanged(members, owners)
}

// watch answers once something is newer than what the caller has, or its wait is over; see Feed.
func (c *Control) watch(_ string, request *protocol.WatchRequest, reply func(*protocol.WatchResponse, error)) {
	c.engine.Do(func() {
		if !c.configuration.leading {
			reply(nil, notConfigurationOwner(c.configuration.leader()))
			return
		}
		c.configuration.feed.Watch(c.engine.Now(), request, reply)
		c.configuration.confirmFeed()
		c.ticker.wake()
	})
}

// configure commits a change of the configuration.
func (c *Control) configure(_ string, request *protocol.ConfigureRequest, reply func(*protocol.ConfigureResponse, error)) {
	c.engine.Do(func() {
		if !c.configuration.leading {
			reply(nil, notConfigurationOwner(c.configuration.leader()))
			return
		}
		command := configuration.Command{Kind: request.Kind, Base: request.Base, Body: request.Body}
		c.configuration.propose(command, reply)
	})
}

// readConfiguration answers with the newest committed configuration.
func (c *Control) readConfiguration(_ string, _ *protocol.ReadConfigurationRequest, reply func(*protocol.ReadConfigurationResponse, error)) {
	c.engine.Do(func() {
		if !c.configuration.leading {
			reply(nil, notConfigurationOwner(c.configuration.leader()))
			return
		}
		c.engine.ConfirmLeadership(c.configuration.group(), func(err error) {
			if err != nil {
				reply(nil, err)
				return
			}
			document := c.configuration.state.Document()
			reply(&protocol.ReadConfigurationResponse{Version: document.Version(), Body: document.JSON()}, nil)
		})
	})
}
