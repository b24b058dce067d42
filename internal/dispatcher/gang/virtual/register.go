package virtual

import (
	"fmt"

	"ospreypond/internal/dispatcher/gang"
)

// register is the store that the gangs' records and states are in, with a bandwidth of its own.
type register struct {
	entries         map[string]*entry
	saves           map[saveKey][]part
	uploads         []*upload
	rate            float64 // bytes a second
	lastVersion     int
	Bytes           float64 // of states taken
	Writes          int     // of records
	changedAfterEnd string
}

type entry struct {
	version int
	rec     gang.Record
}

type saveKey struct {
	gang       string
	generation uint64
	number     int
}

type part struct {
	digest  string
	damaged bool // found out when it is read
}

type upload struct {
	key    saveKey
	member int
	left   float64
	job    *job
	stuck  bool
}

func newRegister(rate float64) *register {
	return &register{entries: map[string]*entry{}, saves: map[saveKey][]part{}, rate: rate}
}

func (r *register) version(name string) gang.Version {
	if e := r.entries[name]; e != nil {
		return gang.Version(fmt.Sprint(e.version))
	}
	return ""
}

// put is a conditional write.
func (r *register) put(rec gang.Record, if_ gang.Version) (gang.Outcome, gang.Version) {
	if r.version(rec.Name) != if_ {
		return gang.Conflict, ""
	}
	r.lastVersion++
	r.Writes++
	if e := r.entries[rec.Name]; e != nil && e.rec.Phase == gang.Done {
		r.changedAfterEnd = rec.Name
	}
	r.entries[rec.Name] = &entry{r.lastVersion, rec}
	return gang.Written, r.version(rec.Name)
}

// partDigests are those of the parts that are there of a save.
func (r *register) partDigests(k saveKey, members int) []string {
	out := make([]string, members)
	for i, p := range r.saves[k] {
		out[i] = p.digest
	}
	return out
}

// step lets states come in for dt seconds; all share the bandwidth.
func (r *register) step(dt float64, damage func() bool) {
	active := 0
	for _, u := range r.uploads {
		if !u.stuck && !u.job.ended {
			active++
		}
	}
	rest := r.uploads[:0]
	for _, u := range r.uploads {
		if u.job.ended { // cut short: a part that is not whole is not taken
			continue
		}
		if !u.stuck {
			got := r.rate * dt / float64(active)
			r.Bytes += min(got, u.left)
			u.left -= got
		}
		if u.left > 0 || u.stuck {
			rest = append(rest, u)
			continue
		}
		r.saves[u.key][u.member] = part{fmt.Sprintf("sha-256:%s/%d/%d/%d", u.key.gang, u.key.generation, u.key.number, u.member), damage()}
	}
	r.uploads = rest
}
