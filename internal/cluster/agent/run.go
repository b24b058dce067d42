package agent

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/relay"
	"ospreypond/internal/cluster/seeds"
	"ospreypond/internal/cluster/transport"
)

// Times of the runner's connections.
const (
	readTime = 5 * time.Second
	idleTime = 60 * time.Second
	// stopTime is the longest that a stop waits for exchanges that are out.
	stopTime = 1200 * time.Millisecond
	// watchWait is how long a watch for owners may be held: heartbeats notice sooner that an owner is gone.
	watchWait = 10 * time.Second
	// relayConnections and relayCalls bound what is relayed for others at one time.
	relayConnections = 64
	relayCalls       = 128
)

// Run serves the runner of this machine until ctx ends, then finishes what is out.
func Run(ctx context.Context, settings *boot.Settings, logger log.Logger) error {
	hangups := seeds.Hangups()
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(ctx, "tcp", settings.Listen[boot.ListenControl])
	if err != nil {
		return errors.Wrap(err, "listen for the runner")
	}
	others, err := config.Listen(ctx, "tcp", settings.InternalAddress())
	if err != nil {
		listener.Close()
		return errors.Wrap(err, "listen for calls to be relayed")
	}
	client := transport.NewClient(transport.ClientOptions{Logger: logger, Name: settings.NodeName})
	defer client.Close()

	// The directory goes on until the last exchange is over, which is after ctx has ended.
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	process := NewProcess(ProcessOptions{
		Client:    client,
		Addresses: settings.SeedInternalAddresses(),
		Node:      settings.NodeName,
		Zone:      settings.Zone,
		Relay:     settings.InternalAddress(),
		Service:   settings.Service,
		Calls:     settings.Commands == boot.CommandsInvocation,
		App:       settings.App,
		Logger:    logger,
	})
	defer process.Close()
	server := transport.NewServer(transport.ServerOptions{Logger: logger, MaxConnections: relayConnections, MaxHandlers: relayCalls})
	defer server.Close()
	relay.Register(server, client, process.Known.Knows)
	go server.Serve(serving, others)
	go process.Run(serving)
	follower := seeds.NewFollower(seeds.Options{Path: os.Getenv(boot.Variable), Seeds: settings.SeedInternalAddresses(),
		Directory: process.Known, StaleAfter: 2 * watchWait, Logger: logger})
	go follower.Run(serving, hangups)

	level.Info(logger).Log("msg", "agent is up", "node", settings.NodeName, "service", settings.Service)
	return serve(ctx, listener, process)
}

// serve serves on listener until ctx ends and what is out is finished.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:     handler,
		ReadTimeout: readTime,
		IdleTimeout: idleTime,
		ErrorLog:    stdlog.New(io.Discard, "", 0),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve the runner")
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	if err := server.Shutdown(stopping); err != nil {
		server.Close()
	}
	return nil
}
