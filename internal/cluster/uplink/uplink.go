// Package uplink connects frontends and agents to the control plane. It keeps up to date which control processes exist
// and which process owns each shard. It sends calls to the owners. Where the network between the two machines is
// partitioned, it sends the calls through relays.
package uplink

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/relay"
	"ospreypond/internal/cluster/seeds"
)

// NewDirectory returns a directory that calls control processes by options.Client, and through relays where a direct call
// doesn't reach the process. It replaces options.OnRelays.
func NewDirectory(options directory.Options) *directory.Directory {
	paths := relay.NewCaller(options.Client, options.Clock)
	options.Client, options.OnRelays = paths, paths.SetRelays
	return directory.New(options)
}

// Follower is a frontend's or an agent's process, which Follow runs.
type Follower interface {
	// Run keeps the process's state of the control plane up to date until ctx ends.
	Run(ctx context.Context)
}

// Options configure Follow.
type Options struct {
	Process    Follower
	Known      *directory.Directory // directory of Process
	Settings   *boot.Settings
	Hangups    <-chan os.Signal // SIGHUP; the settings file is read again after each
	StaleAfter time.Duration    // see seeds.Options
	Logger     log.Logger
}

// Follow starts a process, and gives its directory new seeds when the settings file changes. It returns a function that
// stops both and waits until they have ended.
//
// The end of ctx doesn't stop them: a process needs the owners of shards until it has responded to its last caller.
func Follow(ctx context.Context, options Options) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	follower := seeds.NewFollower(seeds.Options{
		Path:       os.Getenv(boot.PathVariable),
		Seeds:      options.Settings.SeedInternalAddresses(),
		Directory:  options.Known,
		StaleAfter: options.StaleAfter,
		Logger:     options.Logger,
	})
	var running sync.WaitGroup
	running.Go(func() { options.Process.Run(ctx) })
	running.Go(func() { follower.Run(ctx, options.Hangups) })
	return func() {
		cancel()
		running.Wait()
	}
}

// Listen opens a listener on each endpoint and returns them in the same order. If an endpoint fails, it closes the
// listeners that are open and returns an error that names the failed endpoint's purpose. TCP sends no keep-alive probes on
// the connections, because servers close idle connections after a time.
func Listen(ctx context.Context, endpoints ...Endpoint) ([]net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listeners := make([]net.Listener, 0, len(endpoints))
	for _, endpoint := range endpoints {
		listener, err := config.Listen(ctx, "tcp", endpoint.Address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close() // the reported error is the failed listener's
			}
			return nil, errors.Wrapf(err, "listen for %s", endpoint.Purpose)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// Endpoint is an address to listen on.
type Endpoint struct {
	Address string // ip:port
	Purpose string // who connects to it; part of the error of Listen
}
