// Package seeds applies changes of the key `seeds` in a settings file to the running process. The seeds are the addresses
// through which a process finds the other processes of its system. The file is read again at SIGHUP, and also without a
// signal if it was modified while the addresses known so far do not work. Changes of other keys are not applied.
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
	// checkInterval is the time between two calls of check.
	checkInterval = 3 * time.Second
	// defaultStaleAfter is the default of Options.StaleAfter.
	defaultStaleAfter = 3 * time.Second
)

// Directory is the part of a process that finds the system through the seeds. Follower.Run calls its methods from its own
// goroutine.
type Directory interface {
	// Fresh reports whether the addresses known so far work, so that other seeds are not needed: a process has answered
	// within the given time before now, or the directory has another sign that they work.
	Fresh(within time.Duration) bool
	// SetSeeds replaces the seeds by the given internal addresses. The directory must not change the slice.
	SetSeeds(addresses []string)
}

// Options configure a Follower. Path, Directory and Logger are required.
type Options struct {
	Path      string   // path of the settings file
	Seeds     []string // seeds as read at the start, as internal addresses
	Directory Directory
	// StaleAfter is the time without an answer, passed to Directory.Fresh, after which the file is checked without a signal.
	// 0 stands for defaultStaleAfter.
	StaleAfter time.Duration
	Clock      clockwork.Clock // nil: the real clock
	Logger     log.Logger
}

// Follower applies the seeds of one settings file. Run must be called only once.
type Follower struct {
	Options
	readModTime time.Time // modification time of the file when check last read it; zero: check has not read it
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

// Hangups returns a channel that receives the SIGHUPs sent to the process. After the call a SIGHUP no longer ends the
// process. The channel buffers one signal.
func Hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Run applies changes of the settings file until ctx ends. At each signal from hangups it reads the file at once, and every
// checkInterval it calls check.
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

// check reads the file if the directory is not fresh and the file was modified since check last read it.
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

// reload reads the file and applies its seeds if they differ. An invalid file, or a file without seeds, has no effect.
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
