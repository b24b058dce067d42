package policy

import (
	"math/rand/v2"
	"time"
)

// This file has the types of the module's state. policy.go lists the files with the decisions on it. Unless a
// comment says otherwise, a float64 of time or work is in seconds, and work is the runtime at speed 1.

// Dispatcher makes the decisions of one scheduler. Only one goroutine may use it at a time.
type Dispatcher struct {
	cfg     Settings
	rng     *rand.Rand
	classes map[string]int // by name: the index in Settings.Classes
	tenants map[string]int // by name: the index in Settings.Tenants
	buckets []tokenBucket  // by tenant
	// jobs has the jobs without a final response, and jobs with an attempt that is still in flight.
	jobs             map[uint32]*job
	openJobs         []*job // in order of arrival; scan removes ended jobs
	workers          map[string]*worker
	byRank           []*worker // by worker.rank: own zone first, in an order that differs between schedulers
	kinds            map[string]*kind
	kindList         []*kind         // the kinds, in the order of their first listing
	keys             map[uint32]*key // by hash
	classMeanRuntime []float64       // by class: mean runtime, taken as the size of a job without an estimate
	maxTimeLeft      []time.Duration // by class: the most time that a request had left at its arrival

	// now is the time of the current step. firstStepAt is the time of the first step. minTarget is the
	// shortest latency target of a class, a minute at most. listBackoff bounds the random delay before
	// the next call for the list.
	now, firstStepAt, minTarget, roundInterval, listBackoff time.Duration

	// When the next round, the next check of the open jobs and the next call for the list are due, and for
	// when the last timer was set. never: none is due, or no timer was set.
	roundAt, scanAt, listCallAt, armedAt time.Duration

	lastReport     time.Duration // when the last load report of any worker arrived
	numbers        []int         // scheduler numbers; it may use their budget shares
	numbersUntil   time.Duration // when numbers expires: then only its own number is valid
	liveSchedulers int           // number of schedulers that are assumed to be alive

	// listRequested: Subscribe was returned, and since then neither a list nor its loss was received.
	// failOpen: nearly all candidates look unhealthy, so none is avoided. ownZoneUsable: a candidate in
	// the own zone is healthy. overloaded: nearly all slots are in use, so late jobs are given up.
	// closing: Closing was received.
	listRequested, failOpen, ownZoneUsable, overloaded, listLost, closing bool

	candidateBuffer, warmingWorkers []*worker // last result of candidates; all that are warming up
	ownZoneWorkers, candidateLimit  int       // workers in the own zone; see candidates
	probesPerJob, probesDue         float64   // how many probes each job brings; how many may be sent now
	largestSize                     float64   // largest estimate of a job's work so far
	othersSlotUse                   float64   // mean fraction of a worker's slots that other schedulers use
	slotUse                         float64   // mean fraction of slots in use, with queued jobs: 0 to 2
	meanRuntime                     float64   // mean runtime of all jobs
	fetchSamples                    float64   // number of samples in meanFetchTime, 40 at most
	meanFetchTime                   float64   // mean time that a worker takes to fetch a job's data
	moveSuccess                     float64   // estimated fraction of moves that succeed; see attempts.go
	actions                         []Action  // of the current step
}

// job is a request, from its arrival until it has its final response and all its attempts have ended.
type job struct {
	id                 uint32
	class              *Class
	classIndex         int           // index of class in Settings.Classes
	key                *key          // nil: not known
	arrived, deadline  time.Duration // deadline: when the client gives up
	targetBy           time.Duration // when its latency target ends
	nextCheck          time.Duration // when scan checks it next
	size               float64       // expected work
	overQuota, pending bool          // beyond its tenant's allowance; waiting for an attempt to be sent
	ended, streaming   bool          // has its final response; the client has the response's first part
	slots, memory      float64       // slots and memory that it occupies at a worker
	attempts           []*attempt
}

// attempt is one attempt of a job at a worker.
type attempt struct {
	j                                   *job
	w                                   *worker
	index                               int           // number among the job's attempts, from 0
	sent, started                       time.Duration // started: sent, if starts aren't reported
	running, ended, neverRan, cancelled bool          // running stays set after the end
	predicted                           float64       // runtime predicted when it was sent, with the fetch
	predictedFetch                      float64       // the part of predicted for the fetch
	slowness                            float64       // its worker's slowness when it was sent
	wasWarming                          bool          // its worker was warming up when it was sent
	moveWeight                          float64       // its weight in Dispatcher.moveSuccess; 0: not moved
}

// tokenBucket is a tenant's token bucket. A request that takes a token is within the allowance.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration // when tokens was last refilled
}

// worker is the state of a worker as this scheduler knows it.
type worker struct {
	name, zone         string
	nameHash           uint32 // of the name, 24 bits
	rank               int64  // sort key of Dispatcher.byRank
	cell               int
	kind               *kind
	state              State
	started            time.Duration // start of its process; 0: long ago
	suspectedRestartAt time.Duration // last sign that it restarted, before the list shows it
	inFlight           []*attempt
	recentlyEnded      []attemptSpan // own attempts that ended within assumedReportAge, at least
	busySlots          float64       // slots of the attempts in flight
	runningSlots       float64       // slots of the attempts that are running
	maxRunningSlots    float64       // largest value of runningSlots
	ownMemory          float64       // memory of the attempts in flight
	maxFreeSlots       float64       // most free slots in a report
	maxFreeMemory      float64       // most free memory in a report; 0: none was reported
	freeSlotReportAt   time.Duration // when the last report arrived, if it showed a free slot; else 0
	othersSlots        float64       // slots used by other schedulers, when last observed
	othersSlotsAt      time.Duration // when that was
	learnedSlowness    float64       // its runtimes over its kind's, as of slownessAt; slowness decays it
	slownessAt         time.Duration
	failures           float64         // failures less half of each success after them, 0 to maxFailures
	rejections         int             // jobs rejected or left waiting; halved by each that starts
	brokenConns        int             // connections that broke since an attempt or probe last succeeded
	blockedUntil       time.Duration   // it gets no jobs before
	lastProgress       time.Duration   // last sign that it works on jobs: a start, progress or a result
	budgetUsed         float64         // slot-seconds of work sent there in budgetInterval, while it warms up
	budgetInterval     time.Duration   // number of the interval that budgetUsed counts
	idleConns          []time.Duration // for each idle connection to it: when it was last used
	probing            bool            // a probe is in flight
	probedAt           time.Duration   // when it was last probed
}

// attemptSpan is an attempt that ended.
type attemptSpan struct {
	sent, ended time.Duration
	slots       float64
}

// kind is a machine kind with the runtimes that were observed on it. Sizes are the jobs' expected work;
// see runtime.
type kind struct {
	name                string
	maxSlots            float64        // most slots free, or in own use, at one worker of the kind
	n, sx, sy, sxx, sxy float64        // sums of 1, x, y, xx and xy: x the size, y the runtime
	runtimeBySize       [40]runtimeRow // by sizeRow
}

// runtimeRow has the number of samples of similar sizes, and the sums of their sizes and runtimes.
type runtimeRow struct{ samples, sizeSum, runtimeSum float64 }

// key is a named piece of data that some requests need cached at their worker.
type key struct {
	hash   uint32
	work   float64 // sum of its jobs' work times slots, decayed to the time workAt; see demand
	workAt time.Duration
}

// pair is a pairing that a round chose.
type pair struct {
	j    *job
	w    *worker
	cost float64
}
