package app

import (
	"math"
	"time"

	"ospreypond/internal/dispatcher/fleet"
)

// fleetView is the response to GET /fleet.
type fleetView struct {
	Name        string           `json:"name"`
	Addr        string           `json:"addr"`
	Life        uint64           `json:"life"` // the process's epoch: of two processes of one name the later has the higher
	Incarnation uint32           `json:"incarnation"`
	Living      int              `json:"living"`     // number of living dispatchers, including this one
	Digest      uint64           `json:"digest"`     // of the living dispatchers; equal views have equal digests
	Settled     bool             `json:"settled"`    // no member is suspected, and recently probed members have this view
	ForMs       int64            `json:"for_ms"`     // milliseconds since Settled last changed
	Superseded  bool             `json:"superseded"` // whether this process has ceased to take part
	Health      int              `json:"health"`     // 0: healthy; 8: this process is slow or has no contact
	Numbers     []int            `json:"numbers"`    // numbers whose budget shares it uses; null: numbers do not pass on
	Members     []fleetMember    `json:"members"`
	Dropped     map[string]int64 `json:"dropped"` // datagrams without effect, by reason
}

// fleetMember is another dispatcher of the fleet, as this one sees it.
type fleetMember struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	Life        uint64 `json:"life"`
	Incarnation uint32 `json:"incarnation"`
	State       string `json:"state"`
	ForMs       int64  `json:"for_ms"` // milliseconds since State last changed
}

// fleetWaiting is the response to GET /fleet while there is no view yet, for example because another process still has this
// dispatcher's fleet address.
type fleetWaiting struct {
	Waiting string `json:"waiting"`
}

// view returns the newest view of the fleet, to be encoded as JSON; nil without a fleet.
func (p *peers) view() any {
	if p.node == nil {
		return nil
	}
	v := p.node.View()
	if v == nil {
		return fleetWaiting{"the fleet's address is not had yet"}
	}
	since := func(t time.Duration) int64 { return int64(math.Max(0, float64(v.At-t)) / float64(time.Millisecond)) }
	out := fleetView{Name: v.Self.Name, Addr: v.Self.Addr, Life: v.Self.Epoch, Incarnation: v.Self.Incarnation, Living: v.Living,
		Digest: v.Digest, Settled: v.Converged, ForMs: since(v.Since), Superseded: v.Superseded, Health: v.Health, Numbers: v.Numbers,
		Members: []fleetMember{}, Dropped: v.Dropped}
	for _, m := range v.Members {
		out.Members = append(out.Members, memberOf(m, since))
	}
	return out
}

// memberOf returns a member for the view. since converts a time of the view's clock to the milliseconds since then.
func memberOf(m fleet.Member, since func(time.Duration) int64) fleetMember {
	return fleetMember{Name: m.Name, Addr: m.Addr, Zone: m.Zone, Life: m.Epoch, Incarnation: m.Incarnation,
		State: m.State.String(), ForMs: since(m.Since)}
}
