package policy

import (
	"slices"
	"testing"
	"time"

	"ospreypond/internal/dispatcher/fleet/quota"
)

// killSchedulers has the schedulers for which is returns true die as the worker starts. With view, the others are
// notified of the numbers that pass to them, as the real quota has it; without, nobody is notified of anything.
func (f *testFleet) killSchedulers(is func(n int) bool, view bool) {
	f.idle = is
	for n := range f.all {
		if is(n) || !view {
			continue
		}
		l, err := quota.New(quota.Config{Size: len(f.all), Own: n, Lease: time.Hour, GuardTime: time.Millisecond}, f.start-2*time.Hour)
		if err != nil {
			f.t.Fatal(err)
		}
		for d := range f.all {
			if is(d) {
				l.Refused(f.start-time.Second, d, f.start-time.Second)
			}
		}
		e := Event{Kind: FleetUpdated, Numbers: l.Numbers(f.start), Until: f.start + time.Hour, Living: len(f.all)}
		f.inbox[n] = append([]Event{e}, f.inbox[n]...)
	}
}

// Seven in ten schedulers die as a worker starts to warm up. The others have far too many requests. With the fleet's
// view they use the complete budget, without it three tenths, and never more than the budget.
func TestQuotasOfDeadSchedulersAreUsed(t *testing.T) {
	for _, n := range []int{80, 300} {
		served := func(view bool, is func(int) bool) int {
			f := newFleet(t, n, false)
			f.killSchedulers(is, view)
			f.run(f.start+4*time.Second, time.Duration(n)*2*ms)
			for from := f.start; from < f.start+3*time.Second; from += 50 * ms {
				if sum, budget := sentBetween(f.sends, from, from+time.Second), 3*4*f.warmth(from+500*ms); sum > budget {
					t.Errorf("%d schedulers: %.2f s of work within a second from %v, the budget is %.2f", n, sum, from, budget)
				}
			}
			return f.served
		}
		most := func(k int) bool { return k%10 < 7 }
		with, without, noDeaths := served(true, most), served(false, most), served(false, func(int) bool { return false })
		t.Logf("%d schedulers, seven in ten dead: %d jobs served by the warming worker with the view, %d without, %d if nobody dies", n, with, without, noDeaths)
		if float64(with) < 1.8*float64(without) {
			t.Errorf("%d schedulers: %d jobs served with the view, %d without", n, with, without)
		}
		nobody := func(int) bool { return false }
		if same := served(true, nobody); same != noDeaths {
			t.Errorf("%d schedulers, all alive: %d jobs served with the view, %d without", n, same, noDeaths)
		}
	}
}

// A scheduler uses the parts of all its numbers until they expire, then its own, and none while it has no number.
func TestNumbersAreUsedUntilTheyExpire(t *testing.T) {
	for name, tt := range map[string]struct {
		numbers []int
		now     time.Duration
		want    []int
	}{
		"none":                     {nil, 5 * time.Second, nil},
		"its own number":           {[]int{2}, 5 * time.Second, []int{2}},
		"dead schedulers' numbers": {[]int{0, 2, 3}, 5 * time.Second, []int{0, 2, 3}},
		"after they expired":       {[]int{0, 2, 3}, 6 * time.Second, []int{2}},
	} {
		d := testDispatcher(t, func(s *Settings) { s.Schedulers, s.Number = 4, 2 })
		d.Step(4*time.Second, []Event{{Kind: FleetUpdated, Numbers: tt.numbers, Until: 6 * time.Second, Living: 3}}, nil)
		d.now = tt.now
		if got := d.activeNumbers(); !slices.Equal(got, tt.want) {
			t.Errorf("%s: acts for %v, want %v", name, got, tt.want)
		}
		w := d.order[0]
		w.started = d.now
		sent := 0.0
		for range 1000 {
			if d.inWarmingBudget(w, 0.001) {
				sent, w.budgetUsed = sent+0.001, w.budgetUsed+0.001
			}
		}
		one := budgetMargin * d.warmth(w) * max(1, w.kind.seen) * d.set.OverloadWindow.Seconds() / 4 * d.set.OverloadFactor / (budgetIntervals + 1)
		if want := one * float64(len(tt.want)); sent > want+0.001 || sent < want/2-0.002 {
			t.Errorf("%s: %.3f s sent to a warming worker, its parts are %.3f", name, sent, want)
		}
	}
}

// Seven in ten of 80 schedulers are dead and their clients come to the others. Of a tenant within its allowance three
// tenths of the requests rank as such without the fleet's view, and nearly all with it; over all schedulers never
// more than the allowance.
func TestAllowancesOfDeadSchedulersAreUsed(t *testing.T) {
	inside := func(view bool) (n int) {
		f := newFleet(t, 80, false)
		for i := range f.all { // newFleet's settings have no tenants
			s := testSettings()
			s.Schedulers, s.Number, s.Tenants = 80, i, []Tenant{{Name: "t", Allowance: 800}}
			f.all[i], _ = New(s, uint64(i))
		}
		f.killSchedulers(func(n int) bool { return n%10 < 7 }, view)
		for i, d := range f.all {
			if i%10 < 7 {
				continue
			}
			d.Step(f.start, f.inbox[i], nil)
			for k := range 330 { // 33 requests a second for 10 s: 24 schedulers bring 800
				at := f.start + time.Duration(k)*10*time.Second/330
				e := request(uint32(k+1), "safe")
				e.Tenant = "t"
				d.Step(at, []Event{e}, nil)
				if j := d.jobs[uint32(k+1)]; j != nil && !j.overQuota {
					n++
				}
			}
		}
		return n
	}
	with, without := inside(true), inside(false)
	t.Logf("of 7,920 requests within the allowance %d rank as such with the view, %d without", with, without)
	if with > 8000+800 || with < 2*without {
		t.Errorf("%d requests inside the share with the view, %d without", with, without)
	}
}
