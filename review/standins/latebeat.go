package main

import (
	"fmt"
	"time"
)

func init() { cases["latebeat"] = lateBeat }

const late = 4 * time.Second // how late a heartbeat comes: "A beat may come seconds late"

// lateBeat has a runner crash after its first heartbeat. Its next life is given work. Then heartbeats come late: the first
// one of the life that has crashed, and some of the present life.
func lateBeat(s *scene) (int, error) {
	m := s.role("agent")[0]
	way, err := newLink(s.record, m.address("8090"), m.address(controlPort))
	if err != nil {
		return cannotRun, err
	}
	defer way.listener.Close()
	frontend := s.role("frontend")[0]

	// The other two runners are busy for two seconds.
	if got := s.submit(frontend, jobID(2), `{"spec":"work 2200","steps":[{"count":10,"cpu":3000,"memoryLimitMb":64,"estimatedMs":2200}]}`); got.status != 200 {
		return cannotRun, fmt.Errorf("a job was not accepted: %s", got)
	}
	if s.trouble {
		way.setDelay(late)
	}
	first := newRunner(s.world, "i-0000aaaa", service, m.address("8080"), way.listener.Addr().String(), m.zone, []string{"b", "r1-0"})
	go first.live()
	time.Sleep(300 * time.Millisecond)
	first.crash()
	way.setDelay(0)
	time.Sleep(700 * time.Millisecond)

	second := newRunner(s.world, "i-0000bbbb", service, m.address("8080"), way.listener.Addr().String(), m.zone, []string{"a", "r1-0"})
	s.runners = append(s.runners, second)
	go second.live()
	time.Sleep(300 * time.Millisecond)
	job := jobID(3)
	if got := s.submit(frontend, job, `{"spec":"work 9000","steps":[{"count":2,"cpu":3000,"memoryLimitMb":64,"estimatedMs":9000,"requirements":"a"}]}`); got.status != 200 {
		return cannotRun, fmt.Errorf("the job was not accepted: %s", got)
	}
	time.Sleep(time.Second)
	if s.trouble {
		way.setDelay(late)
	}
	time.Sleep(2 * time.Second)
	way.setDelay(0)
	time.Sleep(13 * time.Second)
	return s.checkTwice(job), nil
}

// checkTwice checks the rule TWICE for the tasks of a job: no two runs of a task at one time.
func (s *scene) checkTwice(job string) int {
	s.world.mutex.Lock()
	defer s.world.mutex.Unlock()
	status := held
	ended := func(each start) time.Duration {
		for _, e := range s.world.ends {
			if e.runner == each.runner && e.task == each.task && e.run == each.number {
				return e.at
			}
		}
		return s.record.at()
	}
	for i, a := range s.world.starts {
		for _, b := range s.world.starts[i+1:] {
			if a.task == b.task && b.at < ended(a) && len(a.task) > len(job) && a.task[:len(job)] == job {
				s.record.log("BROKEN: %s ran twice at one time from %.3f to %.3f: run %d on %s, run %d on %s", a.task, b.at.Seconds(),
					min(ended(a), ended(b)).Seconds(), a.number, a.runner, b.number, b.runner)
				status = broken
			}
		}
	}
	return status
}
