package placement

import (
	"cmp"
	"slices"
)

const (
	batchRows   = 32  // tasks in one matching
	placesMost  = 96  // places in one matching, about
	allRooms    = 48  // runners up to which all take part in each matching
	sparePlaces = 4   // places looked at for a task beyond those that tasks like it would fill
	triesMost   = 3   // matchings that a task takes part in, in one round
	waitFrom    = 1.2 // a task may wait for a better room if its best one now is so much slower than the best of all
	waitMargin  = 0.9 // and waiting must cost that much less
)

// matching has the buffers of one matching.
type matching struct {
	batch   []*candidate
	costs   [][]float64
	flat    []float64
	places  []*room // by column
	rooms   []*room // that take part
	picked  []bool  // by room
	nearest []pick
	picks   []pick
	bestOf  *candidate
	best    float64 // least runtime of bestOf anywhere, seconds
}

// pick is a pairing and its cost.
type pick struct {
	candidate *candidate
	room      *room
	cost      float64
}

// placeSingles matches the tasks that start alone, batch after batch in the order of their rank, until nothing more
// fits.
func (p *Planner) placeSingles(level []*candidate) {
	for _, c := range level {
		if c.task.LongRunning && !c.task.Gang {
			p.placeLasting(c)
		}
	}
	for p.nextBatch(level) {
		p.offerPlaces()
		if len(p.match.places) == 0 {
			p.failBatch(triesMost)
			continue
		}
		p.fillCosts()
		p.solve()
		p.failBatch(1)
	}
	for _, c := range level {
		if !c.placed && !c.large && !c.task.Gang {
			p.blockAlone(c)
		}
	}
}

// placeLasting places a task that lasts in the cheapest room. Each one makes its runner and rack dearer for the next, so
// they go one by one; as those of a step are alike, that costs the least too.
func (p *Planner) placeLasting(c *candidate) {
	c.tries = triesMost
	var cheapest *room
	least := forbidden
	for i := range p.rooms {
		r := &p.rooms[i]
		if !p.may(c, r) {
			continue
		}
		if cost := p.cost(c, r); cost < least {
			cheapest, least = r, cost
		}
	}
	if cheapest != nil {
		p.place(c, cheapest, p.runtime(c, cheapest))
	}
}

// nextBatch gathers the next tasks that still look for a place.
func (p *Planner) nextBatch(level []*candidate) bool {
	m := &p.match
	m.batch = m.batch[:0]
	for _, c := range level {
		if c.placed || c.large || c.task.Gang || c.tries >= triesMost {
			continue
		}
		m.batch = append(m.batch, c)
		if len(m.batch) == batchRows {
			break
		}
	}
	return len(m.batch) > 0
}

func (p *Planner) failBatch(tries int) {
	for _, c := range p.match.batch {
		c.tries += tries
	}
}

// offerPlaces lets each runner that takes part offer as many places as its room has for the smallest of the batch.
func (p *Planner) offerPlaces() {
	m := &p.match
	p.pickRooms()
	m.places = m.places[:0]
	each := len(m.batch)
	if len(m.rooms) > 0 {
		each = min(each, max(1, placesMost/len(m.rooms)))
	}
	for _, r := range m.rooms {
		count := 0
		for i, c := range m.batch {
			if i > 0 && alike(c, m.batch[i-1]) {
				continue
			}
			if count < each && p.may(c, r) {
				count = max(count, r.fitting(c.task, each))
			}
		}
		for range count {
			m.places = append(m.places, r)
		}
	}
}

// pickRooms chooses the runners that take part: all if there are few, else the cheapest for each of the batch.
func (p *Planner) pickRooms() {
	m := &p.match
	m.rooms = m.rooms[:0]
	if len(p.rooms) <= allRooms {
		for i := range p.rooms {
			m.rooms = append(m.rooms, &p.rooms[i])
		}
		return
	}
	m.picked = slices.Grow(m.picked[:0], len(p.rooms))[:len(p.rooms)]
	clear(m.picked)
	for i, c := range m.batch {
		if i > 0 && alike(c, m.batch[i-1]) {
			continue
		}
		p.pickNearest(c, m.likes(i)+sparePlaces)
	}
	for i := range p.rooms {
		if m.picked[i] {
			m.rooms = append(m.rooms, &p.rooms[i])
		}
	}
}

// likes counts the tasks of the batch from position i on that are alike.
func (m *matching) likes(i int) int {
	count := 1
	for i+count < len(m.batch) && alike(m.batch[i], m.batch[i+count]) {
		count++
	}
	return count
}

