// Package seeds keeps the addresses that a process starts from in step with its settings file, which may change with
// or without a signal.
package seeds

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/boot"
)

const (
	// lookEvery is how often it is asked whether the seeds are still of use.
	lookEvery = 3 * time.Second
	// defaultStaleAfter is how long nobody has answered before the settings file is read again without a signal.
	defaultStaleAfter = 3 * time.Second
)

// Directory is what uses the seeds.
type Directory interface {
	Fresh(within time.Duration) bool
	SetSeeds(addresses []string)
}

// Options are what a Follower is made of.
type Options struct {
	Path      string   // of the settings file
	Seeds     []string // internal addresses as first read
	Directory Directory
	// StaleAfter is how long nobody has answered before the settings file is read again without a signal; 0: 3 s.
	StaleAfter time.Duration
	Clock      clockwork.Clock // nil: the real one
	Logger     log.Logger
}

// Follower reads the settings file again when that may help.
type Follower struct {
	Options
	read time.Time // when the file that was read last was written
}

// NewFollower returns a Follower.
func NewFollower(options Options) *Follower {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.StaleAfter <= 0 {
		options.StaleAfter = defaultStaleAfter
	}
	return &Follower{Options: options}
}

// Hangups returns a channel with the process's SIGHUPs, which from then on don't end it.
func Hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Run follows the settings file until ctx ends: at once on a signal, and by looking at it while nobody answers.
func (f *Follower) Run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := f.Clock.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			f.reload()
		case <-ticker.Chan():
			f.look()
		}
	}
}

// look reads the file if nobody answers and it was written since it was last read.
func (f *Follower) look() {
	if f.Directory.Fresh(f.StaleAfter) {
		return
	}
	information, err := os.Stat(f.Path)
	if err != nil || information.ModTime().Equal(f.read) {
		return
	}
	f.read = information.ModTime()
	f.reload()
}

// reload takes over the seeds of the file. A file that can't be used changes nothing.
func (f *Follower) reload() {
	settings, err := boot.Load(f.Path)
	if err != nil {
		level.Warn(f.Logger).Log("msg", "the changed settings can't be used", "err", err)
		return
	}
	addresses := settings.SeedInternalAddresses()
	if len(addresses) == 0 || slices.Equal(addresses, f.Seeds) {
		return
	}
	f.Seeds = addresses
	f.Directory.SetSeeds(addresses)
	level.Info(f.Logger).Log("msg", "the seeds have changed", "seeds", len(addresses))
}
