package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// loopSupervisor runs the loops that call runners (boot.CommandsInvocation). At most one is current: that of the
// incarnation that runs on this machine now.
type loopSupervisor struct {
	service *Service
	address string // at which the runner is called; empty: at the one in its heartbeats
	dial    Dial

	mutex          sync.Mutex
	current        *loop
	endedInstances []string // incarnations that another one has replaced here, the latest last
}

// maxHeartbeatDelay bounds the time that a heartbeat takes to arrive: an incarnation is replaced by another one only if
// its last heartbeat is longer ago.
const maxHeartbeatDelay = time.Second

// maxEndedInstances bounds the ended incarnations that are remembered.
const maxEndedInstances = 64

// register takes a runner's heartbeat and returns nil once the owner has it. It returns an error when ctx ends before.
func (v *loopSupervisor) register(ctx context.Context, request *protocol.HeartbeatRequest) error {
	l, err := v.loopFor(ctx, request)
	if err != nil {
		return err
	}
	return l.register(ctx, request)
}

// loopFor returns the loop of the heartbeat's incarnation. It starts one, and ends that of the previous incarnation, if
// there is none.
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
		return nil, failure.New(failure.Unavailable, "another incarnation sent a heartbeat just now: this one may be older")
	}
	previous := v.stopCurrent()
	address := v.address
	if address == "" {
		address = request.Heartbeat.Address
	}
	// The loop outlives the request that starts it.
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	v.current = newLoop(v.service, v.dial, instance, address, cancel)
	v.current.registration.put(request, v.service.clock.Now())
	go v.current.run(loopCtx, previous)
	return v.current, nil
}

// stopCurrent cancels the current loop and returns the channel that is closed once it has ended, nil if there is none.
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

// deregister ends the loop of an incarnation that has reported that it is about to end.
func (v *loopSupervisor) deregister(instance string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.current != nil && v.current.instance == instance {
		v.stopCurrent()
	}
}

// close ends the current loop, if there is one, and waits for it and the loops that it has replaced.
func (v *loopSupervisor) close() {
	v.mutex.Lock()
	ended := v.stopCurrent()
	v.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}
