// Package seeds keeps the addresses from which a process finds its system (the key `seeds`) up to date with its settings
// file while the process runs. The file is read again at SIGHUP and, if the addresses known so far do not answer, whenever
// it has changed. Other settings are not applied.
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
	// checkInterval is the time between two checks whether the file has to be read again.
	checkInterval = 3 * time.Second
	// defaultStaleAfter is the default of Options.StaleAfter.
	defaultStaleAfter = 3 * time.Second
)

// Directory is what uses the seeds. Its methods are called from the goroutine of Follower.Run.
type Directory interface {
	// Fresh reports whether other seeds are not needed, because a process has answered within that time.
	Fresh(within time.Duration) bool
	// SetSeeds replaces the seeds by other internal addresses. The slice must not be changed.
	SetSeeds(addresses []string)
}

// Options configure a Follower. Path, Directory and Logger are required.
type Options struct {
	Path      string   // of the settings file
	Seeds     []string // internal addresses as read at the start
	Directory Directory
	// StaleAfter is for how long no process must have answered until the file is checked without a signal; 0: 3 s.
	StaleAfter time.Duration
	Clock      clockwork.Clock // nil: the real clock
	Logger     log.Logger
}

// Follower follows one settings file. Run is called once.
type Follower struct {
	Options
	readModTime time.Time // modification time of the file when it was last read without a signal
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

// Hangups returns a channel that receives the process's SIGHUPs, which from then on do not end the process. One signal is
// buffered.
func Hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Run follows the settings file until ctx ends: it reads the file at once when hangups receives a signal, and checks it while
// no process answers.
func (f *Follower) Run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := f.Clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			f.reload()
		case <-ticker.Chan():
			f.check()
		}
	}
}

// check reads the file if no process answers and the file was modified since check last read it.
func (f *Follower) check() {
	if f.Directory.Fresh(f.StaleAfter) {
		return
	}
	information, err := os.Stat(f.Path)
	if err != nil || information.ModTime().Equal(f.readModTime) {
		return
	}
	f.readModTime = information.ModTime()
	f.reload()
}

// reload applies the seeds of the file. An invalid file, or one without seeds, changes nothing.
func (f *Follower) reload() {
	settings, err := boot.Load(f.Path)
	if err != nil {
		_ = level.Warn(f.Logger).Log("msg", "the changed settings can't be used", "err", err)
		return
	}
	addresses := settings.SeedInternalAddresses()
	if len(addresses) == 0 || slices.Equal(addresses, f.Seeds) {
		return
	}
	f.Seeds = addresses
	f.Directory.SetSeeds(addresses)
	_ = level.Info(f.Logger).Log("msg", "the seeds have changed", "seeds", len(addresses))
}
