package policy

// How long a job runs on a worker, learned from responses, with the fetch of what it needs.

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	minSamples      = 6                // samples before a size's table row, or the linear fit, is used
	slowWeight      = 0.2              // weight of the newest runtime in a worker's own slowness
	keyDecay        = 5 * time.Second  // time constant by which the demand for a key decays
	maxHomeFraction = 0.7              // fraction of a worker's slots for one key; then it gets another home
	shortFetch      = 0.35             // mean runtimes up to which a fetch costs less than crossing zones
	homeStep        = 0.2              // of a fetch: what the key's next homes cost more than the first
	slowDecay       = 10 * time.Second // time constant by which a slowness over 2 decays without new samples
)

func row(size float64) int {
	return max(0, min(39, 24+int(math.Round(2*math.Log2(max(size, 1e-6))))))
}

// learn adds the runtime of an attempt that succeeded to the estimates.
func (d *Dispatcher) learn(a *attempt) {
	x, y := a.j.size, (d.now - max(a.sent, a.started)).Seconds()
	if !a.running || y <= 0 {
		return
	}
	if a.fetch >= fetchRuns*d.meanRun/2 {
		d.fetches = min(40, d.fetches+1)
		d.meanFetch += (y - a.predicted + a.fetch - d.meanFetch) / (d.fetches + 1)
	}
	k := a.w.kind
	ratio := max(0.25, min(4, y/max(a.predicted, 1e-4)*a.slow))
	slow := d.slowness(a.w)
	a.w.slow, a.w.learnedAt = slow*math.Pow(ratio/slow, slowWeight), d.now
	if a.wasWarming { // its slowness then shows how it warms up; its kind learns nothing
		return
	}
	d.meanRun += 0.05 * (y - d.meanRun)
	d.means[a.j.row] += 0.05 * (y - d.means[a.j.row])
	k.n, k.sx, k.sy, k.sxx, k.sxy = k.n+1, k.sx+x, k.sy+y, k.sxx+x*x, k.sxy+x*y
	r := &k.table[row(x)]
	r.n, r.size, r.run = r.n+1, r.size+x, r.run+y
}

// predict returns L_ij: the seconds that j would run on w now, with the fetch of what it needs.
func (d *Dispatcher) predict(w *worker, j *job) float64 {
	return w.kind.runtime(j.size)*d.slowness(w)/d.likelyWarmth(w) + d.fetch(w, j)
}

// slowness returns w's runtimes over its kind's. A great one decays, as only jobs can show that w recovered.
func (d *Dispatcher) slowness(w *worker) float64 {
	if w.slow < 2 {
		return w.slow
	}
	return max(2, w.slow*math.Exp(-float64(d.now-w.learnedAt)/float64(slowDecay)))
}

// fetch returns the seconds that w is expected to fetch what j needs. Workers cache what they used last; all
// fetch from one store, which slows down when many do. So a key ranks the workers, alike at all schedulers
// (rendezvous hashing), and the first usable ones, its homes, cache what it needs. While slots are plentiful
// each zone has a home of its own: a second copy is cheaper than crossing zones.
func (d *Dispatcher) fetch(w *worker, j *job) float64 {
	if j.key == nil {
		return 0
	}
	before, mine, spare := 0, mix(j.key.hash, w.hash), d.use < lightLoad && d.meanFetch < shortFetch*d.meanRun
	own := spare && w.zone == d.set.Zone
	for _, o := range d.order {
		rival := o != w && o.state == Ready && d.now >= o.blockedUntil && (!own || o.zone == w.zone)
		if rival && mix(j.key.hash, o.hash) > mine {
			before++
		}
	}
	// A key in great demand has several homes, and schedulers prefer different ones of them.
	demand := j.key.demand(d.now) / keyDecay.Seconds() * float64(d.live)
	homes := 1 + int(demand/(maxHomeFraction*d.slots(w)))
	if before < homes {
		order := (before + homes - d.set.Number%homes) % homes
		return fetchRuns * d.meanRun * homeStep * float64(order) / float64(homes)
	}
	over := float64(before - homes + 1)
	return fetchRuns * d.meanRun * over / (over + 1)
}

// demand returns the recent work with a key, in seconds at speed 1, decayed by its age.
func (k *key) demand(now time.Duration) float64 {
	return k.work * math.Exp(-float64(now-k.at)/float64(keyDecay))
}

// mix hashes a key and a worker into the worker's rank for the key.
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
	if r := &k.table[row(size)]; r.n >= minSamples {
		return r.run / r.size * size
	}
	if k.n < 2 {
		return size
	}
	if v := k.n*k.sxx - k.sx*k.sx; v > 1e-9*k.sxx && k.n >= minSamples {
		slope := (k.n*k.sxy - k.sx*k.sy) / v
		if y := k.sy/k.n + slope*(size-k.sx/k.n); slope > 0 && y > size*k.sy/k.sx/4 {
			return y
		}
	}
	return size * k.sy / k.sx
}
