// Package app makes one running dispatcher of its configuration, and stops it in order.
package app

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/config"
	"ospreypond/internal/dispatcher/console"
	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/internal/dispatcher/egress"
	"ospreypond/internal/dispatcher/ingress"
	"ospreypond/internal/dispatcher/lifecycle"
	"ospreypond/internal/dispatcher/routetable"
	"ospreypond/internal/dispatcher/traffic"
	"ospreypond/internal/store"
	"ospreypond/policy"
)

// Options are a dispatcher's command line.
type Options struct {
	// Record is the folder to record traffic in; empty: none is recorded.
	Record string
	// Keep is how long recorded traffic is kept.
	Keep store.Retention
	// Fleet is the path of the fleet script; empty: the dispatcher takes part in no fleet.
	Fleet string
}

// Serve runs one dispatcher until SIGTERM or an interrupt, by which it stops in order. SIGHUP has it reload its
// configuration. It returns an error if a part can't be started, or clients can't be served any more.
func Serve(opt Options, getenv func(string) string, log *logrus.Logger) error {
	// Registered first: a SIGHUP during the start must not end the program, and a signal to stop is handled as soon as
	// the dispatcher would serve.
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	cfg, err := config.Load(getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	log.SetLevel(cfg.LogLevel)
	runtime.GOMAXPROCS(cfg.Procs())
	debug.SetMemoryLimit(cfg.MemoryTarget())

	d := newDispatcher(cfg, log)
	defer d.close()
	if err := d.prepare(opt); err != nil {
		return err
	}
	if err := d.listen(); err != nil {
		return err
	}
	d.run(hups, getenv)
	if !cfg.Policy.ListOnDemand {
		// The dispatcher counts as notified of what was pushed before its start, and the configuration's list may be old.
		awaitList(d.watcher.FirstList(), signals)
	}
	served := make(chan error, 1)
	go func() { served <- d.server.Serve(d.listener) }()
	d.phases.Advance(lifecycle.Serving)
	log.WithField("addr", d.listener.Addr()).Info("listening")

	select {
	case err := <-served:
		return err
	case s := <-signals:
		log.WithField("signal", s).Info("asked to stop")
	}
	d.stop()
	return nil
}

// dispatcher is the parts of a running dispatcher.
type dispatcher struct {
	cfg      *config.Config // at the start
	inForce  atomic.Pointer[config.Config]
	log      *logrus.Logger
	phases   *lifecycle.Lifecycle
	table    *routetable.Table
	coord    *coordinator.Coordinator
	watcher  *routetable.Watcher
	egress   *egress.Egress
	server   *ingress.Server
	listener net.Listener
	console  *console.Server   // nil: none
	recorder *traffic.Recorder // nil: none
	peers    *peers
	reloads  *reloads
	ran      sync.WaitGroup // the coordinator's Run
}

func newDispatcher(cfg *config.Config, log *logrus.Logger) *dispatcher {
	d := &dispatcher{cfg: cfg, log: log, peers: &peers{}, reloads: &reloads{}}
	d.inForce.Store(cfg)
	d.phases = lifecycle.New(func(from, to lifecycle.Phase) {
		log.WithFields(logrus.Fields{"name": cfg.Name, "from": from, "to": to}).Info("phase changed")
	})
	return d
}

// prepare makes and connects the parts. None of them runs yet.
func (d *dispatcher) prepare(opt Options) error {
	disabled, err := loadDisabled(os.TempDir())
	if err != nil {
		d.log.WithError(err).Error("the runners taken out before this process are not known")
	}
	d.table = routetable.New(disabled...)
	if d.coord, err = coordinator.New(d.cfg.Policy, d.cfg.Seed, d.log); err != nil {
		return err
	}
	d.watcher = routetable.NewWatcher(d.table, d.cfg.Discovery, d.cfg.DiscoveryHold(), d.cfg.DrainGrace(), d.coord.UpdateList, d.log)
	clients, targets := d.cfg.SocketBudget()
	d.egress = egress.New(d.table, d.cfg, targets, d.log)
	d.coord.Attach(d.egress, d.watcher)
	if opt.Record != "" {
		if d.recorder, err = traffic.Open(opt.Record, opt.Keep, d.log); err != nil {
			return &StartError{"recording traffic", "mend the folder, or start without --record", err}
		}
		d.coord.Observe(d.recorder)
	}
	d.coord.UpdateList(policy.Event{Kind: policy.ListRestored, Members: d.table.Apply(&d.cfg.Known)})
	if d.peers, err = joinFleet(opt.Fleet, d.cfg, d.coord, d.log); err != nil {
		d.peers = &peers{}
		return err
	}
	d.server = ingress.New(d.coord, d.phases, &d.cfg.Policy, clients, d.cfg.BodyBudget(), d.log)
	return nil
}

// listen opens the clients' listener, and opens and serves the console's.
func (d *dispatcher) listen() error {
	ctx := d.phases.Until(lifecycle.Stopped)
	var err error
	if d.listener, err = listen(ctx, d.cfg.Listen); err != nil {
		return &StartError{`key "listen"`, "take an address of this machine that no other program has", err}
	}
	if d.cfg.Console == "" {
		return nil
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", d.cfg.Console)
	if err != nil {
		return &StartError{`key "console"`, "take an address of this machine that no other program has", err}
	}
	d.console = console.New(&operator{server: d.server, table: d.table, notify: d.coord.UpdateList, reloads: d.reloads,
		peers: d.peers, dir: os.TempDir(), log: d.log}, d.log)
	go func() {
		if err := d.console.Serve(l); err != nil {
			d.log.WithError(err).Error("the console stopped")
		}
	}()
	d.log.WithField("addr", l.Addr()).Info("console listening")
	return nil
}

// run starts the goroutines that work until the phase Stopped.
func (d *dispatcher) run(hups <-chan os.Signal, getenv func(string) string) {
	working := d.phases.Until(lifecycle.Stopped)
	d.watcher.KeepOpen(!d.cfg.Policy.ListOnDemand)
	go d.watcher.Run(working)
	d.ran.Go(func() { d.coord.Run(working) })
	d.peers.start()
	go d.reloadAt(working, hups, getenv)
}

// stop serves the requests that are open, for StopTimeout at most, and ends the goroutines of run.
func (d *dispatcher) stop() {
	d.phases.Advance(lifecycle.Draining)
	d.peers.leave() // its parts of budgets pass on; open requests are still served
	err := d.drain(d.inForce.Load().StopTimeout())
	d.phases.Advance(lifecycle.Stopped)
	if err != nil {
		d.log.WithError(err).Error("stopped with requests unanswered")
	}
}

// close releases what prepare, listen and run opened, however far they got.
func (d *dispatcher) close() {
	d.peers.leave()
	if d.console != nil {
		_ = d.console.Close() // the process ends
	}
	if d.recorder != nil {
		d.phases.Advance(lifecycle.Stopped) // so that the coordinator ends and notifies of the last requests
		d.ran.Wait()
		_ = d.recorder.Close() // it logs what it could not write
	}
}

// drain waits until the open requests have their response, and ends those that are open after the timeout.
func (d *dispatcher) drain(timeout time.Duration) error {
	end := time.AfterFunc(timeout, d.coord.Close)
	defer end.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), timeout+shutdownGrace)
	defer cancel()
	return d.server.Shutdown(ctx)
}

// shutdownGrace is how long after the timeout the last responses may take to be delivered.
const shutdownGrace = 300 * time.Millisecond

// firstListTimeout bounds the wait for the first list at a start where lists are pushed. Their source is near; if it
// does not respond, there is no newer list.
const firstListTimeout = time.Second

// awaitList waits until the first list was received, for a signal to stop, which it puts back, or for
// firstListTimeout.
func awaitList(first <-chan struct{}, signals chan os.Signal) {
	select {
	case <-first:
	case s := <-signals:
		signals <- s
	case <-time.After(firstListTimeout):
	}
}
