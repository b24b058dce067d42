// Package uplink connects the processes outside of the control plane, frontends and agents, to it: it follows which
// control processes exist and which of them owns each shard, and carries calls to the owners, through relays where the
// direct way is partitioned.
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

// NewDirectory returns a directory whose calls by options.Client go through relays where that fails. OnRelays is set by
// it.
func NewDirectory(options directory.Options) *directory.Directory {
	paths := relay.NewCaller(options.Client, options.Clock)
	options.Client, options.OnRelays = paths, paths.SetRelays
	return directory.New(options)
}

// Follower is what Follow runs: a frontend's or an agent's process.
type Follower interface {
	// Run follows the control plane until ctx ends.
	Run(ctx context.Context)
}

// Options configure Follow.
type Options struct {
	Process    Follower
	Known      *directory.Directory // of Process
	Settings   *boot.Settings
	Hangups    <-chan os.Signal // on each the settings file is read again
	StaleAfter time.Duration    // see seeds.Options
	Logger     log.Logger
}

// Follow runs a process, and gives its directory new seeds when the settings file changes. It returns a function that
// ends both and waits for them.
//
// They go on when ctx ends, until that function is called: a process needs the owners of shards until it has responded
// to its last caller.
func Follow(ctx context.Context, options Options) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	follower := seeds.NewFollower(seeds.Options{
		Path:       os.Getenv(boot.Variable),
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

// Listen opens a listener on each endpoint, in that order; if one fails, the others are closed. Connections get no
// keep-alive probes, as servers close idle ones after a time.
func Listen(ctx context.Context, endpoints ...Endpoint) ([]net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listeners := make([]net.Listener, 0, len(endpoints))
	for _, endpoint := range endpoints {
		listener, err := config.Listen(ctx, "tcp", endpoint.Address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close() // nobody has connected to it; the error to report is that of the listener that failed
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
	Purpose string // who calls there, for errors
}
