package replica

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
)

// The timing of control processes, as in internal/cluster/control, and their number of groups.
const (
	controlHeartbeat = 75 * time.Millisecond
	controlElection  = 320 * time.Millisecond
	controlGroups    = 5
	controlPatience  = 4500 * time.Millisecond
	fastDisk         = 9 * time.Millisecond
	slowDisk         = 30 * fastDisk
)

// repairLimit is how long a repair may take before it counts as one that never ends.
const repairLimit = 20 * time.Second

// repairBound is how long any repair may take.
const repairBound = 15 * time.Second

// repairCase is a kind of loss whose repair is measured.
type repairCase struct {
	name    string
	members int
	disk    time.Duration
	lose    func(r *repair)
}

// repair is one loss and what it takes until the group is fully redundant again.
type repair struct {
	cluster *cluster
	lost    *machine             // whose identity has to go
	gone    *machine             // a machine that does not come back; nil: it does
	fresh   *machine             // whose identity has to come
	old     []consensus.MemberID // identities that have to go
	begun   time.Duration        // when the fresh one started
	marks   map[GroupID]uint64
	fatal   stopwatch

	lookedAt int // number of writes at the last look
}

// repairFigures are what one repair took.
type repairFigures struct {
	whole    time.Duration // from the fresh process's start to full redundancy
	fatal    time.Duration // of that, the time during which one more lost disk would have been fatal
	repaired bool          // within the limit
}

// wipedInPlace loses a disk; the machine starts again on an empty one at its old address after a while.
func wipedInPlace(least, most time.Duration) func(r *repair) {
	return func(r *repair) {
		r.lost.wipe()
		r.load(r.cluster.between(least, most))
		r.fresh = r.lost
		r.fresh.start(nil)
	}
}

// twoWiped loses two disks at once; the figures are those of the machine that starts last.
func twoWiped(r *repair) {
	other := r.cluster.machines[(slotOf(r.cluster, r.lost)+1)%len(r.cluster.machines)]
	r.old = append(r.old, other.engine.self.ID)
	other.wipe()
	r.lost.wipe()
	r.load(r.cluster.between(100*time.Millisecond, 300*time.Millisecond))
	other.start(nil)
	r.fresh = r.lost
	r.fresh.start(nil)
}

// goneForGood has an empty machine of a name take the place of one that is lost, up to five seconds later.
func goneForGood(sameName bool) func(r *repair) {
	return func(r *repair) {
		r.lost.kill()
		r.gone = r.lost
		r.load(r.cluster.between(500*time.Millisecond, 5*time.Second))
		name := "core-new"
		if sameName {
			name = r.lost.name
		}
		r.addFresh(name)
	}
}

// planned starts the successor first; a second later the old machine is asked to end, and is gone for good.
func planned(r *repair) {
	r.addFresh("core-new")
	r.cluster.at(time.Second, func() {
		leave := func() {
			r.cluster.at(0, func() {
				r.lost.kill()
				r.gone = r.lost
			})
		}
		r.lost.engine.Do(func() { r.lost.engine.Decommission(controlPatience, leave) })
		r.lost.wake()
	})
}

func (r *repair) addFresh(name string) {
	r.fresh = r.cluster.add(name, "10.0.9.9:7380")
	r.fresh.diskDelay = r.lost.diskDelay
	r.fresh.start(nil)
}

func (c *cluster) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.random.Int64N(int64(most-least)))
}

// load proposes something every 20 ms on average while time passes.
func (r *repair) load(span time.Duration) { r.cluster.work(span) }

// keepLoading proposes for as long as the cluster runs.
func (r *repair) keepLoading() {
	c := r.cluster
	c.at(c.between(0, 40*time.Millisecond), func() {
		c.propose(GroupID(c.random.IntN(c.groups)), c.random.IntN(500), nil)
		r.keepLoading()
	})
}

// measure plays one loss and its repair.
func (k repairCase) measure(seed uint64) repairFigures {
	GinkgoHelper()
	c := newCluster(seed, controlGroups)
	c.logger = log.NewNopLogger()
	c.heartbeat, c.election = controlHeartbeat, controlElection
	c.startFirst(k.members)
	Expect(c.until(30*time.Second, c.settled(c.names()...))).To(BeTrue(), "all vote")
	c.proposeMany(200)
	c.run(2 * time.Second)
	for _, m := range c.machines {
		m.diskDelay = k.disk
	}
	r := &repair{cluster: c, marks: map[GroupID]uint64{}}
	r.load(time.Second)
	r.lost = c.machines[c.random.IntN(k.members)]
	r.old = append(r.old, r.lost.engine.self.ID)
	k.lose(r)
	r.begun = c.now()
	r.keepLoading()
	repaired := c.until(repairLimit, func() bool {
		whole := r.redundant(k.members)
		r.look(whole)
		return whole
	})
	return repairFigures{whole: c.now() - r.begun, fatal: r.fatal.summed, repaired: repaired}
}

