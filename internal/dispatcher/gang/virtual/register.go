package virtual

import (
	"fmt"

	"ospreypond/internal/dispatcher/gang"
)

// register is the store of the gangs' records and checkpoints. All uploads share its bandwidth.
type register struct {
	records         map[string]*entry
	parts           map[saveKey][]part
	uploads         []*upload
	rate            float64 // bytes per second
	lastVersion     int
	checkpointBytes float64 // taken so far
	recordWrites    int     // of records
	changedAfterEnd string
}

type entry struct {
	version int
	record  gang.Record
}

type saveKey struct {
	gang       string
	generation uint64
	number     int
}

type part struct {
	digest  string
	damaged bool // which only shows when it is read
}

type upload struct {
	key       saveKey
	member    int
	bytesLeft float64
	from      *member
	hangs     bool
}

func newRegister(rate float64) *register {
	return &register{records: map[string]*entry{}, parts: map[saveKey][]part{}, rate: rate}
}

func (r *register) version(name string) gang.Version {
	if e := r.records[name]; e != nil {
		return gang.Version(fmt.Sprint(e.version))
	}
	return ""
}

// write is a conditional write, as of package register.
func (r *register) write(rec gang.Record, ifVersion gang.Version) (gang.Outcome, gang.Version) {
	if r.version(rec.Name) != ifVersion {
		return gang.Conflict, ""
	}
	r.lastVersion++
	r.recordWrites++
	if e := r.records[rec.Name]; e != nil && e.record.Phase == gang.Done {
		r.changedAfterEnd = rec.Name
	}
	r.records[rec.Name] = &entry{r.lastVersion, rec}
	return gang.Written, r.version(rec.Name)
}

// partDigests returns the digests of a save's parts by member; a part that is missing has an empty one.
func (r *register) partDigests(k saveKey, members int) []string {
	out := make([]string, members)
	for i, p := range r.parts[k] {
		out[i] = p.digest
	}
	return out
}

// step advances the uploads by dt seconds.
func (r *register) step(dt float64, damage func() bool) {
	active := 0
	for _, u := range r.uploads {
		if !u.hangs && !u.from.ended {
			active++
		}
	}
	unfinished := r.uploads[:0]
	for _, u := range r.uploads {
		if u.from.ended { // the connection was aborted, and an incomplete part is not taken
			continue
		}
		if !u.hangs {
			got := r.rate * dt / float64(active)
			r.checkpointBytes += min(got, u.bytesLeft)
			u.bytesLeft -= got
		}
		if u.bytesLeft > 0 || u.hangs {
			unfinished = append(unfinished, u)
			continue
		}
		r.parts[u.key][u.member] = part{fmt.Sprintf("sha-256:%s/%d/%d/%d", u.key.gang, u.key.generation, u.key.number, u.member), damage()}
	}
	r.uploads = unfinished
}
