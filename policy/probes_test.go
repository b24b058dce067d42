package policy

import (
	"testing"
	"time"
)

// Probes are sent when requests arrive, to workers that the next jobs could go to. Those for one request cost
// maxProbeCostPerRequest at most.
func TestProbesFollowRequestsAndPrice(t *testing.T) {
	for _, tt := range []struct {
		name  string
		price float64
		want  int
	}{{"free", 0, maxProbesPerRequest}, {"expensive", maxProbeCostPerRequest / 2, 2}, {"too expensive", 2 * maxProbeCostPerRequest, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			d := testDispatcher(t, func(s *Settings) { s.Schedulers, s.ProbePrice, s.MayProbe = 400, tt.price, true })
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

// If the price allows less than one probe per job, there is one probe every few jobs, not none.
func TestFractionalProbes(t *testing.T) {
	d := testDispatcher(t, func(s *Settings) { s.ProbePrice, s.MayProbe, s.LoadReports = 2*maxProbeCostPerRequest, true, true })
	probes := 0
	for n := range 8 {
		at := time.Duration(n+3) * time.Second
		d.Step(at-ms, []Event{{Kind: ClientDisconnected, ID: uint32(n)}}, nil) // so that no round is due at the next arrival
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

// A scheduler with few requests has old reports of most workers. Its probe goes to the worker that the
// pending request would be sent to or, if that worker's report is fresh, to the worker that was probed
// longest ago.
func TestProbesTargetThePendingRequestsWorker(t *testing.T) {
	d := testDispatcher(t, func(s *Settings) { s.MayProbe, s.ProbePrice = true, 0.01 })
	for _, w := range d.byRank {
		w.learnedSlowness, w.slownessAt = 1.9, time.Second
	}
	best := d.byRank[len(d.byRank)-1]
	best.learnedSlowness, best.probedAt = 0.5, time.Second-2500*ms // by far the fastest
	for _, tt := range []struct {
		name   string
		probed time.Duration // when the best worker was last probed
		want   bool
	}{{"long ago", 3 * time.Second, true}, {"recently", 9 * time.Second, false}} {
		best.probedAt, best.probing = tt.probed, false
		for _, w := range d.byRank[:len(d.byRank)-1] {
			w.probedAt, w.probing = time.Second, false
		}
		d.probesDue = 0
		got := ofKind(Probe, d.Step(10*time.Second, []Event{request(uint32(tt.probed), "safe")}, nil))
		if len(got) == 0 && tt.want || len(got) > 0 && (got[0].Worker == best.name) != tt.want {
			t.Errorf("best worker probed %s: probes %v, the best worker is %s", tt.name, got, best.name)
		}
	}
}
