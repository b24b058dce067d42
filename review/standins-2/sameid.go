package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["same-id"] = sameID }

// sameID has two clients of two queues pick the same ID for their jobs. It returns what broke MIXED and LOST.
func sameID(rec *record, trouble bool) (broken []string) {
	const other = "sala.example"
	s := begin(layout{controls: 3, frontends: 2, services: []string{"caja-central"}, runners: 3,
		capacity: resources{CPU: 16000, Memory: 32768}, racks: 1}, rec,
		route("cobro", plaza, "/cobro/", "caja-central", 0)+","+route("cierre", other, "/cierre/", "caja-central", 2))
	broken = []string{}
	type pair struct{ first, second string }
	var pairs []pair
	for i := range 5 {
		p := pair{fmt.Sprintf("/cobro/%016x", 0xc0b0000+i), fmt.Sprintf("/cierre/%016x", 0xc0b0000+i)}
		if !trouble {
			p.second = fmt.Sprintf("/cierre/%016x", 0xc1e0000+i)
		}
		first := `{"spec":"sleep 400","steps":[{"count":2,"cpu":240,"memoryLimitMb":64,"estimatedMs":400}]}`
		second := `{"spec":"sleep 900","steps":[{"count":3,"cpu":520,"memoryLimitMb":64,"estimatedMs":900}]}`
		if !s.submit(plaza, p.first, first, time.Now().Add(10*time.Second)) {
			abort("the first job was not accepted")
		}
		if s.submit(other, p.second, second, time.Now().Add(10*time.Second)) {
			pairs = append(pairs, p)
		}
	}
	// The second client of two further pairs cancels its own job, while that of the first client is running.
	var cancelled []pair
	for i := range 2 {
		p := pair{fmt.Sprintf("/cobro/%016x", 0xcab0000+i), fmt.Sprintf("/cierre/%016x", 0xcab0000+i)}
		if !trouble {
			p.second = fmt.Sprintf("/cierre/%016x", 0xcad0000+i)
		}
		job := `{"spec":"sleep 4000","steps":[{"count":2,"cpu":240,"memoryLimitMb":64,"estimatedMs":4000}]}`
		if s.submit(plaza, p.first, job, time.Now().Add(10*time.Second)) && s.submit(other, p.second, job, time.Now().Add(10*time.Second)) {
			cancelled = append(cancelled, p)
		}
	}
	time.Sleep(time.Second)
	for _, p := range cancelled {
		s.client(0, "DELETE", other, p.second, "")
	}
	time.Sleep(finishTime)
	for _, p := range pairs {
		state, _ := s.state(other, p.second, time.Now().Add(5*time.Second))
		id := p.second[strings.LastIndexByte(p.second, '/')+1:]
		done := 0
		for _, r := range s.allRuns() {
			rec.add("run %d of %s with spec %q on %s: %s", r.number, r.task, r.spec, r.runner, r.how)
			if strings.HasPrefix(r.task, id) && r.spec == "sleep 900" && r.how == "done" {
				done++
			}
		}
		if state == "completed" && done < 3 {
			broken = append(broken, fmt.Sprintf("MIXED: job %s%s was accepted and is shown as completed, but %d of its 3 tasks have run", other, p.second, done))
		}
	}
	for _, p := range cancelled {
		if state, _ := s.state(plaza, p.first, time.Now().Add(5*time.Second)); state == "cancelled" || state == "failed" {
			broken = append(broken, fmt.Sprintf("LOST: job %s%s is shown as %s, but nobody has cancelled it", plaza, p.first, state))
		}
	}
	return broken
}
