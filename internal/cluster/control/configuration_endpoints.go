package control

import (
	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/protocol"
)

// onConfigurationOwner runs input on the engine's loop if this process owns the configuration's shard; input must then
// reply. Otherwise onConfigurationOwner replies with an error, which names the owner if it is known.
func onConfigurationOwner[Resp any](c *Control, reply func(*Resp, error), input func()) {
	c.engine.Do(func() {
		if !c.configuration.leading {
			reply(nil, notConfigurationOwner(c.configuration.leader()))
			return
		}
		input()
	})
}

// watch replies when the feed has something newer than the caller, or when the wait is over or nearly over; see Feed.
func (c *Control) watch(_ string, request *protocol.WatchRequest, reply func(*protocol.WatchResponse, error)) {
	onConfigurationOwner(c, reply, func() {
		c.configuration.feed.Watch(c.engine.Now(), request, reply)
		c.configuration.confirmFeed()
		c.ticker.wake()
	})
}

// configure commits a change of the configuration and replies with the new version.
func (c *Control) configure(_ string, request *protocol.ConfigureRequest, reply func(*protocol.ConfigureResponse, error)) {
	onConfigurationOwner(c, reply, func() {
		command := configuration.Command{Kind: string(request.Kind), Base: request.Base, Body: request.Body}
		c.configuration.propose(command, reply)
	})
}

// readConfiguration replies with the configuration, after a quorum has confirmed the leadership.
func (c *Control) readConfiguration(_ string, _ *protocol.ReadConfigurationRequest, reply func(*protocol.ReadConfigurationResponse, error)) {
	onConfigurationOwner(c, reply, func() {
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
