package policy

import (
	"testing"
	"time"
)

// Probes are sent with requests, to workers that the next jobs could go to, and cost no more than maxProbeCost.
func TestProbesFollowRequestsAndPrice(t *testing.T) {
	for _, tt := range []struct {
		name  string
		price float64
		want  int
	}{{"free", 0, maxProbes}, {"expensive", maxProbeCost / 2, 2}, {"too expensive", 2 * maxProbeCost, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			d := testDispatcher(t, func(s *Settings) { s.Schedulers, s.ProbePrice, s.Probes = 400, tt.price, true })
			var list []Member
			for n := 0; n < 200; n++ {
				list = append(list, Member{Worker: string(rune('A' + n)), Zone: []string{"z0", "z1"}[n%2], Kind: "k"})
			}
			d.Step(time.Second, []Event{{Kind: ListReplaced, Members: list}}, nil)
			if got := ofKind(Probe, d.Step(2*time.Second, nil, nil)); len(got) != 0 {
				t.Errorf("probes without a request: %v", got)
			}
			got := ofKind(Probe, d.Step(3*time.Second, []Event{request(1, "safe")}, nil))
			if len(got) != tt.want {
				t.Errorf("%d probes, want %d", len(got), tt.want)
			}
			for _, a := range got {
				if d.workers[a.Worker].zone != "z0" {
					t.Errorf("probed %s in another zone", a.Worker)
				}
			}
		})
	}
}

// A price that allows less than one probe per job brings one probe every few jobs, not none.
func TestFractionalProbes(t *testing.T) {
	d := testDispatcher(t, func(s *Settings) { s.ProbePrice, s.Probes, s.Reports = 2*maxProbeCost, true, true })
	probes := 0
	for n := range 8 {
		at := time.Duration(n+3) * time.Second
		d.Step(at-ms, []Event{{Kind: ClientDisconnected, ID: uint32(n)}}, nil) // no round is due as the next job arrives
		out := d.Step(at, []Event{request(uint32(n+1), "safe")}, nil)
		for _, a := range ofKind(Probe, out) {
			probes++
			d.Step(time.Duration(n+3)*time.Second+ms, []Event{{Kind: ProbeEnded, Worker: a.Worker, Report: NoReport}}, nil)
		}
	}
	if probes != 4 {
		t.Errorf("%d probes for 8 jobs at half a probe each, want 4", probes)
	}
}

// A scheduler with few requests knows little of most workers: its probe goes to the worker that the pending request
// would go to, or to the one probed longest ago if that one's report is fresh.
func TestProbesTargetThePendingRequestsWorker(t *testing.T) {
	d := testDispatcher(t, func(s *Settings) { s.Probes, s.ProbePrice = true, 0.01 })
	for _, w := range d.order {
		w.slow, w.learnedAt = 1.9, time.Second
	}
	best := d.order[len(d.order)-1]
	best.slow, best.probedAt = 0.5, time.Second-2500*ms // the fastest by far, probed later than the others
	for _, tt := range []struct {
		name   string
		probed time.Duration // when the best was probed
		want   bool
	}{{"long ago", 3 * time.Second, true}, {"recently", 9 * time.Second, false}} {
		best.probedAt, best.probing = tt.probed, false
		for _, w := range d.order[:len(d.order)-1] {
			w.probedAt, w.probing = time.Second, false
		}
		d.probesDue = 0
		got := ofKind(Probe, d.Step(10*time.Second, []Event{request(uint32(tt.probed), "safe")}, nil))
		if len(got) == 0 && tt.want || len(got) > 0 && (got[0].Worker == best.name) != tt.want {
			t.Errorf("best probed %s: probes %v, the best is %s", tt.name, got, best.name)
		}
	}
}
