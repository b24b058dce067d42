// Package app creates the parts of one dispatcher from its configuration, connects and runs them, and stops them in order.
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

// Options are the flags of a dispatcher's command line.
type Options struct {
	// Record is the folder in which traffic is recorded; empty: no traffic is recorded.
	Record string
	// Keep bounds the age and the size of the recorded traffic.
	Keep store.Retention
	// Fleet is the path of the fleet script; empty: the dispatcher takes part in no fleet.
	Fleet string
}

// Serve runs one dispatcher until the process receives SIGTERM or an interrupt; then it stops gracefully and returns nil.
// At SIGHUP it reloads the configuration. It returns an error if a part cannot be started or serving clients fails.
func Serve(opt Options, getenv func(string) string, log *logrus.Logger) error {
	// Signals are registered before anything else: a SIGHUP during the start must not end the process, and a signal to
	// stop that arrives during the start must be handled when the dispatcher begins to serve.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
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
	d.run(hangups, getenv)
	if !cfg.Policy.ListOnDemand {
		// The platform counts the dispatcher as notified of lists that were pushed before its start, and the list in the
		// configuration may be older than those.
		awaitFirstList(d.watcher.FirstList(), signals)
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

// dispatcher holds the parts of a running dispatcher.
type dispatcher struct {
	cfg      *config.Config                // as read at the start
	current  atomic.Pointer[config.Config] // the last accepted configuration
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
	coordRun sync.WaitGroup // waits for the coordinator's Run
}

func newDispatcher(cfg *config.Config, log *logrus.Logger) *dispatcher {
	d := &dispatcher{cfg: cfg, log: log, peers: &peers{}, reloads: &reloads{}}
	d.current.Store(cfg)
	d.phases = lifecycle.New(func(from, to lifecycle.Phase) {
		log.WithFields(logrus.Fields{"name": cfg.Name, "from": from, "to": to}).Info("phase changed")
	})
	return d
}

// prepare creates and connects the parts, but doesn't start them.
func (d *dispatcher) prepare(opt Options) error {
	disabled, err := loadDisabled(os.TempDir())
	if err != nil {
		d.log.WithError(err).Error("the list of disabled runners that the previous process saved cannot be read; no runner is disabled")
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
			return &StartError{"recording traffic", "repair the folder, or start without --record", err}
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

// listen opens the clients' listener. If a console is configured, it also opens the console's listener and serves it.
func (d *dispatcher) listen() error {
	ctx := d.phases.Until(lifecycle.Stopped)
	var err error
	if d.listener, err = listen(ctx, d.cfg.Listen); err != nil {
		return &StartError{`key "listen"`, "use an address of this machine at which no other program listens", err}
	}
	if d.cfg.Console == "" {
		return nil
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", d.cfg.Console)
	if err != nil {
		return &StartError{`key "console"`, "use an address of this machine at which no other program listens", err}
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

// run starts the parts' goroutines, which end at the phase Stopped.
func (d *dispatcher) run(hangups <-chan os.Signal, getenv func(string) string) {
	working := d.phases.Until(lifecycle.Stopped)
	d.watcher.KeepOpen(!d.cfg.Policy.ListOnDemand)
	go d.watcher.Run(working)
	d.coordRun.Go(func() { d.coord.Run(working) })
	d.peers.start()
	go d.reloadAt(working, hangups, getenv)
}

// stop leaves the fleet, serves the open requests for at most StopTimeout, and ends the goroutines that run started.
func (d *dispatcher) stop() {
	d.phases.Advance(lifecycle.Draining)
	d.peers.leave() // other dispatchers may take over its budget shares; open requests are still served
	err := d.drain(d.current.Load().StopTimeout())
	d.phases.Advance(lifecycle.Stopped)
	if err != nil {
		d.log.WithError(err).Error("stopped with requests unanswered")
	}
}

// close releases everything that prepare, listen and run opened, also after one of these calls failed.
func (d *dispatcher) close() {
	d.peers.leave()
	if d.console != nil {
		_ = d.console.Close() // the process ends, so an error has no effect
	}
	if d.recorder != nil {
		d.phases.Advance(lifecycle.Stopped) // ends the coordinator, which first passes the last requests to the recorder
		d.coordRun.Wait()
		_ = d.recorder.Close() // it logs its write errors itself
	}
}

// drain waits until all open requests have their response. After the timeout the coordinator ends those still open.
func (d *dispatcher) drain(timeout time.Duration) error {
	end := time.AfterFunc(timeout, d.coord.Close)
	defer end.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), timeout+shutdownGrace)
	defer cancel()
	return d.server.Shutdown(ctx)
}

// shutdownGrace is the time for delivering the last responses after drain's timeout.
const shutdownGrace = 300 * time.Millisecond

// firstListTimeout bounds the wait for the first list at the start, where lists are pushed. Discovery is near, so if it does
// not respond within this time, it has no newer list to give.
const firstListTimeout = time.Second

// awaitFirstList waits until the first list has been received, a signal to stop arrives or firstListTimeout has passed. It
// puts the signal back for its caller.
func awaitFirstList(first <-chan struct{}, signals chan os.Signal) {
	select {
	case <-first:
	case s := <-signals:
		signals <- s
	case <-time.After(firstListTimeout):
	}
}
