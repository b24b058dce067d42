package policy

import (
	"slices"
	"testing"
	"time"

	"ospreypond/internal/dispatcher/fleet/quota"
)

// killSchedulers stops the schedulers for which isDead returns true when the worker starts. If notify is
// set, the live schedulers are notified of the numbers that they take over, by the rules of package
// quota.
func (f *testFleet) killSchedulers(isDead func(n int) bool, notify bool) {
	f.idle = isDead
	for n := range f.all {
		if isDead(n) || !notify {
			continue
		}
		tracker, err := quota.New(quota.Config{Size: len(f.all), Own: n, Lease: time.Hour, GuardTime: time.Millisecond}, f.start-2*time.Hour)
		if err != nil {
			f.t.Fatal(err)
		}
		for d := range f.all {
			if isDead(d) {
				tracker.Refused(f.start-time.Second, d, f.start-time.Second)
			}
		}
		e := Event{Kind: FleetUpdated, Numbers: tracker.Numbers(f.start), NumbersValidUntil: f.start + time.Hour, LiveSchedulers: len(f.all)}
		f.inbox[n] = append([]Event{e}, f.inbox[n]...)
	}
}

// Seven in ten schedulers die when a worker starts to warm up, and the live ones have far too many
// requests. If the live schedulers are notified of the numbers that they take over, they use the whole
// budget, otherwise three tenths of it. They never send more than the budget.
func TestQuotasOfDeadSchedulersAreUsed(t *testing.T) {
	for _, n := range []int{80, 300} {
		served := func(notify bool, isDead func(int) bool) int {
			f := newFleet(t, n, false)
			f.killSchedulers(isDead, notify)
			f.run(f.start+4*time.Second, time.Duration(n)*2*ms)
			for from := f.start; from < f.start+3*time.Second; from += 50 * ms {
				if sum, budget := sentBetween(f.sends, from, from+time.Second), 3*4*f.warmth(from+500*ms); sum > budget {
					t.Errorf("%d schedulers: %.2f s of work within a second from %v, the budget is %.2f", n, sum, from, budget)
				}
			}
			return f.served
		}
		sevenInTen := func(k int) bool { return k%10 < 7 }
		with, without, noDeaths := served(true, sevenInTen), served(false, sevenInTen), served(false, func(int) bool { return false })
		t.Logf("%d schedulers, seven in ten dead: the warming worker serves %d jobs if the others are notified, %d if not, %d if none dies", n, with, without, noDeaths)
		if float64(with) < 1.8*float64(without) {
			t.Errorf("%d schedulers, seven in ten dead: %d jobs served if the others are notified, %d if not", n, with, without)
		}
		nobody := func(int) bool { return false }
		if same := served(true, nobody); same != noDeaths {
			t.Errorf("%d schedulers, none dead: %d jobs served if they are notified, %d if not", n, same, noDeaths)
		}
	}
}

// A scheduler uses the shares of all its numbers until these expire, after that its own share, and none if it
// has no number.
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
		d.Step(4*time.Second, []Event{{Kind: FleetUpdated, Numbers: tt.numbers, NumbersValidUntil: 6 * time.Second, LiveSchedulers: 3}}, nil)
		d.now = tt.now
		if got := d.activeNumbers(); !slices.Equal(got, tt.want) {
			t.Errorf("%s: uses the shares of %v, want %v", name, got, tt.want)
		}
		w := d.byRank[0]
		w.started = d.now
		sent := 0.0
		for range 1000 {
			if d.inWarmUpBudget(w, 0.001) {
				sent, w.budgetUsed = sent+0.001, w.budgetUsed+0.001
			}
		}
		oneShare := budgetMargin * d.minCapacity(w) * max(1, w.kind.maxSlots) * d.cfg.OverloadWindow.Seconds() / 4 * d.cfg.OverloadFactor / (intervalsPerWindow + 1)
		if want := oneShare * float64(len(tt.want)); sent > want+0.001 || sent < want/2-0.002 {
			t.Errorf("%s: %.3f s of work sent to a warming worker, the shares are %.3f s", name, sent, want)
		}
	}
}

// Seven in ten of 80 schedulers are dead, and their clients send to the live ones. If the live schedulers
// are notified of the numbers that they take over, they treat nearly all requests of a tenant within its
// allowance as within it, otherwise three tenths. All schedulers together treat no more than the
// allowance as within it.
func TestAllowancesOfDeadSchedulersAreUsed(t *testing.T) {
	within := func(notify bool) (n int) {
		f := newFleet(t, 80, false)
		for i := range f.all { // newFleet's settings have no tenants
			s := testSettings()
			s.Schedulers, s.Number, s.Tenants = 80, i, []Tenant{{Name: "t", Allowance: 800}}
			f.all[i], _ = New(s, uint64(i))
		}
		f.killSchedulers(func(n int) bool { return n%10 < 7 }, notify)
		for i, d := range f.all {
			if i%10 < 7 {
				continue
			}
			d.Step(f.start, f.inbox[i], nil)
			for k := range 330 { // 33 requests/s for 10 s: 24 schedulers get 792 requests/s
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
	with, without := within(true), within(false)
	t.Logf("of 7,920 requests within the allowance, %d count as within it if schedulers are notified, %d if not", with, without)
	if with > 8000+800 || with < 2*without {
		t.Errorf("%d requests count as within the allowance if schedulers are notified, %d if not", with, without)
	}
}
