package app

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/config"
	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/internal/dispatcher/fleet"
	"ospreypond/internal/dispatcher/fleet/packet"
	"ospreypond/internal/dispatcher/fleet/quota"
	"ospreypond/internal/dispatcher/fleet/udp"
	"ospreypond/internal/dispatcher/script"
)

// A share of a budget that passes from one dispatcher to another must not be spent by both within one of the windows in
// which the decision module counts spending. There are two: an interval of OverloadWindow for the work that is sent to a
// warming runner, and allowanceWindow for the requests of a tenant. quota.Config.GuardTime is the longer window.
const (
	budgetIntervals = 4 // intervals in an OverloadWindow, as many as package policy uses in warming.go
	allowanceWindow = time.Second
)

// FleetError reports that this dispatcher cannot take part in the fleet.
type FleetError struct {
	Key     string // key or call of the fleet script, or key of the configuration
	Problem string
	Fix     string // the operator's remedy
}

// Error names the key, the problem and the remedy.
func (e *FleetError) Error() string {
	return fmt.Sprintf("fleet: %s: %s (%s)", e.Key, e.Problem, e.Fix)
}

// peers is this dispatcher's membership of a fleet, if it has one. Without a fleet the methods have no effect.
type peers struct {
	node  *udp.Node // nil: no fleet
	own   int       // this dispatcher's number
	size  int       // number of dispatchers; 0: a dispatcher uses only its own number, and none passes to another
	coord *coordinator.Coordinator
	log   logrus.FieldLogger

	once    sync.Once
	stop    context.CancelFunc
	done    chan struct{}      // closed when the node's Run has returned
	updates chan udp.Ownership // capacity 1: holds the newest update, for forward
}

// joinFleet reads the fleet script at path and prepares the membership; start begins it. An empty path means no fleet.
func joinFleet(path string, cfg *config.Config, coord *coordinator.Coordinator, log *logrus.Logger) (*peers, error) {
	if path == "" {
		return &peers{}, nil
	}
	s, err := script.Read(path, script.Self{Name: cfg.Name, Number: cfg.Settings.SlotNo})
	if err != nil {
		return nil, err
	}
	f := s.Fleet
	if f == nil {
		return nil, &FleetError{"fleet(...)", "is not called in " + path, "call it, or start without --fleet"}
	}
	if cfg.Name == "" {
		return nil, &FleetError{"name", "is empty", "give each dispatcher a unique name in its configuration or by LB_NAME"}
	}
	p := &peers{own: cfg.Settings.SlotNo, coord: coord, log: log, done: make(chan struct{}), updates: make(chan udp.Ownership, 1)}
	fc := fleet.Config{Interval: f.Interval, Seeds: f.Seeds, Seed: cfg.Seed}
	if len(fc.Seeds) == 0 {
		fc.Seeds = f.Roster
	}
	if f.Refusals {
		p.size = len(f.Roster)
		if at := f.Roster[min(p.own, p.size-1)]; at != f.Advertise {
			return nil, &FleetError{"roster", fmt.Sprintf("has %s for number %d, but this dispatcher is at %s", at, p.own, f.Advertise),
				"put each dispatcher's address at the place of its slotNo"}
		}
		fc.TrustRefusals, fc.Roster = true, f.Roster
		fc.Quota = quota.Config{Size: p.size, Own: p.own, Lease: f.Lease, GuardTime: max(cfg.Policy.OverloadWindow/budgetIntervals, allowanceWindow)}
	}
	if err := p.checkConfig(cfg); err != nil {
		return nil, err
	}
	codec, err := packet.New(f.Name, []byte(f.Key))
	if err != nil {
		return nil, err
	}
	p.node = udp.New(udp.Options{Listen: f.Listen, Self: fleet.Record{Name: cfg.Name, Addr: f.Advertise, Zone: cfg.Settings.Zone}, Config: fc,
		Codec: codec, OnOwnership: p.update, Log: log})
	return p, nil
}

// checkConfig returns an error if numbers pass between dispatchers and the configuration does not fit the roster: balancers
// must be the number of its addresses, and slotNo must still be this dispatcher's number.
func (p *peers) checkConfig(cfg *config.Config) error {
	if p.size > 0 && (cfg.Settings.Balancers != p.size || cfg.Settings.SlotNo != p.own) {
		return &FleetError{"settings.balancers", fmt.Sprintf("is %d with slotNo %d, but roster has %d addresses and this is number %d",
			cfg.Settings.Balancers, cfg.Settings.SlotNo, p.size, p.own), "make both the same and restart"}
	}
	return nil
}

// start begins the membership. If numbers pass between dispatchers, this one uses none until the fleet's first update.
func (p *peers) start() {
	if p.node == nil {
		return
	}
	if p.size > 0 {
		p.coord.UpdateFleet(nil, 0, p.size)
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go p.forward()
	go func() {
		defer close(p.done)
		if err := p.node.Run(ctx); err != nil {
			p.log.WithError(err).Error("fleet: this dispatcher takes no part any more")
		}
	}()
}

// leave ends the membership and waits until the node has ended. Further calls have no effect.
func (p *peers) leave() {
	if p.node == nil {
		return
	}
	p.once.Do(func() {
		if p.stop != nil {
			p.stop()
			<-p.done
		}
	})
}

// update passes the numbers that this dispatcher may use to forward. It replaces an update that forward has not read yet,
// so it does not block. The node's goroutine calls it.
func (p *peers) update(h udp.Ownership) {
	select {
	case <-p.updates:
	default:
	}
	p.updates <- h
}

// forward passes updates to the coordinator. It skips an update without a change, unless the dispatcher uses more than
// one number and at least half of their validity has passed. It ends after the node has ended and the last update is passed.
func (p *peers) forward() {
	var (
		last  udp.Ownership
		until time.Time // end of last's validity
		sent  bool      // whether last is set
	)
	for {
		var h udp.Ownership
		select {
		case <-p.done:
			select {
			case h = <-p.updates: // the node's last update, after which no number may be used
			default:
				return
			}
		case h = <-p.updates:
		}
		if p.size == 0 {
			h.Numbers, h.ValidFor = []int{p.own}, time.Duration(1<<62)
		}
		if h.Living == 0 { // this dispatcher leaves the fleet; the number of living ones is taken as unchanged
			h.Living = max(1, last.Living)
		}
		if sent && slices.Equal(h.Numbers, last.Numbers) && h.Living == last.Living && (len(h.Numbers) < 2 || time.Until(until) > h.ValidFor/2) {
			continue
		}
		if !slices.Equal(h.Numbers, last.Numbers) {
			p.log.WithFields(logrus.Fields{"numbers": h.Numbers, "living": h.Living}).Info("fleet: acting for other numbers")
		}
		p.coord.UpdateFleet(h.Numbers, h.ValidFor, h.Living)
		last, until, sent = h, time.Now().Add(min(h.ValidFor, time.Hour)), true
	}
}
