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

// Timing and number of groups of control processes, as in internal/cluster/control, and times that a write to a disk takes.
const (
	controlHeartbeat           = 75 * time.Millisecond
	controlElection            = 320 * time.Millisecond
	controlGroups              = 5
	controlDecommissionTimeout = 4500 * time.Millisecond
	fastDisk                   = 9 * time.Millisecond
	slowDisk                   = 30 * fastDisk
)

// repairLimit is the time after which the test stops waiting for a repair and records it as failed.
const repairLimit = 20 * time.Second

// repairBound is the time that no repair may exceed.
const repairBound = 15 * time.Second

// repairCase is a kind of loss, for which the test measures the repair.
type repairCase struct {
	name    string
	members int             // number of machines; all vote
	disk    time.Duration   // time that a write takes on each disk
	lose    func(r *repair) // loses a machine or disk, and starts the replacement
}

// repair is one loss, and the way back to full redundancy: the lost members are dropped in all groups, and the replacement
// votes and has on disk all entries that were committed by then.
type repair struct {
	cluster       *cluster
	lost          *machine             // the machine that lost its member
	removed       *machine             // a machine that does not come back; nil if all come back
	fresh         *machine             // the machine with the new member, which has to become a voter
	old           []consensus.MemberID // members that have to be dropped
	startedAt     time.Duration        // when the fresh process started
	targetCommits map[GroupID]uint64   // by group, the commit index when the fresh member was a voter and the old ones dropped
	fatal         stopwatch            // total time during which the loss of one more disk would have been fatal

	observedWrites int // number of writes at the last observation
}

// repairFigures are the results of one repair.
type repairFigures struct {
	total    time.Duration // from the start of the fresh process to full redundancy
	fatal    time.Duration // part of total during which the loss of one more disk would have been fatal
	repaired bool          // the group was fully redundant within repairLimit
}

// wipedAndRestarted loses a disk. The machine starts again at its old address with an empty disk, after a random time
// between the two.
func wipedAndRestarted(shortest, longest time.Duration) func(r *repair) {
	return func(r *repair) {
		r.lost.wipe()
		r.load(r.cluster.between(shortest, longest))
		r.fresh = r.lost
		r.fresh.start(nil)
	}
}

// twoWiped loses two disks at once. The repair is measured from the start of the machine that starts last.
func twoWiped(r *repair) {
	other := r.cluster.machines[(indexOf(r.cluster, r.lost)+1)%len(r.cluster.machines)]
	r.old = append(r.old, other.engine.self.ID)
	other.wipe()
	r.lost.wipe()
	r.load(r.cluster.between(100*time.Millisecond, 300*time.Millisecond))
	other.start(nil)
	r.fresh = r.lost
	r.fresh.start(nil)
}

// removedPermanently ends the process of a machine that does not come back. It starts an empty machine, with the same or
// another name, 0.5 to 5 seconds later.
func removedPermanently(sameName bool) func(r *repair) {
	return func(r *repair) {
		r.lost.kill()
		r.removed = r.lost
		r.load(r.cluster.between(500*time.Millisecond, 5*time.Second))
		name := "core-new"
		if sameName {
			name = r.lost.name
		}
		r.addFresh(name)
	}
}

// planned starts an empty machine. A second later the old machine is decommissioned, and then removed permanently.
func planned(r *repair) {
	r.addFresh("core-new")
	r.cluster.at(time.Second, func() {
		ended := func() {
			r.cluster.at(0, func() {
				r.lost.kill()
				r.removed = r.lost
			})
		}
		r.lost.engine.Do(func() { r.lost.engine.Decommission(controlDecommissionTimeout, ended) })
		r.lost.wake()
	})
}

// addFresh starts an empty machine at a new address.
func (r *repair) addFresh(name string) {
	r.fresh = r.cluster.add(name, "10.0.9.9:7380")
	r.fresh.diskDelay = r.lost.diskDelay
	r.fresh.start(nil)
}

// between returns a random duration of at least shortest and less than longest.
func (c *cluster) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(c.random.Int64N(int64(longest-shortest)))
}

// load lets the cluster run while it proposes a line every 30 ms on average.
func (r *repair) load(span time.Duration) { r.cluster.proposeFor(span) }

// keepLoading proposes a line every 20 ms on average while the cluster runs.
func (r *repair) keepLoading() {
	c := r.cluster
	c.at(c.between(0, 40*time.Millisecond), func() {
		c.propose(GroupID(c.random.IntN(c.groups)), c.random.IntN(500), nil)
		r.keepLoading()
	})
}

