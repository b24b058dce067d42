package agent

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/relay"
	"ospreypond/internal/cluster/seeds"
	"ospreypond/internal/cluster/transport"
	"ospreypond/internal/cluster/uplink"
)

const (
	// readTimeout bounds the time from a runner's connection or request to the request's last byte.
	readTimeout = 5 * time.Second
	// idleTimeout is the time after which the agent closes a runner's connection without requests.
	idleTimeout = 60 * time.Second
	// shutdownTimeout bounds the wait of a shutdown for exchanges in flight. It is longer than exchangeTimeout.
	shutdownTimeout = 1200 * time.Millisecond
	// maxWatchWait is the longest delay of a response to this process's watch of owners, which the owner of the
	// configuration answers. It may be long, because a heartbeat without a response makes the agent ask for the owners at
	// once.
	maxWatchWait = 10 * time.Second
	// maxRelayConnections and maxRelayCalls bound the connections of other processes that have their calls relayed here, and
	// the calls that are relayed at a time.
	maxRelayConnections = 64
	maxRelayCalls       = 128
)

// Run serves the runner of this machine, and relays calls of other processes, until ctx ends. Then it waits for the
// exchanges in flight, for shutdownTimeout at most, and returns nil.
func Run(ctx context.Context, settings *boot.Settings, logger log.Logger) error {
	hangups := seeds.Hangups()
	listeners, err := uplink.Listen(ctx,
		uplink.Endpoint{Address: settings.Listen[boot.ListenControl], Purpose: "the runner"},
		uplink.Endpoint{Address: settings.InternalAddress(), Purpose: "calls to be relayed"})
	if err != nil {
		return err
	}
	client := transport.NewClient(transport.ClientOptions{Logger: logger, Name: settings.NodeName})
	defer client.Close()
	process := NewProcess(processOptions(settings, client, logger))
	stop := uplink.Follow(ctx, uplink.Options{Process: process, Known: process.Known, Settings: settings, Hangups: hangups,
		StaleAfter: 2 * maxWatchWait, Logger: logger})
	defer stop()
	defer process.Close()
	stopRelay := serveRelay(ctx, newRelayServer(client, process.Known, logger), listeners[1])
	defer stopRelay()

	_ = level.Info(logger).Log("msg", "agent is up", "node", settings.NodeName, "service", settings.Service)
	return serve(ctx, listeners[0], process)
}

// processOptions returns the options of the process that settings describe.
func processOptions(settings *boot.Settings, client directory.Caller, logger log.Logger) ProcessOptions {
	return ProcessOptions{
		Client:        client,
		Addresses:     settings.SeedInternalAddresses(),
		Node:          settings.NodeName,
		Zone:          settings.Zone,
		Relay:         settings.InternalAddress(),
		Service:       settings.Service,
		CallsRunner:   settings.Commands == boot.CommandsInvocation,
		RunnerAddress: settings.App,
		Logger:        logger,
	}
}

// serve serves the runner on listener until ctx ends. Then it waits at most shutdownTimeout for the exchanges in
// flight, and aborts the remaining ones.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:     handler,
		ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout,
		ErrorLog:    stdlog.New(io.Discard, "", 0),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve the runner")
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdown) != nil {
		_ = server.Close() // its error would be of the listener, which Shutdown has closed
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the runner")
	}
	return nil
}

// newRelayServer returns a server that relays the calls of other processes to control processes that known knows.
func newRelayServer(client *transport.Client, known *directory.Directory, logger log.Logger) *transport.Server {
	server := transport.NewServer(transport.ServerOptions{Logger: logger, MaxConnections: maxRelayConnections, MaxHandlers: maxRelayCalls})
	relay.Register(server, client, known.Knows)
	return server
}

// serveRelay serves on listener until the returned function is called. That function returns when serving has ended.
func serveRelay(ctx context.Context, server *transport.Server, listener net.Listener) (stop func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(context.WithoutCancel(ctx), listener) // without relaying, the agent still serves its runner
	}()
	return func() {
		server.Close()
		<-ended
	}
}
