package control

import "time"

// loopTimeout limits the time that Fresh waits for the engine's loop.
const loopTimeout = time.Second

// peerEngine has the methods of replica.Engine that peers uses.
type peerEngine interface {
	Do(f func())
	KnowsLeaders() bool
	SetPeers(addresses []string)
}

// peers lets a seeds.Follower replace the addresses at which this process asks to join the replica groups, when they have
// changed in the settings file.
type peers struct {
	engine  peerEngine
	stopped <-chan struct{} // closed when the engine is stopped, after which its loop may not answer; nil: never closed
}

// Fresh reports whether this process knows an owner of every shard, so that it needs no other peers. It also returns true
// if the engine is stopped or its loop doesn't answer within loopTimeout. The loop must not call it.
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

// SetSeeds replaces the addresses at which the engine asks to join.
func (p peers) SetSeeds(addresses []string) {
	p.engine.Do(func() { p.engine.SetPeers(addresses) })
}
