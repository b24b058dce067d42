package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["restart"] = restart }

const (
	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second  // for which a job may have nothing running although it could
)

// restart loses a runner for good, one second before the traffic ends, and later kills all control processes once. They are
// back within a second, with their disks.
func restart(s *scene) (int, error) {
	frontend := s.role("frontend")[0]
	m := s.role("agent")[0]
	lost := newRunner(s.world, "i-0000dddd", service, m.address("8080"), m.address(controlPort), m.zone, []string{"a", "r1-0"})
	go lost.live()
	time.Sleep(500 * time.Millisecond)
	job := jobID(5)
	if got := s.submit(frontend, job, `{"spec":"work 40000","steps":[{"count":3,"cpu":2000,"memoryLimitMb":64,"estimatedMs":40000,"affinity":"r1-0"}]}`); got.status != 200 {
		return cannotRun, fmt.Errorf("the job was not accepted: %s", got)
	}
	time.Sleep(time.Second)
	if len(s.startsOf(job)) != 3 {
		return cannotRun, fmt.Errorf("%d of the job's 3 tasks run", len(s.startsOf(job)))
	}
	for _, each := range s.startsOf(job) {
		if each.runner != lost.id {
			return cannotRun, fmt.Errorf("%s runs on %s", each.task, each.runner)
		}
	}
	gone := time.Now()
	if s.trouble {
		lost.crash()
	} else {
		s.runners = append(s.runners, lost)
	}
	time.Sleep(time.Until(gone.Add(8500 * time.Millisecond)))
	if s.trouble {
		for _, each := range s.role("control") {
			s.signal(each, syscall.SIGKILL, "killed (SIGKILL)")
		}
		for _, each := range s.role("control") {
			<-each.ended
		}
		time.Sleep(500 * time.Millisecond)
		for _, each := range s.role("control") {
			if err := s.writeSettings(each, false); err != nil {
				return cannotRun, err
			}
			if err := s.start(each); err != nil {
				return cannotRun, err
			}
		}
	}
	finish := gone.Add(time.Second + finishTime)
	time.Sleep(time.Until(finish))
	s.state(frontend, job)
	s.record.log("the traffic ended finish_s ago")
	time.Sleep(time.Until(finish.Add(idleTime)))
	s.state(frontend, job)
	status := held
	if !s.ranAfter(job, finish) {
		s.record.log("BROKEN: for %v the job has had nothing running, and two runners with 16 cores each run nothing", idleTime)
		status = broken
	}
	time.Sleep(3 * time.Second)
	s.record.log("%d starts of the job's tasks 3 s later", len(s.startsOf(job)))
	return status, nil
}

// ranAfter reports whether any run of the job's tasks was there after that time, on a runner that is up.
func (s *scene) ranAfter(job string, from time.Time) bool {
	since := from.Sub(s.record.began)
	for _, each := range s.startsOf(job) {
		if each.at >= since {
			return true
		}
		for _, up := range s.runners {
			if up.id == each.runner && up.runs(each.task, each.number) {
				return true
			}
		}
	}
	return false
}
