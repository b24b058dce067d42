package directory

import (
	"context"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Directory")
}

// soon is how long a test waits for an event that has no reason to be late. It is long so that a busy machine does not fail
// the test.
const soon = 10 * time.Second

// notLeader returns the error of a process that isn't the owner and names leader as the owner, or none if it is empty.
func notLeader(leader string) error {
	return &failure.Error{Kind: failure.NotLeader, Message: "not here", Leader: leader}
}

// ofKind returns an error of the given kind.
func ofKind(kind failure.Kind) error { return failure.New(kind, "scripted") }

// scriptedCall is a call that a scripted Caller received. The test ends it by answer.
type scriptedCall struct {
	address string
	at      time.Time // when the call arrived, by the fake clock
	request any
	answer  func(response any, err error) // response is a pointer, or nil; only the first call counts
	ctx     context.Context
}

// scripted is a Caller whose calls the test answers. Its clock advances only when the test advances it.
type scripted struct {
	clock  *clockwork.FakeClock
	calls  chan scriptedCall
	timers chan time.Duration // durations of the timers that were started, in order
}

func newScripted() *scripted {
	return &scripted{
		clock:  clockwork.NewFakeClock(),
		calls:  make(chan scriptedCall, 100),
		timers: make(chan time.Duration, 100),
	}
}

// timerRecorder is a fake clock that sends the duration of each new timer to a channel.
type timerRecorder struct {
	*clockwork.FakeClock
	timers chan time.Duration
}

func (r *timerRecorder) NewTimer(span time.Duration) clockwork.Timer {
	timer := r.FakeClock.NewTimer(span)
	r.timers <- span
	return timer
}

// Do passes the call to the test and waits for its answer or until ctx ends.
func (s *scripted) Do(ctx context.Context, address string, request, response any) error {
	ended := make(chan error, 1)
	var once sync.Once
	answer := func(given any, err error) {
		once.Do(func() {
			if given != nil {
				reflect.ValueOf(response).Elem().Set(reflect.ValueOf(given).Elem())
			}
			ended <- err
		})
	}
	s.calls <- scriptedCall{address: address, at: s.clock.Now(), request: request, answer: answer, ctx: ctx}
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return failure.New(failure.UnknownOutcome, "ctx ended")
	}
}

// DoLong does the same as Do.
func (s *scripted) DoLong(ctx context.Context, address string, request, response any) error {
	return s.Do(ctx, address, request, response)
}

// next returns the next call. Until it arrives, the clock advances by each timer that is started.
func (s *scripted) next() scriptedCall {
	GinkgoHelper()
	return passUntil(s, s.calls)
}

// passUntil returns the next value of a channel. Until it arrives, the clock advances by each timer that is started.
func passUntil[T any](s *scripted, channel <-chan T) T {
	GinkgoHelper()
	late := time.After(soon)
	for {
		select {
		case got := <-channel:
			return got
		case span := <-s.timers:
			s.clock.Advance(span)
		case <-late:
			Fail("nothing arrived on the channel in time")
		}
	}
}

// waitForTimer waits until a timer is started. It doesn't advance the clock.
func (s *scripted) waitForTimer() {
	GinkgoHelper()
	Eventually(s.timers).WithTimeout(soon).Should(Receive())
}

var threeSeeds = []string{"a", "b", "c"}

// nodeStartingAtFirstSeed returns the name of a machine that calls the first of threeSeeds first.
func nodeStartingAtFirstSeed() string {
	for _, name := range []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"} {
		d := New(Options{Seeds: threeSeeds, Node: name})
		if d.firstTarget(protocol.ConfigurationShard) == "a" {
			return name
		}
	}
	Fail("no name starts at the first seed")
	return ""
}

// newDirectory returns a Directory that knows threeSeeds, calls s and uses its clock. changed is its OnConfiguration.
func newDirectory(s *scripted, changed func(uint64, []byte) error) *Directory {
	clock := &timerRecorder{FakeClock: s.clock, timers: s.timers}
	d := New(Options{Client: s, Seeds: threeSeeds, Node: nodeStartingAtFirstSeed(), Clock: clock, OnConfiguration: changed})
	d.withTimeout = func(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) {
		return clockwork.WithTimeout(ctx, s.clock, span)
	}
	return d
}
