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

// headerTimeout limits the time that an HTTP client may take to send the header of a request.
const headerTimeout = 5 * time.Second

// process adds goroutines, sockets and signals to a Control.
type process struct {
	*Control
	settings *boot.Settings
	server   *transport.Server

	internalListener net.Listener // for frontends, agents and other control processes
	operatorListener net.Listener // for the operator's HTTP interface
	metricsListener  net.Listener // for Prometheus; nil: metrics are not served

	goroutines sync.WaitGroup
}

// Run runs a control process until ctx ends, then leaves the replica groups and returns nil. It returns an error if the
// process can't start or if the replica engine fails. When it returns, all goroutines that it started have ended.
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
	// Decommissioning starts when ctx has ended and needs the connections to the other processes, so serving continues
	// without ctx.
	serving := context.WithoutCancel(ctx)
	if err := p.listen(serving); err != nil {
		return err
	}
	return p.serve(ctx, serving, hangups)
}

// optionsOf returns the options of a Control with these settings, the real clock and the real file system.
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

// listen opens all listeners. If it fails to open a listener, it closes the listeners that it has opened.
func (p *process) listen(ctx context.Context) error {
	var config net.ListenConfig
	var err error
	if p.internalListener, err = config.Listen(ctx, "tcp", p.settings.InternalAddress()); err != nil {
		return errors.Wrap(err, "listening on the internal address")
	}
	if p.operatorListener, err = config.Listen(ctx, "tcp", p.settings.Listen[boot.ListenControl]); err != nil {
		_ = p.internalListener.Close()
		return errors.Wrap(err, "listening on the address of the operator's interface")
	}
	if p.settings.MetricsPort <= 0 {
		return nil
	}
	address := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.MetricsPort))
	if p.metricsListener, err = config.Listen(ctx, "tcp", address); err != nil {
		_ = p.internalListener.Close()
		_ = p.operatorListener.Close()
		return errors.Wrap(err, "listening on the address of the metrics")
	}
	return nil
}

// serve starts all goroutines, waits until ctx ends or the engine fails, and stops them again. When ctx ends, it first
// leaves the replica groups; serving, which outlives ctx, keeps everything running until then.
func (p *process) serve(ctx, serving context.Context, hangups <-chan os.Signal) error {
	serving, stop := context.WithCancel(serving)
	defer p.server.Close()
	defer p.goroutines.Wait()
	defer stop()

	engineEnded := make(chan error, 1)
	p.goroutines.Go(func() { engineEnded <- p.engine.Run(serving) })
	p.goroutines.Go(func() { _ = p.server.Serve(serving, p.internalListener) }) // an error means that the listener failed
	p.goroutines.Go(func() { p.follower(serving).Run(serving, hangups) })
	if p.metricsListener != nil {
		defer p.serveHTTP(p.metricsListener, p.metrics)()
	}
	defer p.serveHTTP(p.operatorListener, p.Operator())()
	p.Start()
	_ = level.Info(p.logger).Log("msg", "control is up", "node", p.settings.NodeName, "address", p.address)

	select {
	case err := <-engineEnded:
		return errors.Wrap(err, "the replica engine ended")
	case <-ctx.Done():
	}
	decommissioned := make(chan struct{})
	p.Decommission(func() { close(decommissioned) })
	<-decommissioned
	return nil
}

// serveHTTP serves HTTP requests on the listener until stop is called.
func (p *process) serveHTTP(listener net.Listener, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	p.goroutines.Go(func() { _ = server.Serve(listener) }) // Serve always returns an error, also after Close
	return func() { _ = server.Close() }
}

// follower returns a follower of the settings file that updates the peers when the seeds in the file have changed.
func (p *process) follower(serving context.Context) *seeds.Follower {
	return seeds.NewFollower(seeds.Options{Path: os.Getenv(boot.PathVariable), Seeds: p.settings.SeedInternalAddresses(),
		Directory: peers{engine: p.engine, stopped: serving.Done()}, Logger: p.logger})
}

// sender is the replica.Sender that uses the network.
type sender struct{ client *transport.Client }

// Send sends one envelope, which may be lost.
func (s *sender) Send(address string, envelope *replica.Envelope) {
	transport.Send(s.client, address, envelope)
}
