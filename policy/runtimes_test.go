package policy

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"
)

// A worker that was slow gets jobs again after a while, as only jobs can show that it has recovered.
func TestSlownessDecays(t *testing.T) {
	d := testDispatcher(t, nil)
	j := &job{size: 0.05, slots: 1}
	w := d.byRank[0]
	w.learnedSlowness, w.slownessAt = 8, d.now
	if got := d.predictRuntime(w, j) / j.size; math.Abs(got-8) > 1e-9 {
		t.Errorf("just learned: predicted %v times the size, want 8", got)
	}
	d.now += 5 * slownessDecay
	if got := d.predictRuntime(w, j) / j.size; got > 2.1 {
		t.Errorf("long after: predicted %v times the size, want about 2", got)
	}
}

// All schedulers send requests with a key to the same worker while it has free slots, and to the same other
// worker when it fails.
func TestKeysPreferTheirHome(t *testing.T) {
	members := []Member{}
	for n := 0; n < 12; n++ {
		members = append(members, Member{Worker: string(rune('a' + n)), Zone: "z0", Kind: "k"})
	}
	seen := map[string]string{}
	for number := 0; number < 3; number++ {
		for _, key := range []string{"k1", "k2", "k3", "k4"} {
			d := testDispatcher(t, func(s *Settings) { s.Number, s.Schedulers, s.LoadReports = number, 3, true })
			d.Step(time.Second, []Event{{Kind: ListReplaced, Members: members}}, nil)
			for n, attempt := range []string{"first", "second"} {
				e := request(uint32(n+1), "safe")
				e.Key = key
				at := time.Duration(n+2) * time.Second
				got := ofKind(Send, d.Step(at, []Event{e}, nil))
				got = append(got, sendsAt(d, at+2*d.roundInterval)...)
				if len(got) != 1 {
					t.Fatalf("scheduler %d, %s, %s: %d sent", number, key, attempt, len(got))
				}
				w := got[0].Worker
				if before := seen[key+attempt]; before != "" && before != w {
					t.Errorf("scheduler %d sends %s to %s, another to %s", number, key, w, before)
				}
				seen[key+attempt] = w
				d.recordFailure(d.workers[w])
			}
			if seen[key+"first"] == seen[key+"second"] {
				t.Errorf("%s stays at a failing worker", key)
			}
		}
	}
}

// A key in too great demand for one worker has several homes, and different schedulers prefer different ones.
func TestKeyInDemandIsSpread(t *testing.T) {
	first := map[string]bool{}
	for number := range 3 {
		d := testDispatcher(t, func(s *Settings) { s.Number, s.Schedulers = number, 3 })
		d.slotUse = 1 // so that the zones have no separate homes
		j := &job{key: d.keyFor(7), size: 0.05}
		j.key.work, j.key.workAt = 3*d.slots(d.byRank[0]), d.now
		for _, w := range d.byRank {
			if d.fetchTime(w, j) == 0 {
				first[w.name] = true
			}
		}
		if j.key.workAt -= time.Hour; d.fetchTime(d.byRank[0], j)+d.fetchTime(d.byRank[1], j)+d.fetchTime(d.byRank[2], j) < d.meanRuntime {
			t.Error("a key that is no longer requested keeps several homes")
		}
	}
	if len(first) != 3 {
		t.Errorf("three schedulers prefer %v, want three workers", first)
	}
}

// homesOf returns the number of homes of j's key among the workers for which counts returns true.
func homesOf(d *Dispatcher, j *job, counts func(*worker) bool) (n int) {
	for _, w := range d.byRank {
		if counts(w) && d.fetchTime(w, j) == 0 {
			n++
		}
	}
	return n
}

// While slots are plentiful, each key has a home in the scheduler's own zone, and jobs go there rather than
// cross zones. While slots are scarce, it has one home for all zones, to take load off the store.
func TestKeyHasAHomeInOwnZone(t *testing.T) {
	for _, zone := range []string{"z0", "z1"} {
		d := testDispatcher(t, func(s *Settings) { s.Zone, s.CrossZonePrice = zone, 0.03 })
		d.meanFetchTime = 0 // fetches are short
		for hash := range uint32(50) {
			j := &job{key: d.keyFor(hash), size: 0.05, class: &d.cfg.Classes[0], deadline: time.Hour, targetBy: time.Hour}
			best := slices.MinFunc(d.byRank, func(a, b *worker) int { return cmp.Compare(d.cost(j, a, 1, 1), d.cost(j, b, 1, 1)) })
			own := homesOf(d, j, func(w *worker) bool { return w.zone == zone })
			if own != 1 || best.zone != zone {
				t.Errorf("key %d has %d homes in %s and goes to %s", hash, own, zone, best.zone)
			}
			d.slotUse = 1
			all := homesOf(d, j, func(*worker) bool { return true })
			if d.slotUse = 0; all != 1 {
				t.Errorf("key %d has %d homes where slots are scarce", hash, all)
			}
		}
	}
}
