package control

import "time"

// loopTimeout bounds the wait for the engine's loop.
const loopTimeout = time.Second

// peerEngine is the part of replica.Engine that peers uses.
type peerEngine interface {
	Do(f func())
	KnowsLeaders() bool
	SetPeers(addresses []string)
}

// peers are the addresses at which this process asks to join the replica groups. A seeds.Follower keeps them up to date
// with the settings file.
type peers struct {
	engine  peerEngine
	stopped <-chan struct{} // closed when the engine is stopped, and may no longer answer; nil: never
}

// Fresh reports whether this process knows an owner of every shard, so that other peers would be of no use. It also does
// if the engine's loop does not answer within loopTimeout. It must not be called on that loop.
func (p peers) Fresh(time.Duration) bool {
	known := make(chan bool, 1)
	p.engine.Do(func() { known <- p.engine.KnowsLeaders() })
	timer := time.NewTimer(loopTimeout)
	defer timer.Stop()
	select {
	case allKnown := <-known:
		return allKnown
	case <-timer.C:
		return true
	case <-p.stopped:
		return true
	}
}

// SetSeeds replaces the addresses at which the engine asks.
func (p peers) SetSeeds(addresses []string) {
	p.engine.Do(func() { p.engine.SetPeers(addresses) })
}
