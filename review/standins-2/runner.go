package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// resources are a capacity or the needs of a task, with the words of the protocol.
type resources struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"memoryLimitMb"`
	GPU    int64 `json:"gpu"`
}

// run is one run of a task on a runner.
type run struct {
	task     string
	number   uint64
	began    time.Time
	duration time.Duration // 0: it lasts
	stopAt   time.Time     // when a stop takes effect; zero: no stop
	saves    int           // length of its checkpoint in bytes, which it has from a stop on; 0: it has none
}

type end struct {
	n     uint64
	task  string
	run   uint64
	how   string
	saved string
}

// runner is a stand-in runner: it sends heartbeats to the agent of its machine and carries out the orders in the answers,
// as PROTOCOL.md says. A task's spec is "sleep N" with N in ms, "last", or "work N B": it takes N ms, less than save_s,
// and when it is stopped it has a checkpoint of B bytes.
type runner struct {
	system   *system
	machine  *machine
	service  string
	capacity resources
	rack     string
	client   *http.Client

	mutex    sync.Mutex
	id       string
	began    time.Time
	sequence uint64
	active   map[string]*run // by task
	barred   map[string]uint64
	finished []end
	lastN    uint64
	fence    uint64
	hold     time.Time // until when everything is held
	state    string
	over     bool
	stalled  bool // sends no heartbeats for now
	ledger   *ledger
}

func newRunner(s *system, m *machine, service string, capacity resources, rack string) *runner {
	r := &runner{system: s, machine: m, service: service, capacity: capacity, rack: rack, ledger: newLedger()}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	r.reset()
	return r
}

// reset begins a new life of the runner: a new id, nothing running, no fencing token seen.
func (r *runner) reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	for _, active := range r.active {
		r.ledger.end(active, now, "crashed")
	}
	r.id = fmt.Sprintf("i-%08x", rand.Uint32())
	r.began, r.sequence, r.lastN, r.fence = now, 0, 0, 0
	r.active, r.barred, r.finished = map[string]*run{}, map[string]uint64{}, nil
	r.hold, r.state = time.Time{}, "ready"
}

func (r *runner) end() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.over = true
}

func (r *runner) isOver() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.over
}

// run sends heartbeats until the runner's end.
func (r *runner) run() {
	wait := time.Duration(0)
	for !r.isOver() {
		deadline := time.Now().Add(wait)
		for time.Now().Before(deadline) && !r.advance() {
			time.Sleep(5 * time.Millisecond)
		}
		r.advance()
		r.mutex.Lock()
		stalled := r.stalled
		r.mutex.Unlock()
		if stalled {
			wait = 20 * time.Millisecond
			continue
		}
		wait = r.beat()
	}
}

// advance ends the runs whose time has come, and reports whether any ended.
func (r *runner) advance() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now, ended := time.Now(), false
	for _, active := range r.active {
		switch {
		case now.After(r.hold):
			r.finish(active, now, "lapsed")
		case !active.stopAt.IsZero() && now.After(active.stopAt):
			r.finish(active, now, "stopped")
		case active.duration > 0 && now.Sub(active.began) >= active.duration:
			r.finish(active, now, "done")
		default:
			continue
		}
		ended = true
	}
	return ended
}

// finish ends a run. The mutex must be locked.
func (r *runner) finish(active *run, now time.Time, how string) {
	delete(r.active, active.task)
	r.barred[active.task] = max(r.barred[active.task], active.number)
	r.addEnd(active.task, active.number, how)
	if how == "stopped" && active.saves > 0 {
		r.finished[len(r.finished)-1].saved = checkpoint(active)
	}
	r.ledger.end(active, now, how)
}

// checkpoint returns the text of a run's checkpoint, which differs from run to run.
func checkpoint(active *run) string {
	text := fmt.Sprintf("%s/%d:", active.task, active.number)
	random := rand.New(rand.NewPCG(active.number, uint64(active.began.UnixNano())))
	for len(text) < active.saves {
		text += fmt.Sprintf("%016x", random.Uint64())
	}
	return text[:active.saves]
}

func (r *runner) addEnd(task string, number uint64, how string) {
	r.lastN++
	r.finished = append(r.finished, end{n: r.lastN, task: task, run: number, how: how})
}

// beat sends one heartbeat, carries out the orders in its answer, and returns the time until the next one.
func (r *runner) beat() time.Duration {
	body, sent := r.heartbeat(), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/v1/instances/%s/heartbeat", r.machine.ip, controlPort, r.id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 100 * time.Millisecond
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := r.client.Do(request)
	if err != nil {
		return 100 * time.Millisecond
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || time.Since(sent) > time.Second {
		return 100 * time.Millisecond
	}
	return r.obey(answer, sent)
}

// heartbeat returns the body of the next heartbeat.
func (r *runner) heartbeat() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	now := time.Now()
	active, finished := [][]any{}, [][]any{}
	for _, a := range r.active {
		percent := 0
		if a.duration > 0 {
			percent = int(min(99, 100*now.Sub(a.began)/a.duration))
		}
		active = append(active, []any{a.task, a.number, "", percent})
	}
	for i, e := range r.finished {
		if i == 500 {
			break
		}
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	body, _ := json.Marshal(map[string]any{
		"service": r.service, "address": fmt.Sprintf("%s:%d", r.machine.ip, appPort), "zone": r.machine.zone, "version": "v1",
		"slots": 8, "state": r.state, "coldRemainingMs": 0, "capacity": r.capacity, "labels": []string{"a", r.rack},
		"clockMs": now.Sub(r.began).Milliseconds(), "sequence": r.sequence, "active": active, "finished": finished,
	})
	return body
}

// obey carries out the orders in the answer to a heartbeat that was sent at sent.
func (r *runner) obey(answer []byte, sent time.Time) time.Duration {
	var orders struct {
		HoldMs, RetryDelayMs int64
		LastSeen, FenceToken uint64
		Start                [][]any
		Stop                 [][]any
	}
	decoder := json.NewDecoder(bytes.NewReader(answer))
	decoder.UseNumber()
	if decoder.Decode(&orders) != nil {
		return 100 * time.Millisecond
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if orders.FenceToken < r.fence {
		return 100 * time.Millisecond
	}
	r.fence = orders.FenceToken
	now := time.Now()
	if orders.HoldMs > 0 {
		until := sent.Add(min(time.Duration(orders.HoldMs)*time.Millisecond, holdMax))
		if until.After(r.hold) {
			r.hold = until
		}
		for _, row := range orders.Start {
			r.startRun(now, fmt.Sprint(row[0]), number(row[1]), fmt.Sprint(row[2]))
		}
	}
	for _, row := range orders.Stop {
		task, stopped := fmt.Sprint(row[0]), number(row[1])
		if a := r.active[task]; a != nil && a.number <= stopped {
			if a.stopAt.IsZero() {
				a.stopAt = now.Add(stopTime / 3)
			}
			continue
		}
		r.barred[task] = max(r.barred[task], stopped)
	}
	kept := r.finished[:0]
	for _, e := range r.finished {
		if e.n > orders.LastSeen {
			kept = append(kept, e)
		}
	}
	r.finished = kept
	return max(time.Duration(orders.RetryDelayMs)*time.Millisecond, 10*time.Millisecond)
}

// startRun starts a run, unless the runner has it already or may not start it any more. The mutex must be locked.
func (r *runner) startRun(now time.Time, task string, number uint64, spec string) {
	if a := r.active[task]; a != nil {
		if a.number != number {
			r.addEnd(task, number, "refused")
		}
		return
	}
	if number <= r.barred[task] {
		r.addEnd(task, number, "refused")
		return
	}
	a := &run{task: task, number: number, began: now}
	if rest, ok := strings.CutPrefix(spec, "sleep "); ok {
		ms, _ := strconv.Atoi(rest)
		a.duration = time.Duration(ms) * time.Millisecond
	}
	if rest, ok := strings.CutPrefix(spec, "work "); ok {
		var ms int
		_, _ = fmt.Sscan(rest, &ms, &a.saves)
		a.duration = time.Duration(ms) * time.Millisecond
	}
	r.active[task] = a
	r.ledger.start(r.id, a, spec)
}

func number(value any) uint64 {
	parsed, _ := strconv.ParseUint(fmt.Sprint(value), 10, 64)
	return parsed
}

// ledger counts the runs of a runner.
type ledger struct {
	mutex sync.Mutex
	runs  []ledgerRun
}

type ledgerRun struct {
	runner       string
	task         string
	number       uint64
	spec         string
	began, ended time.Time
	how          string
}

func newLedger() *ledger { return &ledger{} }

func (l *ledger) start(runner string, a *run, spec string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs = append(l.runs, ledgerRun{runner: runner, task: a.task, number: a.number, spec: spec, began: a.began})
}

func (l *ledger) end(a *run, at time.Time, how string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i := len(l.runs) - 1; i >= 0; i-- {
		if l.runs[i].task == a.task && l.runs[i].number == a.number && l.runs[i].how == "" {
			l.runs[i].ended, l.runs[i].how = at, how
			return
		}
	}
}

// allRuns returns all runs on the runners of a system.
func (s *system) allRuns() (all []ledgerRun) {
	for _, r := range s.runners {
		r.ledger.mutex.Lock()
		all = append(all, r.ledger.runs...)
		r.ledger.mutex.Unlock()
	}
	return all
}
