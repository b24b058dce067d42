package policy

import (
	"math/rand/v2"
	"time"
)

// This file holds the types of the module's memory; policy.go names the files with what is done with them.

// Dispatcher decides for one scheduler. It must not be used by two goroutines at once.
type Dispatcher struct {
	set     Settings
	rng     *rand.Rand
	classes map[string]int
	tenants map[string]int
	buckets []bucket
	jobs    map[uint32]*job
	open    []*job // in order of arrival; ended ones are dropped by the scan
	workers map[string]*worker
	order   []*worker // own zone first, then in this scheduler's own order
	kinds   map[string]*kind
	fleet   []*kind // in order of appearance
	keys    map[uint32]*key
	means   []float64
	longest []time.Duration // the most time that a request of each class had left

	now, born, minAim, roundGap, backOff time.Duration

	roundAt, scanAt, askAt, armedAt time.Duration

	heardAt time.Duration // when a worker's last report came
	numbers []int         // whose parts of what all share this scheduler may use, its own among them
	until   time.Duration // from then on only its own, unless it is told more
	peers   int           // schedulers that are taken to live

	asking, failOpen, home, overload, listLost, closing bool

	view, cold    []*worker // what near returned last; not warm, with a part for this scheduler
	homes, reach  int       // workers in the own zone; workers looked at
	perJob, toAsk float64   // probes for each job; probes due
	largest       float64   // seconds at speed 1 of the largest job seen
	othersHeld    float64   // the mean share of slots that others hold
	full          float64   // the mean share of slots that are in use
	run           float64   // the mean runtime, seconds
	fetches       float64   // how many were seen, 40 at most
	fetched       float64   // the mean time that fetches took, seconds
	moves         float64   // share of moved attempts that start soon; it comes back slowly
	out           []Action
}

type job struct {
	id               uint32
	class            *Class
	row              int // the class's number
	key              *key
	arrived, due     time.Duration
	aimBy            time.Duration
	check            time.Duration // when the scan looks at it again
	size             float64       // expected seconds at speed 1
	over, held       bool          // over: beyond its tenant's allowance
	ended, streaming bool
	slots, memory    float64
	attempts         []*attempt
}
type attempt struct {
	j                                 *job
	w                                 *worker
	n                                 int
	sent, started                     time.Duration
	running, over, neverRan, withdraw bool
	predicted                         float64 // seconds
	fetch                             float64 // seconds of them to fetch what the job needs
	slow                              float64 // of its worker when it was sent
	wasCold                           bool
	tells                             float64 // its weight in whether moving helps; 0: none
}
type bucket struct {
	tokens float64
	at     time.Duration
}
type worker struct {
	name, zone string
	hash       uint32
	rank       int64 // its place in this scheduler's order
	cell       int
	kind       *kind
	state      State
	started    time.Duration // of its process; 0: long ago
	suspect    time.Duration // when it last looked like restarting
	out        []*attempt
	past       []span // own attempts that ended lately
	busy       float64
	running    float64
	most       float64 // own slots that ran at once
	memory     float64 // own
	seen       float64 // most slots reported free
	seenMemory float64
	roomAt     time.Duration // of the last report, if it showed room
	others     float64       // slots held by other schedulers, by the last report
	othersAt   time.Duration
	slow       float64 // its runtimes over its kind's
	learnt     time.Duration
	fails      float64
	turned     int // jobs turned away, halved by each that starts
	broken     int // connections that broke since an attempt ended well
	blocked    time.Duration
	alive      time.Duration   // last sign that it works on jobs
	coldSent   float64         // seconds of work sent in this turn, while cold
	coldTurn   time.Duration   // number of that turn
	idle       []time.Duration // when own idle connections were last used
	probing    bool
	askedAt    time.Duration // when it was last probed
}
type span struct {
	sent, ended time.Duration
	slots       float64
}

// kind is a machine kind with its learned runtimes: a linear fit on the size first, then a table by size.
type kind struct {
	name                string
	seen                float64 // most slots a worker of it was seen to have
	n, sx, sy, sxx, sxy float64
	table               [40]tableRow
}
type tableRow struct{ n, size, run float64 }

// key is what some requests need at their worker.
type key struct {
	hash uint32
	work float64 // that came with it, seconds at speed 1, fading
	at   time.Duration
}
type pair struct {
	j    *job
	w    *worker
	cost float64
}