// measure runs a cluster with one loss and its repair.
func (k repairCase) measure(seed uint64) repairFigures {
	GinkgoHelper()
	c := newCluster(seed, controlGroups)
	c.logger = log.NewNopLogger()
	c.heartbeat, c.election = controlHeartbeat, controlElection
	c.startFirst(k.members)
	Expect(c.until(30*time.Second, c.votersAre(c.names()...))).To(BeTrue(), "all machines vote")
	c.proposeMany(200)
	c.run(2 * time.Second)
	for _, m := range c.machines {
		m.diskDelay = k.disk
	}
	r := &repair{cluster: c, targetCommits: map[GroupID]uint64{}}
	r.load(time.Second)
	r.lost = c.machines[c.random.IntN(k.members)]
	r.old = append(r.old, r.lost.engine.self.ID)
	k.lose(r)
	r.startedAt = c.now()
	r.keepLoading()
	repaired := c.until(repairLimit, func() bool {
		redundant := r.redundant(k.members)
		r.observe(redundant)
		return redundant
	})
	return repairFigures{total: c.now() - r.startedAt, fatal: r.fatal.summed, repaired: repaired}
}

// observe records whether the loss of one more disk would be fatal now. It looks only if a disk was written since the last
// observation.
func (r *repair) observe(redundant bool) {
	c := r.cluster
	if !redundant && c.writes == r.observedWrites {
		return
	}
	r.observedWrites = c.writes
	r.fatal.observe(c.now(), !redundant && c.disksOf(r.removed).oneLossIsFatal(c.groups))
}

// names returns the names of all machines.
func (c *cluster) names() []string {
	var names []string
	for _, m := range c.machines {
		names = append(names, m.name)
	}
	return names
}

// redundant reports whether all groups are fully redundant: the old members are dropped, and the fresh member votes and has
// on its disk all entries that were committed by then.
func (r *repair) redundant(voters int) bool {
	for id := range GroupID(r.cluster.groups) {
		leader := r.cluster.leader(id)
		if leader == nil {
			return false
		}
		commit := leader.engine.Status(id).Commit
		if _, known := r.targetCommits[id]; !known && r.superseded(leader.engine.byID[id].node.MembersAt(commit), voters) {
			r.targetCommits[id] = commit
		}
		target, known := r.targetCommits[id]
		if !known || r.fresh.durable[id].index < target {
			return false
		}
	}
	return true
}

// superseded reports whether the fresh member votes in place of the old ones, and the number of voters is right.
func (r *repair) superseded(members []consensus.Member, voters int) bool {
	ids := sortedVoters(members)
	current := !slices.ContainsFunc(members, func(m consensus.Member) bool { return slices.Contains(r.old, m.ID) })
	return current && len(ids) == voters && slices.Contains(ids, r.fresh.engine.self.ID)
}

// quantiles are the median, the 99th percentile and the maximum of the times of many repairs.
type quantiles struct{ median, p99, worst time.Duration }

// quantilesOf computes the quantiles. It sorts the times.
func quantilesOf(times []time.Duration) quantiles {
	slices.Sort(times)
	last := len(times) - 1
	return quantiles{median: times[last/2], p99: times[last*99/100], worst: times[last]}
}

// String returns the three times in ms.
func (q quantiles) String() string {
	return fmt.Sprintf("%d / %d / %d", q.median.Milliseconds(), q.p99.Milliseconds(), q.worst.Milliseconds())
}

// repairSeeds returns how many repairs of each kind are measured: as many as REPAIR_SEEDS says, or 2.
func repairSeeds() uint64 {
	if text := os.Getenv("REPAIR_SEEDS"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		Expect(err).NotTo(HaveOccurred())
		return parsed
	}
	return 2
}

// measureAll measures a number of seeds, on as many cores as the process may use.
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
	{"wiped, back within 0.3 s", []int{3, 5, 9}, wipedAndRestarted(100*time.Millisecond, 300*time.Millisecond)},
	{"wiped, back after 1 to 3 s", []int{3, 5, 9}, wipedAndRestarted(time.Second, 3*time.Second)},
	{"two wiped at once", []int{5, 9}, twoWiped},
	{"planned", []int{3, 5, 9}, planned},
	{"gone, same name elsewhere", []int{3, 5, 9}, removedPermanently(true)},
	{"gone, another name elsewhere", []int{3, 5, 9}, removedPermanently(false)},
}

// Until a group is fully redundant again, the loss of one more disk can be fatal.
var _ = Describe("The time to full redundancy", func() {
	for _, kind := range repairs {
		for _, members := range kind.members {
			for _, disk := range []time.Duration{fastDisk, slowDisk} {
				name := fmt.Sprintf("%s, %d members, disks at %v", kind.name, members, disk)
				k := repairCase{name: name, members: members, disk: disk, lose: kind.lose}
				It("is less than 15 s: "+name, func() { k.report(repairSeeds()) })
			}
		}
	}
})

// report measures repairs, prints the figures, and expects every repair to take less than repairBound.
func (k repairCase) report(seeds uint64) {
	GinkgoHelper()
	all := k.measureAll(seeds)
	var totals, fatal []time.Duration
	failed := 0
	for _, figures := range all {
		if !figures.repaired {
			failed++
		}
		totals, fatal = append(totals, figures.total), append(fatal, figures.fatal)
	}
	total := quantilesOf(totals)
	GinkgoWriter.Printf("repair | %s | %d seeds | not repaired %d | total %v | fatal %v ms\n", k.name, len(all), failed, total,
		quantilesOf(fatal))
	Expect(total.worst).To(BeNumerically("<", repairBound))
}
