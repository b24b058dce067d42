package control

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
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

// running is a Control with its goroutines, sockets and signals.
type running struct {
	*Control
	settings *boot.Settings
	server   *transport.Server
}

// Run serves until ctx ends, then leaves the replica groups and returns.
func Run(ctx context.Context, settings *boot.Settings, logger log.Logger) error {
	hangups := seeds.Hangups()
	client := transport.NewClient(transport.ClientOptions{Logger: logger})
	defer client.Close()
	c, err := New(optionsOf(settings, client, logger))
	if err != nil {
		return err
	}
	r := &running{Control: c, settings: settings, server: transport.NewServer(transport.ServerOptions{Logger: logger})}
	c.register(r.server)
	listener, err := net.Listen("tcp", settings.InternalAddress())
	if err != nil {
		return errors.Wrap(err, "listening for the other processes")
	}
	web, err := net.Listen("tcp", settings.Listen["control"])
	if err != nil {
		return errors.Wrap(err, "listening for the operator")
	}
	if settings.MetricsPort > 0 {
		told, err := net.Listen("tcp", net.JoinHostPort(settings.IP, strconv.Itoa(settings.MetricsPort)))
		if err != nil {
			return errors.Wrap(err, "listening for questions for metrics")
		}
		defer told.Close()
		go (&http.Server{Handler: c.metrics, ReadHeaderTimeout: 5 * time.Second}).Serve(told)
	}
	return r.serve(ctx, listener, web, hangups)
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

func (r *running) serve(ctx context.Context, listener, web net.Listener, hangups <-chan os.Signal) error {
	engineContext, stopEngine := context.WithCancel(context.Background())
	defer stopEngine()
	engineEnd := make(chan error, 1)
	go func() { engineEnd <- r.engine.Run(engineContext) }()
	go r.server.Serve(engineContext, listener)
	go r.follower().Run(engineContext, hangups)
	httpServer := &http.Server{Handler: r.Operator(), ReadHeaderTimeout: 5 * time.Second}
	go httpServer.Serve(web)
	r.Start()
	level.Info(r.logger).Log("msg", "control is up", "node", r.settings.NodeName, "address", r.address)
	select {
	case err := <-engineEnd:
		return errors.Wrap(err, "the replicas ended")
	case <-ctx.Done():
	}
	left := make(chan struct{})
	r.Decommission(func() { close(left) })
	<-left
	httpServer.Close()
	stopEngine()
	<-engineEnd
	r.server.Close()
	return nil
}

// follower keeps the peers in step with the settings file.
func (r *running) follower() *seeds.Follower {
	return seeds.NewFollower(seeds.Options{Path: os.Getenv(boot.Variable), Seeds: r.settings.SeedInternalAddresses(),
		Directory: peers{r.engine}, Logger: r.logger})
}

// sender carries the replicas' envelopes.
type sender struct{ client *transport.Client }

// Send sends one envelope, best effort.
func (s *sender) Send(address string, envelope *replica.Envelope) {
	transport.Send(s.client, address, envelope)
}
