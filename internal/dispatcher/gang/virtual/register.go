package virtual

import (
	"fmt"

	"ospreypond/internal/dispatcher/gang"
)

// register simulates the store of the records and checkpoints of gangs. All uploads share its bandwidth equally.
type register struct {
	records         map[string]*entry
	parts           map[saveKey][]part
	uploads         []*upload
	rate            float64 // bytes per second
	lastVersion     int
	checkpointBytes float64 // bytes of checkpoints taken so far
	recordWrites    int     // writes of records that took effect
	changedAfterEnd string  // name of a gang with a record change after the gang was done; empty: none
}

// entry is a record with its version.
type entry struct {
	version int
	record  gang.Record
}

// saveKey identifies a save.
type saveKey struct {
	gang       string
	generation uint64
	number     int
}

// part is one member's part of a checkpoint.
type part struct {
	digest  string
	damaged bool // found only when the part is read
}

// upload is the upload of a part that is under way.
type upload struct {
	key       saveKey
	member    int
	bytesLeft float64
	from      *member
	hangs     bool // it makes no progress and never ends
}

// newRegister returns an empty register that takes rate bytes per second.
func newRegister(rate float64) *register {
	return &register{records: map[string]*entry{}, parts: map[saveKey][]part{}, rate: rate}
}

// version returns the version of a record; it is empty if there is no such record.
func (r *register) version(name string) gang.Version {
	if e := r.records[name]; e != nil {
		return gang.Version(fmt.Sprint(e.version))
	}
	return ""
}

// write applies a conditional write with the semantics of register.Client.Put.
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

// partDigests returns the digests of a save's parts by member. The digest of a missing part is empty.
func (r *register) partDigests(k saveKey, members int) []string {
	out := make([]string, members)
	for i, p := range r.parts[k] {
		out[i] = p.digest
	}
	return out
}

// step advances the uploads by dt seconds. damage reports whether the next part that is complete is damaged.
func (r *register) step(dt float64, damage func() bool) {
	active := 0
	for _, u := range r.uploads {
		if !u.hangs && !u.from.ended {
			active++
		}
	}
	unfinished := r.uploads[:0]
	for _, u := range r.uploads {
		if u.from.ended { // the connection was aborted, and the register drops an incomplete part
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
