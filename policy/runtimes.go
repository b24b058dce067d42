package policy

// This file estimates how long a job runs on a worker, from the runtimes of attempts that succeeded, and
// how long the worker takes to fetch the job's data if it isn't in the worker's cache:
//
//	predicted = kind's runtime for the size x worker's slowness / worker's typical capacity + fetch time
//
// The fetch part also steers requests: it is lowest at the workers that a key's requests should share.

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	minSamples            = 6                // least samples of a runtimeRow, or of the linear fit, to use it
	slownessWeight        = 0.2              // weight of the newest sample in a worker's slowness
	keyDemandDecay        = 5 * time.Second  // time constant of the exponential decay of a key's demand
	maxHomeSlotFraction   = 0.7              // fraction of a home's slots for a key; more demand adds a home
	shortFetchRuns        = 0.35             // mean runtimes; a shorter fetch costs less than crossing zones
	nextHomeFetchFraction = 0.2              // part of a fetch that a home costs at most
	slownessDecay         = 10 * time.Second // time constant of the exponential decay of a slowness over 2
)

// sizeRow returns the row of kind.runtimeBySize for a size in seconds. There are two rows for each doubling
// of the size, from about 0.25 ms in row 0 over 1 s in row 24 to 180 s in row 39; sizes beyond share the
// outer rows.
func sizeRow(size float64) int {
	return max(0, min(39, 24+int(math.Round(2*math.Log2(max(size, 1e-6))))))
}

// learnRuntime adds the runtime of an attempt that has just succeeded to the estimates:
//   - If the worker was no home of the key, the runtime less the prediction without the fetch is a sample of
//     meanFetchTime.
//   - The runtime over the prediction, from which the worker's slowness is taken out, is a sample of that
//     slowness, a geometric moving mean. Samples are limited to 0.25 to 4, so that no single one counts for
//     much.
//   - The runtime is a sample of the kind's runtimes and of the means of the class and of all jobs, but not
//     while the worker is warming up: only its slowness then shows how fast it warms up.
func (d *Dispatcher) learnRuntime(a *attempt) {
	x, y := a.j.size, (d.now - max(a.sent, a.started)).Seconds()
	if !a.running || y <= 0 {
		return
	}
	if a.predictedFetch >= fetchCostRuns*d.meanRuntime/2 {
		d.fetchSamples = min(40, d.fetchSamples+1)
		d.meanFetchTime += (y - a.predicted + a.predictedFetch - d.meanFetchTime) / (d.fetchSamples + 1)
	}
	k := a.w.kind
	ratio := max(0.25, min(4, y/max(a.predicted, 1e-4)*a.slowness))
	slow := d.slowness(a.w)
	a.w.learnedSlowness, a.w.slownessAt = slow*math.Pow(ratio/slow, slownessWeight), d.now
	if a.wasWarming {
		return
	}
	d.meanRuntime += 0.05 * (y - d.meanRuntime)
	d.classMeanRuntime[a.j.classIndex] += 0.05 * (y - d.classMeanRuntime[a.j.classIndex])
	k.n, k.sx, k.sy, k.sxx, k.sxy = k.n+1, k.sx+x, k.sy+y, k.sxx+x*x, k.sxy+x*y
	r := &k.runtimeBySize[sizeRow(x)]
	r.samples, r.sizeSum, r.runtimeSum = r.samples+1, r.sizeSum+x, r.runtimeSum+y
}

// predictRuntime returns the seconds that j would run on w if it started now, by the formula at the head of
// this file (L_ij of the Kairos paper).
func (d *Dispatcher) predictRuntime(w *worker, j *job) float64 {
	return w.kind.runtime(j.size)*d.slowness(w)/d.typicalCapacity(w) + d.fetchTime(w, j)
}

