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

// turns is how often within tipAfterUs the module counts anew what it sent to a cold runner, and second the time in which it
// counts a tenant's requests: parts that pass on must not be counted twice within either.
const (
	turns  = 4
	second = time.Second
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

// peers is this dispatcher's part in a fleet; without one it does nothing, and all its methods may be called.
type peers struct {
	node  *udp.Node
	own   int
	size  int // 0: numbers do not pass
	coord *coordinator.Coordinator
	log   logrus.FieldLogger

	once sync.Once
	stop context.CancelFunc
	done chan struct{}
	held chan udp.Ownership // the newest, for the coordinator
}

// joinFleet reads the file at path and prepares this dispatcher's part; start begins it. Without a path there is none.
func joinFleet(path string, cfg *config.Config, coord *coordinator.Coordinator, log *logrus.Logger) (*peers, error) {
	if path == "" {
		return &peers{}, nil
	}
	s, err := script.Read(path, script.Me{Name: cfg.Name, Number: cfg.Settings.SlotNo})
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
	p := &peers{own: cfg.Settings.SlotNo, coord: coord, log: log, done: make(chan struct{}), held: make(chan udp.Ownership, 1)}
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
		fc.Quota = quota.Config{Size: p.size, Own: p.own, Lease: f.Lease, GuardTime: max(cfg.Policy.OverloadWindow/turns, second)}
	}
	if err := p.fits(cfg); err != nil {
		return nil, err
	}
	codec, err := packet.New(f.Name, []byte(f.Key))
	if err != nil {
		return nil, err
	}
	p.node = udp.New(udp.Options{Listen: f.Listen, Self: fleet.Record{Name: cfg.Name, Addr: f.Advertise, Zone: cfg.Settings.Zone}, Config: fc,
		Codec: codec, OnOwnership: p.hold, Log: log})
	return p, nil
}

// fits tells whether numbers can pass under a configuration: there must be as many parts as addresses.
func (p *peers) fits(cfg *config.Config) error {
	if p.size > 0 && (cfg.Settings.Balancers != p.size || cfg.Settings.SlotNo != p.own) {
		return &FleetError{"settings.balancers", fmt.Sprintf("is %d with slotNo %d, but roster has %d addresses and this is number %d",
			cfg.Settings.Balancers, cfg.Settings.SlotNo, p.size, p.own), "make both the same and restart"}
	}
	return nil
}

// start begins to take part. Until the fleet says otherwise this dispatcher uses no number that may pass.
func (p *peers) start() {
	if p.node == nil {
		return
	}
	if p.size > 0 {
		p.coord.UpdateFleet(nil, 0, p.size)
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go p.pass()
	go func() {
		defer close(p.done)
		if err := p.node.Run(ctx); err != nil {
			p.log.WithError(err).Error("fleet: this dispatcher takes no part any more")
		}
	}()
}

// leave ends this dispatcher's part; a second call does nothing.
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

// hold takes what the fleet lets this dispatcher use. Only the newest waits for the coordinator, so nothing blocks here.
func (p *peers) hold(h udp.Ownership) {
	select {
	case <-p.held:
	default:
	}
	p.held <- h
}

// pass tells the coordinator what changed, and what would run out.
func (p *peers) pass() {
	var (
		last  udp.Ownership
		until time.Time
		told  bool
	)
	for {
		var h udp.Ownership
		select {
		case <-p.done:
			select {
			case h = <-p.held: // that it uses nothing any more
			default:
				return
			}
		case h = <-p.held:
		}
		if p.size == 0 {
			h.Numbers, h.ValidFor = []int{p.own}, time.Duration(1<<62)
		}
		if h.Living == 0 { // it leaves; the others are there as before
			h.Living = max(1, last.Living)
		}
		if told && slices.Equal(h.Numbers, last.Numbers) && h.Living == last.Living && (len(h.Numbers) < 2 || time.Until(until) > h.ValidFor/2) {
			continue
		}
		if !slices.Equal(h.Numbers, last.Numbers) {
			p.log.WithFields(logrus.Fields{"numbers": h.Numbers, "living": h.Living}).Info("fleet: acting for other numbers")
		}
		p.coord.UpdateFleet(h.Numbers, h.ValidFor, h.Living)
		last, until, told = h, time.Now().Add(min(h.ValidFor, time.Hour)), true
	}
}