// alike tells whether two tasks cost the same everywhere and may go to the same rooms.
func alike(a, b *candidate) bool {
	s, t := a.task, b.task
	return s.Group == t.Group && s.Queue == t.Queue && s.SizeMs == t.SizeMs && s.Needs == t.Needs &&
		s.Affinity == t.Affinity && s.Requirements == t.Requirements && s.AntiAffinity == t.AntiAffinity &&
		s.TimeLeft == t.TimeLeft && s.HasCheckpoint == t.HasCheckpoint && s.Remaining == t.Remaining &&
		s.LongRunning == t.LongRunning && a.rescue == b.rescue
}

// pickNearest picks the cheapest rooms that have the given number of places for a task.
func (p *Planner) pickNearest(c *candidate, places int) {
	m := &p.match
	m.nearest = m.nearest[:0]
	for i := range p.rooms {
		r := &p.rooms[i]
		if p.may(c, r) {
			m.nearest = append(m.nearest, pick{room: r, cost: p.cost(c, r)})
		}
	}
	slices.SortFunc(m.nearest, comparePicks)
	for _, n := range m.nearest {
		if places <= 0 {
			return
		}
		m.picked[n.room.index] = true
		places -= n.room.fitting(c.task, places)
	}
}

func comparePicks(a, b pick) int {
	switch {
	case a.cost < b.cost:
		return -1
	case a.cost > b.cost:
		return 1
	default:
		return a.room.index - b.room.index
	}
}

// fillCosts prices each task of the batch in each place.
func (p *Planner) fillCosts() {
	m := &p.match
	columns := len(m.places)
	m.flat = slices.Grow(m.flat[:0], len(m.batch)*columns)[:len(m.batch)*columns]
	m.costs = m.costs[:0]
	for i, c := range m.batch {
		row := m.flat[i*columns : (i+1)*columns]
		m.costs = append(m.costs, row)
		if i > 0 && alike(c, m.batch[i-1]) {
			copy(row, m.costs[i-1])
			continue
		}
		p.fillRow(c, row)
	}
}

func (p *Planner) fillRow(c *candidate, row []float64) {
	var last *room
	cost := 0.0
	for k, r := range p.match.places {
		if r != last {
			last, cost = r, forbidden
			if p.may(c, r) {
				cost = p.cost(c, r)
			}
		}
		row[k] = cost
	}
}

// solve matches the batch and places the pairs, the cheapest first, while they fit.
func (p *Planner) solve() {
	m := &p.match
	p.match.picks = p.match.picks[:0]
	for i, column := range p.solver.Solve(m.costs, len(m.places)) {
		if column >= 0 && m.costs[i][column] < forbidden {
			p.match.picks = append(p.match.picks, pick{m.batch[i], m.places[column], m.costs[i][column]})
		}
	}
	slices.SortStableFunc(p.match.picks, func(a, b pick) int { return cmp.Compare(a.cost, b.cost) })
	for _, pair := range p.match.picks {
		if !p.may(pair.candidate, pair.room) {
			continue
		}
		if p.betterWaits(pair.candidate, pair.room) {
			pair.candidate.tries = triesMost
			continue
		}
		p.place(pair.candidate, pair.room, p.runtime(pair.candidate, pair.room))
	}
}

// betterWaits tells whether it costs a task less to wait for a room that will be free: one near its data, or on a runner
// that is not slow. It waits no longer in all than it can gain.
func (p *Planner) betterWaits(c *candidate, r *room) bool {
	if c.rescue {
		return false
	}
	here, best := p.doubtfulRuntime(c, r), p.bestRuntime(c)
	if here <= waitFrom*best || c.task.Waited.Seconds() > here-best {
		return false
	}
	bound := waitMargin * price(p.weights[r.kind], here, c.timeLeft, p.largestLeft)
	for i := range p.rooms {
		other := &p.rooms[i]
		if fits(other.free, c.task.Needs) || !other.capable(c.task) || !p.trusts(c, other) {
			continue
		}
		there := p.doubtfulRuntime(c, other)
		if there >= here {
			continue
		}
		ends := p.freeIn(other, c.task.Needs, 1) + there
		if price(p.weights[other.kind], ends, c.timeLeft, p.largestLeft) < bound {
			return true
		}
	}
	return false
}

// bestRuntime returns the least runtime of a task on any runner that could take it if it had room.
func (p *Planner) bestRuntime(c *candidate) float64 {
	if p.match.bestOf != nil && (p.match.bestOf == c || alike(p.match.bestOf, c)) {
		return p.match.best
	}
	p.match.bestOf, p.match.best = c, forbidden
	for i := range p.rooms {
		if r := &p.rooms[i]; r.capable(c.task) && p.trusts(c, r) {
			p.match.best = min(p.match.best, p.doubtfulRuntime(c, r))
		}
	}
	return p.match.best
}
