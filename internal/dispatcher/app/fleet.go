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

// budgetIntervals is into how many intervals the module divides OverloadWindow to count what it sent to a warming
// runner, and allowanceWindow the time over which it counts a tenant's requests: parts that pass to another
// dispatcher must not be counted twice within either.
const (
	budgetIntervals = 4
	allowanceWindow = time.Second
)

// FleetError is a fleet that this dispatcher can't take part in.
type FleetError struct {
	Key     string // of the settings file, or of the configuration
	Problem string
	Fix     string // what an operator can do
}

// Error names the key, the problem and the remedy.
func (e *FleetError) Error() string {
	return fmt.Sprintf("fleet: %s: %s (%s)", e.Key, e.Problem, e.Fix)
}

// peers is this dispatcher's part in a fleet. All its methods may be called without a fleet, and do nothing then.
type peers struct {
	node  *udp.Node
	own   int
	size  int // number of dispatchers; 0: numbers do not pass on
	coord *coordinator.Coordinator
	log   logrus.FieldLogger

	once    sync.Once
	stop    context.CancelFunc
	done    chan struct{}
	updates chan udp.Ownership // of capacity 1: the newest, for forward
}

// joinFleet reads the fleet script at path and prepares this dispatcher's part, which start begins. Without a path
// there is no fleet.
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
		return nil, &FleetError{"name", "is empty", "give each dispatcher a name of its own in its configuration, or by LB_NAME"}
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

// checkConfig returns an error if numbers can't pass on under a configuration: there must be as many dispatchers as
// addresses in the roster.
func (p *peers) checkConfig(cfg *config.Config) error {
	if p.size > 0 && (cfg.Settings.Balancers != p.size || cfg.Settings.SlotNo != p.own) {
		return &FleetError{"settings.balancers", fmt.Sprintf("is %d with slotNo %d, but roster has %d addresses and this is number %d",
			cfg.Settings.Balancers, cfg.Settings.SlotNo, p.size, p.own), "make both the same and restart"}
	}
	return nil
}

// start begins to take part. Until the fleet's first update this dispatcher uses no number that may pass on.
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

// leave ends this dispatcher's part and waits for it; further calls do nothing.
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

// update is called with what the fleet lets this dispatcher use. Only the newest is kept for forward, so it does not
// block.
func (p *peers) update(h udp.Ownership) {
	select {
	case <-p.updates:
	default:
	}
	p.updates <- h
}

// forward passes updates to the coordinator: changes, and renewals before they expire. It ends after the node has.
func (p *peers) forward() {
	var (
		last  udp.Ownership
		until time.Time
		sent  bool
	)
	for {
		var h udp.Ownership
		select {
		case <-p.done:
			select {
			case h = <-p.updates: // the last one: it may use nothing any more
			default:
				return
			}
		case h = <-p.updates:
		}
		if p.size == 0 {
			h.Numbers, h.ValidFor = []int{p.own}, time.Duration(1<<62)
		}
		if h.Living == 0 { // it leaves; the others live as before
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
