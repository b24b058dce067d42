package control

import "time"

// loopPatience is how long an answer of the engine's loop is waited for.
const loopPatience = time.Second

// replicas is what the peers of a control process need of its engine.
type replicas interface {
	Do(f func())
	KnowsLeaders() bool
	SetPeers(addresses []string)
}

// peers are whom this process asks to let it join, kept in step with the settings file.
type peers struct{ engine replicas }

// Fresh tells whether all shards have an owner here, so that other peers would be of no use. An engine that is too busy
// to answer counts as fresh.
func (p peers) Fresh(time.Duration) bool {
	answer := make(chan bool, 1)
	p.engine.Do(func() { answer <- p.engine.KnowsLeaders() })
	timer := time.NewTimer(loopPatience)
	defer timer.Stop()
	select {
	case led := <-answer:
		return led
	case <-timer.C:
		return true
	}
}

// SetSeeds has the engine ask others from now on.
func (p peers) SetSeeds(addresses []string) {
	p.engine.Do(func() { p.engine.SetPeers(addresses) })
}
