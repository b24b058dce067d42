package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["cancelled"] = cancelled }

const (
	freezeTime = 700 * time.Millisecond // how long the frontend stands still
	patience   = 400 * time.Millisecond // how long the clients wait: half the objective
	cancelTime = 3 * time.Second        // cancel_ms
	slack      = 200 * time.Millisecond // of this program's own record
)

// cancelled freezes a frontend while clients hand jobs in there. A quarter of them leave, and cancel their jobs at the other
// frontend. The others wait.
func cancelled(s *scene) (int, error) {
	frontends := s.role("frontend")
	if s.trouble {
		s.signal(frontends[0], syscall.SIGSTOP, "freezes (SIGSTOP)")
		time.AfterFunc(freezeTime, func() { s.signal(frontends[0], syscall.SIGCONT, "wakes (SIGCONT)") })
	}
	const count, leaving = 20, 4 // one client in leaving leaves: share 0.25 of give_up
	acknowledged := map[string]time.Duration{}
	var mutex sync.Mutex
	var clients sync.WaitGroup
	for i := range count {
		id := jobID(100 + i)
		clients.Go(func() {
			if i%leaving != 0 {
				s.submit(frontends[0], id, `{"spec":"work 300","steps":[{"count":1,"cpu":500,"memoryLimitMb":64,"estimatedMs":300}]}`)
				return
			}
			s.requestFor(frontends[0], "POST", id, `{"spec":"work 4500","steps":[{"count":1,"cpu":500,"memoryLimitMb":64,"estimatedMs":4500},{"count":1,"cpu":500,"memoryLimitMb":64,"estimatedMs":4500,"dependsOn":[0]}]}`, patience)
			for {
				if got := s.cancel(frontends[1], id); got.status == 410 || got.status/100 == 2 {
					mutex.Lock()
					acknowledged[id] = s.record.at()
					mutex.Unlock()
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(12 * time.Second)
	status := held
	for id, at := range acknowledged {
		for _, each := range s.startsOf(id) {
			if each.at > at+cancelTime+slack {
				s.record.log("BROKEN: %s run %d was started %.3f s after the cancelling of its job was acknowledged", each.task, each.number, (each.at - at).Seconds())
				status = broken
			}
		}
	}
	return status, nil
}
