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
	RunSpecs(t, "directory")
}

const soon = 10 * time.Second // the timeout for what happens at once, even on a busy machine

func notLeader(leader string) error {
	return &failure.Error{Kind: failure.NotLeader, Message: "not here", Leader: leader}
}

func ofKind(kind failure.Kind) error { return failure.New(kind, "scripted") }

// scriptedCall is a call that a scripted caller received.
type scriptedCall struct {
	address string
	at      time.Time
	request any
	answer  func(response any, err error) // response: a pointer, or nil
	ctx     context.Context
}

// scripted is a Caller whose calls the test answers, with a clock that only the test advances.
type scripted struct {
	clock  *clockwork.FakeClock
	calls  chan scriptedCall
	timers chan time.Duration // the timers that were started, in order
}

func newScripted() *scripted {
	return &scripted{
		clock:  clockwork.NewFakeClock(),
		calls:  make(chan scriptedCall, 100),
		timers: make(chan time.Duration, 100),
	}
}

// timerRecorder is a clock that reports to the test the timers that are started.
type timerRecorder struct {
	*clockwork.FakeClock
	pauses chan time.Duration
}

func (p *timerRecorder) NewTimer(span time.Duration) clockwork.Timer {
	timer := p.FakeClock.NewTimer(span)
	p.pauses <- span
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

// DoLong does what Do does.
func (s *scripted) DoLong(ctx context.Context, address string, request, response any) error {
	return s.Do(ctx, address, request, response)
}

// next returns the next call, and advances the clock by the timers until it comes.
func (s *scripted) next() scriptedCall {
	GinkgoHelper()
	return passUntil(s, s.calls)
}

// passUntil advances the clock by the timers until a channel has something, and returns that.
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
			Fail("timed out")
		}
	}
}

// waitForTimer waits until a timer is started, without advancing the clock.
func (s *scripted) waitForTimer() {
	GinkgoHelper()
	Eventually(s.timers).WithTimeout(soon).Should(Receive())
}

var threeSeeds = []string{"a", "b", "c"}

// nodeFirst returns a machine's name that starts at the first seed.
func nodeFirst() string {
	for _, name := range []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"} {
		d := New(Options{Seeds: threeSeeds, Node: name})
		if d.firstTarget(protocol.ConfigurationShard) == "a" {
			return name
		}
	}
	Fail("no name starts at the first seed")
	return ""
}

// newDirectory returns a Directory with three seeds and the scripted caller and its clock.
func newDirectory(s *scripted, changed func(uint64, []byte) error) *Directory {
	clock := &timerRecorder{FakeClock: s.clock, pauses: s.timers}
	d := New(Options{Client: s, Seeds: threeSeeds, Node: nodeFirst(), Clock: clock, OnConfiguration: changed})
	d.withTimeout = func(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) {
		return clockwork.WithTimeout(ctx, s.clock, span)
	}
	return d
}
