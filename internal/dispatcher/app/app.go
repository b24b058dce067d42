// Package app puts one running dispatcher together from its configuration, and stops it in order.
package app

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"reflect"
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

// Options are what the command line tells of a dispatcher.
type Options struct {
	// Record is a folder to record traffic in; empty: none is recorded.
	Record string
	// Keep is how long recorded traffic is kept.
	Keep store.Retention
	// Fleet is the operator's own settings file; empty: this dispatcher keeps to itself.
	Fleet string
}

// Serve runs one dispatcher until SIGTERM or an interrupt has ended it in order. SIGHUP has it read its configuration
// again.
func Serve(opt Options, getenv func(string) string, log *logrus.Logger) error {
	// From the first moment on: a SIGHUP that comes early waits its turn instead of ending the program.
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	// A signal to stop that comes while the program starts is seen as soon as it could serve.
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

	life := lifecycle.New(func(from, to lifecycle.Phase) {
		log.WithFields(logrus.Fields{"name": cfg.Name, "from": from, "to": to}).Info("phase changed")
	})
	disabled, err := loadDisabled(os.TempDir())
	if err != nil {
		log.WithError(err).Error("the runners taken out before this process are not known")
	}
	table := routetable.New(disabled...)
	coord, err := coordinator.New(cfg.Policy, cfg.Seed, log)
	if err != nil {
		return err
	}
	watcher := routetable.NewWatcher(table, cfg.Discovery, cfg.DiscoveryHold(), cfg.DrainGrace(), coord.UpdateList, log)
	clients, targets := cfg.SocketBudget()
	runners := egress.New(table, cfg, targets, log)
	coord.Attach(runners, watcher)
	var ran sync.WaitGroup
	if opt.Record != "" {
		rec, err := traffic.Open(opt.Record, opt.Keep, log)
		if err != nil {
			return &StartError{"recording traffic", "mend the folder, or start without --record", err}
		}
		coord.Observe(rec)
		defer func() {
			life.Advance(lifecycle.Stopped) // whatever ended it, so that the coordinator ends and tells of the last ones
			ran.Wait()
			_ = rec.Close() // it logs what it could not write
		}()
	}
	coord.UpdateList(policy.Event{Kind: policy.ListRestored, Members: table.Apply(&cfg.Known)})
	peers, err := joinFleet(opt.Fleet, cfg, coord, log)
	if err != nil {
		return err
	}

	listener, err := listen(context.Background(), cfg.Listen)
	if err != nil {
		return &StartError{`key "listen"`, "take an address of this machine that no other program has", err}
	}
	server := ingress.New(coord, life, &cfg.Policy, clients, cfg.BodyBudget(), log)
	files := &reloads{}
	if cfg.Console != "" {
		l, err := net.Listen("tcp", cfg.Console)
		if err != nil {
			return &StartError{`key "console"`, "take an address of this machine that no other program has", err}
		}
		ops := console.New(&operator{server: server, table: table, news: coord.UpdateList, reloads: files, peers: peers, dir: os.TempDir(), log: log}, log)
		defer ops.Close()
		go func() {
			if err := ops.Serve(l); err != nil {
				log.WithError(err).Error("the console stopped")
			}
		}()
		log.WithField("addr", l.Addr()).Info("console listening")
	}
	working := life.Until(lifecycle.Stopped)
	watcher.KeepOpen(!cfg.Policy.ListOnDemand)
	go watcher.Run(working)
	ran.Go(func() { coord.Run(working) })
	peers.start()
	defer peers.leave()
	inForce := &atomic.Pointer[config.Config]{}
	inForce.Store(cfg)
	go reload(working, hups, inForce, getenv, watcher, retuner{coord, runners, server, peers}, files, log)
	if !cfg.Policy.ListOnDemand {
		// What was pushed before counts as told from the first moment, and the list of the configuration may be old.
		awaitList(watcher.FirstList(), signals)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	life.Advance(lifecycle.Serving)
	log.WithField("addr", listener.Addr()).Info("listening")

	select {
	case err := <-served:
		return err
	case s := <-signals:
		log.WithField("signal", s).Info("asked to stop")
	}
	life.Advance(lifecycle.Draining)
	peers.leave() // what it may use passes on; what it holds it still ends
	err = drain(server, coord, inForce.Load().StopTimeout())
	life.Advance(lifecycle.Stopped)
	if err != nil {
		log.WithError(err).Error("stopped with requests unanswered")
	}
	return nil
}

// listWithin is how long a start waits for the list where lists are pushed. What pushes them is near; where it is
// silent, it has nothing to tell.
const listWithin = time.Second

// awaitList waits until a list came, a signal to stop, which is put back, or listWithin.
func awaitList(first <-chan struct{}, signals chan os.Signal) {
	select {
	case <-first:
	case s := <-signals:
		signals <- s
	case <-time.After(listWithin):
	}
}

// reload takes up a new configuration at each signal, in place of the one in force: the whole file is read and
// checked, and a faulty one changes nothing.
func reload(ctx context.Context, signals <-chan os.Signal, inForce *atomic.Pointer[config.Config], getenv func(string) string,
	watcher *routetable.Watcher, tune retuner, files *reloads, log *logrus.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		cfg := inForce.Load()
		next, err := cfg.Reload(getenv)
		if err != nil {
			log.WithError(err).WithField("refused", files.refuse(err)).Error("new configuration is faulty; the old one stays")
			continue
		}
		if !reflect.DeepEqual(cfg.Settings, next.Settings) {
			if err := tune.retune(next); err != nil {
				log.WithError(err).WithField("refused", files.refuse(err)).Error("new settings are faulty; the old ones stay")
				continue
			}
			watcher.Retune(next.DiscoveryHold(), next.DrainGrace())
			watcher.KeepOpen(!next.Policy.ListOnDemand)
			log.WithField("classes", len(next.Policy.Classes)).Info("settings changed; requests under way keep theirs")
		}
		watcher.Move(next.Discovery)
		entry := log.WithField("discovery", next.Discovery)
		if keys := cfg.NeedRestart(next); len(keys) > 0 {
			entry = entry.WithField("needs_restart", keys)
		}
		entry.WithField("taken", files.take()).Info("configuration reloaded")
		inForce.Store(next)
	}
}

// retuner takes new settings: the coordinator for the decisions, the egress for connections and reports, the ingress for the
// names that requests may use.
type retuner struct {
	coord   *coordinator.Coordinator
	runners *egress.Egress
	server  *ingress.Server
	peers   *peers
}

func (r retuner) retune(next *config.Config) error {
	if err := r.peers.fits(next); err != nil {
		return err
	}
	if err := r.coord.Retune(next.Policy); err != nil {
		return err
	}
	r.runners.Retune(next)
	r.server.Retune(&next.Policy)
	return nil
}

// drain stops taking requests and answers those taken: what is still open after the given time is ended.
func drain(server *ingress.Server, coord *coordinator.Coordinator, within time.Duration) error {
	end := time.AfterFunc(within, coord.Close)
	defer end.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), within+closeGrace)
	defer cancel()
	return server.Shutdown(ctx)
}

// closeGrace is for the last answers to get out.
const closeGrace = 300 * time.Millisecond
