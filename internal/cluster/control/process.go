package control

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/seeds"
	"ospreypond/internal/cluster/transport"
	"ospreypond/internal/store/vfs"
)

// headerTimeout bounds how long an HTTP client may take to send its request's header.
const headerTimeout = 5 * time.Second

// process is a Control with its goroutines, sockets and signals.
type process struct {
	*Control
	settings *boot.Settings
	server   *transport.Server

	internal net.Listener // for frontends, agents and other control processes
	operator net.Listener
	scrapes  net.Listener // for Prometheus; nil: metrics are not served

	goroutines sync.WaitGroup
}

// Run serves until ctx ends, then leaves the replica groups and returns nil. It returns an error if the process cannot
// start or if its replicas fail. All goroutines that it started have ended when it returns.
func Run(ctx context.Context, settings *boot.Settings, logger log.Logger) error {
	hangups := seeds.Hangups()
	client := transport.NewClient(transport.ClientOptions{Logger: logger})
	defer client.Close()
	c, err := New(optionsOf(settings, client, logger))
	if err != nil {
		return err
	}
	p := &process{Control: c, settings: settings, server: transport.NewServer(transport.ServerOptions{Logger: logger})}
	c.register(p.server)
	// Decommissioning starts when ctx has ended, and needs all that is served.
	serving := context.WithoutCancel(ctx)
	if err := p.listen(serving); err != nil {
		return err
	}
	return p.serve(ctx, serving, hangups)
}

func optionsOf(settings *boot.Settings, client *transport.Client, logger log.Logger) Options {
	options := Options{
		Self:       consensus.Member{Node: settings.NodeName, Zone: settings.Zone, Address: settings.InternalAddress()},
		Peers:      settings.SeedInternalAddresses(),
		FileSystem: vfs.OS{},
		Dir:        settings.DataDir,
		DiskBytes:  int64(settings.Limits.DiskMB) << 20,
		Bounds:     settings.Bounds,
		Sender:     &sender{client},
		Remote:     client,
		Clock:      clockwork.NewRealClock(),
		Logger:     logger,
		Seed:       uint64(time.Now().UnixNano()),
	}
	if settings.Bootstrap {
		options.Bootstrap = settings.SeedInternalAddresses()
	}
	return options
}

// listen opens the sockets, all or none.
func (p *process) listen(ctx context.Context) error {
	var config net.ListenConfig
	var err error
	if p.internal, err = config.Listen(ctx, "tcp", p.settings.InternalAddress()); err != nil {
		return errors.Wrap(err, "listening for the other processes")
	}
	if p.operator, err = config.Listen(ctx, "tcp", p.settings.Listen[boot.ListenControl]); err != nil {
		_ = p.internal.Close()
		return errors.Wrap(err, "listening for the operator")
	}
	if p.settings.MetricsPort <= 0 {
		return nil
	}
	address := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.MetricsPort))
	if p.scrapes, err = config.Listen(ctx, "tcp", address); err != nil {
		_ = p.internal.Close()
		_ = p.operator.Close()
		return errors.Wrap(err, "listening for scrapes of metrics")
	}
	return nil
}

// serve starts everything, waits until ctx ends or the replicas fail, and stops everything again. serving outlives ctx.
func (p *process) serve(ctx, serving context.Context, hangups <-chan os.Signal) error {
	serving, stop := context.WithCancel(serving)
	defer p.server.Close()
	defer p.goroutines.Wait()
	defer stop()

	engineEnded := make(chan error, 1)
	p.goroutines.Go(func() { engineEnded <- p.engine.Run(serving) })
	p.goroutines.Go(func() { _ = p.server.Serve(serving, p.internal) }) // fails only if accepting connections does
	p.goroutines.Go(func() { p.follower(serving).Run(serving, hangups) })
	if p.scrapes != nil {
		defer p.serveHTTP(p.scrapes, p.metrics)()
	}
	defer p.serveHTTP(p.operator, p.Operator())()
	p.Start()
	_ = level.Info(p.logger).Log("msg", "control is up", "node", p.settings.NodeName, "address", p.address)

	select {
	case err := <-engineEnded:
		return errors.Wrap(err, "the replicas ended")
	case <-ctx.Done():
	}
	left := make(chan struct{})
	p.Decommission(func() { close(left) })
	<-left
	return nil
}

// serveHTTP serves until the function that it returns is called.
func (p *process) serveHTTP(listener net.Listener, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	p.goroutines.Go(func() { _ = server.Serve(listener) }) // it always returns an error, also after Close
	return func() { _ = server.Close() }
}

// follower updates the peers when the settings file changes, until serving ends.
func (p *process) follower(serving context.Context) *seeds.Follower {
	return seeds.NewFollower(seeds.Options{Path: os.Getenv(boot.PathVariable), Seeds: p.settings.SeedInternalAddresses(),
		Directory: peers{engine: p.engine, stopped: serving.Done()}, Logger: p.logger})
}

// sender sends envelopes of the replicas over the network.
type sender struct{ client *transport.Client }

// Send sends one envelope; it may be lost.
func (s *sender) Send(address string, envelope *replica.Envelope) {
	transport.Send(s.client, address, envelope)
}
