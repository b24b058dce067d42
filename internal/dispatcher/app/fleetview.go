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
	Life        uint64           `json:"life"`
	Incarnation uint32           `json:"incarnation"`
	Living      int              `json:"living"` // with this one
	Digest      uint64           `json:"digest"` // equal views of the living have equal ones
	Settled     bool             `json:"settled"`
	ForMs       int64            `json:"for_ms"` // how long Settled has been as it is
	Superseded  bool             `json:"superseded"`
	Health      int              `json:"health"`  // 0: healthy; 8: this process is slow or has no contact
	Numbers     []int            `json:"numbers"` // whose parts it uses; null: numbers do not pass on
	Members     []fleetMember    `json:"members"`
	Dropped     map[string]int64 `json:"dropped"` // datagrams, by reason
}

type fleetMember struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	Life        uint64 `json:"life"`
	Incarnation uint32 `json:"incarnation"`
	State       string `json:"state"`
	ForMs       int64  `json:"for_ms"`
}

// fleetWaiting is the response to GET /fleet while another process has the fleet's address.
type fleetWaiting struct {
	Waiting string `json:"waiting"`
}

// view returns the newest view, for JSON; nil without a fleet.
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

func memberOf(m fleet.Member, since func(time.Duration) int64) fleetMember {
	return fleetMember{Name: m.Name, Addr: m.Addr, Zone: m.Zone, Life: m.Epoch, Incarnation: m.Incarnation,
		State: m.State.String(), ForMs: since(m.Since)}
}
