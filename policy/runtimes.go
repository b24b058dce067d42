package policy

// How long a job runs on a worker, learnt from answers, with the fetch of what it needs.

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	tableMin   = 6                // samples of a size before its table row replaces the linear fit
	slowMemory = 0.2              // weight of the newest runtime in a worker's own slowness
	keyMemory  = 5 * time.Second  // over which the demand for a key is counted
	homeShare  = 0.7              // share of a worker's slots that one key may fill; then it gets another
	shortFetch = 0.35             // mean runtimes up to which a fetch costs less than crossings, and it has
	homeStep   = 0.2              // of a fetch: how much dearer the other workers that have the key are
	slowFades  = 10 * time.Second // over which a great slowness fades while nothing new shows it
)

func row(size float64) int {
	return max(0, min(39, 24+int(math.Round(2*math.Log2(max(size, 1e-6))))))
}

// learn takes in the runtime of an attempt that was answered.
func (d *Dispatcher) learn(a *attempt) {
	x, y := a.j.size, (d.now - max(a.sent, a.started)).Seconds()
	if !a.running || y <= 0 {
		return
	}
	if a.fetch >= fetchRuns*d.run/2 {
		d.fetches = min(40, d.fetches+1)
		d.fetched += (y - a.predicted + a.fetch - d.fetched) / (d.fetches + 1)
	}
	k := a.w.kind
	ratio := max(0.25, min(4, y/max(a.predicted, 1e-4)*a.slow))
	slow := d.slowness(a.w)
	a.w.slow, a.w.learnt = slow*math.Pow(ratio/slow, slowMemory), d.now
	if a.wasCold { // its slowness tells how fast it really warms; its kind learns nothing
		return
	}
	d.run += 0.05 * (y - d.run)
	d.means[a.j.row] += 0.05 * (y - d.means[a.j.row])
	k.n, k.sx, k.sy, k.sxx, k.sxy = k.n+1, k.sx+x, k.sy+y, k.sxx+x*x, k.sxy+x*y
	r := &k.table[row(x)]
	r.n, r.size, r.run = r.n+1, r.size+x, r.run+y
}

// predict returns L_ij: the seconds that j would run on w now, with the fetch of what it needs.
func (d *Dispatcher) predict(w *worker, j *job) float64 {
	return w.kind.runtime(j.size)*d.slowness(w)/d.likely(w) + d.fetch(w, j)
}

// slowness returns w's runtimes over its kind's. A great one fades, as only jobs show that w is well again.
func (d *Dispatcher) slowness(w *worker) float64 {
	if w.slow < 2 {
		return w.slow
	}
	return max(2, w.slow*math.Exp(-float64(d.now-w.learnt)/float64(slowFades)))
}

// fetch returns the seconds that w is expected to fetch what j needs. Workers keep what they used last, and
// all fetch from one store, which slows down for all when too many do. So each key has an order of workers,
// which every scheduler computes by itself, and the first with room keeps what the key needs.
// While slots are left the own zone has a first one too: a second copy is cheaper than crossings.
func (d *Dispatcher) fetch(w *worker, j *job) float64 {
	if j.key == nil {
		return 0
	}
	before, mine, spare := 0, mix(j.key.hash, w.hash), d.full < calm && d.fetched < shortFetch*d.run
	own := spare && w.zone == d.set.Zone
	for _, o := range d.order {
		rival := o != w && o.state == Ready && d.now >= o.blocked && (!own || o.zone == w.zone)
		if rival && mix(j.key.hash, o.hash) > mine {
			before++
		}
	}
	// A key in great demand has several first workers, and schedulers start at different ones of them.
	demand := j.key.demand(d.now) / keyMemory.Seconds() * float64(d.peers)
	homes := 1 + int(demand/(homeShare*d.slots(w)))
	if before < homes {
		turn := (before + homes - d.set.Number%homes) % homes
		return fetchRuns * d.run * homeStep * float64(turn) / float64(homes)
	}
	over := float64(before - homes + 1)
	return fetchRuns * d.run * over / (over + 1)
}

// demand returns the work that came with a key of late, seconds at speed 1; it fades with time.
func (k *key) demand(now time.Duration) float64 {
	return k.work * math.Exp(-float64(now-k.at)/float64(keyMemory))
}

// mix returns a number that orders workers for a key.
func mix(key, worker uint32) uint32 {
	x := uint64(key)<<32 | uint64(worker)
	x = (x ^ x>>31) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return uint32(x >> 32)
}

func hashOf(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// runtime returns the seconds that a job of this size runs on a warm worker of this kind.
func (k *kind) runtime(size float64) float64 {
	if r := &k.table[row(size)]; r.n >= tableMin {
		return r.run / r.size * size
	}
	if k.n < 2 {
		return size
	}
	if v := k.n*k.sxx - k.sx*k.sx; v > 1e-9*k.sxx && k.n >= tableMin {
		slope := (k.n*k.sxy - k.sx*k.sy) / v
		if y := k.sy/k.n + slope*(size-k.sx/k.n); slope > 0 && y > size*k.sy/k.sx/4 {
			return y
		}
	}
	return size * k.sy / k.sx
}
