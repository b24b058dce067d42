package policy

import (
	"math/rand/v2"
	"time"
)

// This file has the types of the module's state; policy.go names the files that work on them.

// Dispatcher decides for one scheduler. It must not be used by two goroutines at once.
type Dispatcher struct {
	set     Settings
	rng     *rand.Rand
	classes map[string]int
	tenants map[string]int
	buckets []bucket
	jobs    map[uint32]*job
	open    []*job // in order of arrival; scan removes ended ones
	workers map[string]*worker
	order   []*worker // own zone first, then in this scheduler's own order
	kinds   map[string]*kind
	fleet   []*kind // in order of appearance
	keys    map[uint32]*key
	means   []float64
	maxLeft []time.Duration // the most time that a request of each class had left at its arrival

	now, born, minTarget, roundInterval, listBackoff time.Duration

	roundAt, scanAt, listCallAt, armedAt time.Duration

	lastReport time.Duration // when the last load report of any worker arrived
	numbers    []int         // whose parts of shared budgets this scheduler may use, with its own
	until      time.Duration // from then on only its own, unless FleetUpdated extends it
	live       int           // schedulers that are assumed to live

	listRequested, failOpen, zoneUsable, overload, listLost, closing bool

	view, warming           []*worker // what near returned last; workers that are warming up
	homes, reach            int       // workers in the own zone; workers that near considers
	probesPerJob, probesDue float64   // probes that each job pays for; probes due
	largest                 float64   // seconds at speed 1 of the largest job seen
	othersUse               float64   // mean fraction of a worker's slots that other schedulers use
	use                     float64   // mean fraction of slots in use; queued jobs count, so up to 2
	meanRun                 float64   // mean runtime, seconds
	fetches                 float64   // number of fetches observed, 40 at most
	meanFetch               float64   // mean time of a fetch, seconds
	moveSuccess             float64   // fraction of moved attempts that start soon; recovers slowly
	out                     []Action
}

type job struct {
	id                 uint32
	class              *Class
	row                int // the class's number
	key                *key
	arrived, due       time.Duration
	targetBy           time.Duration
	check              time.Duration // when scan checks it next
	size               float64       // expected seconds at speed 1
	overQuota, pending bool          // overQuota: beyond its tenant's allowance
	ended, streaming   bool
	slots, memory      float64
	attempts           []*attempt
}
type attempt struct {
	j                                   *job
	w                                   *worker
	n                                   int
	sent, started                       time.Duration
	running, ended, neverRan, cancelled bool
	predicted                           float64 // seconds
	fetch                               float64 // seconds of predicted to fetch what the job needs
	slow                                float64 // its worker's slowness when it was sent
	wasWarming                          bool
	moveWeight                          float64 // its weight in Dispatcher.moveSuccess; 0: it wasn't moved
}
type bucket struct {
	tokens float64
	at     time.Duration
}
type worker struct {
	name, zone     string
	hash           uint32
	rank           int64 // position in this scheduler's order
	cell           int
	kind           *kind
	state          State
	started        time.Duration // of its process; 0: long ago
	suspectedAt    time.Duration // when it last looked like restarting
	inFlight       []*attempt
	past           []span // own attempts that ended within reportAge
	busy           float64
	running        float64
	maxRunning     float64 // most own slots that ran at once
	memory         float64 // own
	seen           float64 // most slots reported free
	seenMemory     float64
	freeAt         time.Duration // time of the last report, if it showed a free slot
	others         float64       // slots used by other schedulers, by the last report or start
	othersAt       time.Duration
	slow           float64 // its slowness: its runtimes over its kind's
	learnedAt      time.Duration
	fails          float64
	rejections     int // jobs rejected; halved by each that starts
	brokenConns    int // connections that broke since the last success
	blockedUntil   time.Duration
	lastProgress   time.Duration   // last sign that it works on jobs
	budgetUsed     float64         // seconds of work sent in budgetInterval, while it warms up
	budgetInterval time.Duration   // number of that interval
	idle           []time.Duration // when own idle connections were last used
	probing        bool
	probedAt       time.Duration // when it was last probed
}
type span struct {
	sent, ended time.Duration
	slots       float64
}

// kind is a machine kind with its learned runtimes: a linear fit on the size first, then a table by size.
type kind struct {
	name                string
	seen                float64 // most slots observed at a worker of it
	n, sx, sy, sxx, sxy float64
	table               [40]tableRow
}
type tableRow struct{ n, size, run float64 }

// key is something that some requests need cached at their worker.
type key struct {
	hash uint32
	work float64 // decaying sum of its jobs' work, seconds at speed 1
	at   time.Duration
}
type pair struct {
	j    *job
	w    *worker
	cost float64
}