// slowness returns the ratio of w's runtimes to its kind's. A ratio over 2 decays to 2: otherwise w would
// get no further jobs, and only jobs can show that it has recovered.
func (d *Dispatcher) slowness(w *worker) float64 {
	if w.learnedSlowness < 2 {
		return w.learnedSlowness
	}
	return max(2, w.learnedSlowness*math.Exp(-float64(d.now-w.slownessAt)/float64(slownessDecay)))
}

// fetchTime returns the seconds that w is expected to take to fetch j's data. Workers cache the data that
// they used last. All fetch from one store, which slows down when many do. So the jobs of a key should
// share few workers:
//
//  1. The key ranks the workers by a hash of key and worker (rendezvous hashing), so all schedulers that know
//     the same usable workers have the same ranking. Removed, draining and blocked workers are left out.
//  2. The first ones of the ranking are the key's homes, which are assumed to have its data. There are as
//     many as the key's demand needs, see maxHomeSlotFraction.
//  3. The fetch time is 0 at the home that this scheduler prefers, and up to nextHomeFetchFraction of a
//     full fetch at other homes. Schedulers with different numbers prefer different homes.
//  4. The fetch time at the k-th worker after the homes is k/(k+1) of a full fetch. So jobs that the homes
//     can't take gather at the next workers of the ranking.
//
// While slots are plentiful and fetches short, workers in this scheduler's zone are ranked among
// themselves, so that each key has homes in each zone: a second copy is cheaper than crossing zones.
func (d *Dispatcher) fetchTime(w *worker, j *job) float64 {
	if j.key == nil {
		return 0
	}
	position, weight, zoneHomes := 0, rendezvousHash(j.key.hash, w.nameHash),
		d.slotUse < lightSlotUse && d.meanFetchTime < shortFetchRuns*d.meanRuntime
	ownZoneOnly := zoneHomes && w.zone == d.cfg.Zone
	for _, other := range d.byRank {
		rival := other != w && other.state == Ready && d.now >= other.blockedUntil &&
			(!ownZoneOnly || other.zone == w.zone)
		if rival && rendezvousHash(j.key.hash, other.nameHash) > weight {
			position++
		}
	}
	// Slots that the key's jobs use, if all schedulers send as many as this one.
	slotDemand := j.key.demand(d.now) / keyDemandDecay.Seconds() * float64(d.liveSchedulers)
	homes := 1 + int(slotDemand/(maxHomeSlotFraction*d.slots(w)))
	if position < homes {
		preference := (position + homes - d.cfg.Number%homes) % homes
		return fetchCostRuns * d.meanRuntime * nextHomeFetchFraction * float64(preference) / float64(homes)
	}
	beyond := float64(position - homes + 1)
	return fetchCostRuns * d.meanRuntime * beyond / (beyond + 1)
}

// demand returns the work with a key in slot-seconds, each job's decayed by its age. In a steady state that
// is the mean number of slots in use times keyDemandDecay in seconds.
func (k *key) demand(now time.Duration) float64 {
	return k.work * math.Exp(-float64(now-k.workAt)/float64(keyDemandDecay))
}

// rendezvousHash returns the hash of a key and a worker. A key ranks the workers by it, the highest first.
func rendezvousHash(key, worker uint32) uint32 {
	x := uint64(key)<<32 | uint64(worker)
	x = (x ^ x>>31) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return uint32(x >> 32)
}

// hashName returns the FNV-1a hash of a name.
func hashName(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// runtime returns the seconds that a job of this size is expected to run on a warmed-up worker of this kind.
// It uses the first of these estimates that has enough samples:
//
//  1. The mean runtime per size of jobs of about this size, times the size.
//  2. A linear fit of the runtime to the size, if runtimes grow with sizes and the fit is not below a quarter
//     of 3, as it may be for small sizes.
//  3. The mean runtime per size of all jobs, times the size.
//  4. The size: a kind of speed 1.
func (k *kind) runtime(size float64) float64 {
	if r := &k.runtimeBySize[sizeRow(size)]; r.samples >= minSamples {
		return r.runtimeSum / r.sizeSum * size
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