// observe notes whether one more loss would be fatal, if a disk has changed since the last look.
func (r *repair) look(whole bool) {
	c := r.cluster
	if !whole && c.writes == r.lookedAt {
		return
	}
	r.lookedAt = c.writes
	r.fatal.look(c.now(), !whole && c.disksOf(r.gone).oneLossIsFatal(c.groups))
}

func (c *cluster) names() []string {
	var names []string
	for _, m := range c.machines {
		names = append(names, m.name)
	}
	return names
}

// redundant tells whether in all groups the old identity is gone, and the fresh one votes and has on its disk all that
// was committed by then.
func (r *repair) redundant(voters int) bool {
	for id := range GroupID(r.cluster.groups) {
		leader := r.cluster.leader(id)
		if leader == nil {
			return false
		}
		commit := leader.engine.Status(id).Commit
		if _, marked := r.marks[id]; !marked && r.succeeded(leader.engine.byID[id].node.MembersAt(commit), voters) {
			r.marks[id] = commit
		}
		mark, marked := r.marks[id]
		if !marked || r.fresh.durable[id].index < mark {
			return false
		}
	}
	return true
}

// superseded tells whether the fresh identity has taken the old one's place.
func (r *repair) succeeded(members []consensus.Member, voters int) bool {
	ids := sortedVoters(members)
	current := !slices.ContainsFunc(members, func(m consensus.Member) bool { return slices.Contains(r.old, m.ID) })
	return current && len(ids) == voters && slices.Contains(ids, r.fresh.engine.self.ID)
}

// quantiles are of many repairs.
type quantiles struct{ median, p99, worst time.Duration }

func quantilesOf(times []time.Duration) quantiles {
	slices.Sort(times)
	last := len(times) - 1
	return quantiles{median: times[last/2], p99: times[last*99/100], worst: times[last]}
}

func (q quantiles) String() string {
	return fmt.Sprintf("%d / %d / %d", q.median.Milliseconds(), q.p99.Milliseconds(), q.worst.Milliseconds())
}

// repairSeeds is how many repairs of each kind are measured: REPAIR_SEEDS, or a few.
func repairSeeds() uint64 {
	if text := os.Getenv("REPAIR_SEEDS"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		Expect(err).NotTo(HaveOccurred())
		return parsed
	}
	return 2
}

// measureAll plays many seeds, on as many cores as the process may use.
func (k repairCase) measureAll(seeds uint64) []repairFigures {
	GinkgoHelper()
	all := make([]repairFigures, seeds)
	next := make(chan uint64, seeds)
	for seed := range seeds {
		next <- seed
	}
	close(next)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			defer GinkgoRecover()
			for seed := range next {
				all[seed] = k.measure(seed)
			}
		})
	}
	workers.Wait()
	return all
}

var repairs = []struct {
	name    string
	members []int
	lose    func(r *repair)
}{
	{"wiped, back within 0.3 s", []int{3, 5, 9}, wipedInPlace(100*time.Millisecond, 300*time.Millisecond)},
	{"wiped, back after 1 to 3 s", []int{3, 5, 9}, wipedInPlace(time.Second, 3*time.Second)},
	{"two wiped at once", []int{5, 9}, twoWiped},
	{"planned", []int{3, 5, 9}, planned},
	{"gone, same name elsewhere", []int{3, 5, 9}, goneForGood(true)},
	{"gone, another name elsewhere", []int{3, 5, 9}, goneForGood(false)},
}

var _ = Describe("The time to full redundancy", func() {
	for _, kind := range repairs {
		for _, members := range kind.members {
			for _, disk := range []time.Duration{fastDisk, slowDisk} {
				name := fmt.Sprintf("%s, %d members, disks at %v", kind.name, members, disk)
				k := repairCase{name: name, members: members, disk: disk, lose: kind.lose}
				It("is short: "+name, func() { k.report(repairSeeds()) })
			}
		}
	}
})

// report measures and prints the figures, and holds them against a bound.
func (k repairCase) report(seeds uint64) {
	GinkgoHelper()
	all := k.measureAll(seeds)
	var whole, fatal []time.Duration
	never := 0
	for _, figures := range all {
		if !figures.repaired {
			never++
		}
		whole, fatal = append(whole, figures.whole), append(fatal, figures.fatal)
	}
	wholes := quantilesOf(whole)
	fmt.Fprintf(GinkgoWriter, "repair | %s | %d seeds | never %d | whole %v | fatal %v\n", k.name, len(all), never, wholes,
		quantilesOf(fatal))
	Expect(wholes.worst).To(BeNumerically("<", repairBound))
}
