package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// loopSupervisor runs the loops that call runners (boot.CommandsInvocation). At most one loop is current: the loop of
// the incarnation that runs on this machine now.
type loopSupervisor struct {
	service *Service
	address string // ip:port at which the agent calls the runner; empty: the address in the runner's heartbeats
	dial    Dial

	mutex          sync.Mutex
	current        *loop    // nil: no incarnation is known to run
	endedInstances []string // incarnations that had a loop here before, the latest last
}

// maxHeartbeatDelay bounds the time that a heartbeat takes to arrive. A heartbeat of another incarnation may be an old
// one of an earlier incarnation that was delayed. It therefore replaces the current incarnation only if the newest
// heartbeat of the current one is at least this old.
const maxHeartbeatDelay = time.Second

// maxEndedInstances bounds the number of incarnations in endedInstances.
const maxEndedInstances = 64

// register stores a runner's heartbeat and returns nil once the owner has received the heartbeat's content. If ctx
// ends earlier, it returns an error.
func (v *loopSupervisor) register(ctx context.Context, request *protocol.HeartbeatRequest) error {
	l, err := v.loopFor(ctx, request)
	if err != nil {
		return err
	}
	return l.register(ctx, request)
}

// loopFor returns the loop of the heartbeat's incarnation. If that incarnation has no loop, it ends the current loop,
// which is of another incarnation, and starts a new one.
func (v *loopSupervisor) loopFor(ctx context.Context, request *protocol.HeartbeatRequest) (*loop, error) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	instance := request.Heartbeat.Instance
	if v.current != nil && v.current.instance == instance {
		return v.current, nil
	}
	if slices.Contains(v.endedInstances, instance) {
		return nil, failure.New(failure.Gone, "this incarnation of the runner has ended")
	}
	if v.current != nil && v.current.hasHeartbeatWithin(maxHeartbeatDelay) {
		return nil, failure.New(failure.Unavailable, "another incarnation of the runner sent a heartbeat less than a second ago: this one may be older")
	}
	previous := v.stopCurrent()
	address := v.address
	if address == "" {
		address = request.Heartbeat.Address
	}
	// The loop lasts longer than the request that starts it, so its context must not end with the request's.
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	v.current = newLoop(v.service, v.dial, instance, address, cancel)
	v.current.registration.put(request, v.service.clock.Now())
	go v.current.run(loopCtx, previous)
	return v.current, nil
}

// stopCurrent cancels the current loop. It returns the channel that is closed when the loop has ended, or nil if there is no
// current loop. The mutex must be locked.
func (v *loopSupervisor) stopCurrent() <-chan struct{} {
	if v.current == nil {
		return nil
	}
	v.current.cancel()
	v.endedInstances = append(v.endedInstances, v.current.instance)
	if len(v.endedInstances) > maxEndedInstances {
		v.endedInstances = v.endedInstances[1:]
	}
	ended := v.current.ended
	v.current = nil
	return ended
}

// deregister ends the loop of an incarnation that has deregistered.
func (v *loopSupervisor) deregister(instance string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.current != nil && v.current.instance == instance {
		v.stopCurrent()
	}
}

// close ends the current loop, if there is one, and waits for it. The current loop has already waited for its predecessor.
func (v *loopSupervisor) close() {
	v.mutex.Lock()
	ended := v.stopCurrent()
	v.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}
