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
	RunSpecs(t, "Directory of owners")
}

const soon = 10 * time.Second // for what happens at once, on a busy machine too

func notLeader(leader string) error {
	return &failure.Error{Kind: failure.NotLeader, Message: "not here", Leader: leader}
}

func ofKind(kind failure.Kind) error { return failure.New(kind, "scripted") }

// asking is one call that a scripted caller has got.
type asking struct {
	address string
	at      time.Time
	request any
	answer  func(response any, err error) // response: a pointer, or nil
	ctx     context.Context
}

// scripted is a Caller whose calls the test answers, with a clock that stands still unless the test moves it.
type scripted struct {
	clock  *clockwork.FakeClock
	calls  chan asking
	pauses chan time.Duration // begun, in order
}

func newScripted() *scripted {
	return &scripted{
		clock:  clockwork.NewFakeClock(),
		calls:  make(chan asking, 100),
		pauses: make(chan time.Duration, 100),
	}
}

// pausing is the clock with its pauses told to the test.
type pausing struct {
	*clockwork.FakeClock
	pauses chan time.Duration
}

func (p *pausing) NewTimer(span time.Duration) clockwork.Timer {
	timer := p.FakeClock.NewTimer(span)
	p.pauses <- span
	return timer
}

// Do hands the call to the test and waits for its answer or for ctx.
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
	s.calls <- asking{address: address, at: s.clock.Now(), request: request, answer: answer, ctx: ctx}
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return failure.New(failure.UnknownOutcome, "ctx ended")
	}
}

// DoLong is Do.
func (s *scripted) DoLong(ctx context.Context, address string, request, response any) error {
	return s.Do(ctx, address, request, response)
}

// next returns the next call, letting pauses pass until it comes.
func (s *scripted) next() asking {
	GinkgoHelper()
	return passUntil(s, s.calls)
}

// passUntil lets pauses pass until a channel has something.
func passUntil[T any](s *scripted, channel <-chan T) T {
	GinkgoHelper()
	late := time.After(soon)
	for {
		select {
		case got := <-channel:
			return got
		case span := <-s.pauses:
			s.clock.Advance(span)
		case <-late:
			Fail("it never came")
		}
	}
}

// pause waits until a pause begins, and does not let it pass.
func (s *scripted) pause() {
	GinkgoHelper()
	Eventually(s.pauses).WithTimeout(soon).Should(Receive())
}

var threeSeeds = []string{"a", "b", "c"}

// nodeFirst is a machine's name that starts at the first seed.
func nodeFirst() string {
	for _, name := range []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"} {
		d := New(Options{Seeds: threeSeeds, Node: name})
		if d.first(protocol.ConfigurationShard) == "a" {
			return name
		}
	}
	Fail("no name starts at the first seed")
	return ""
}

func newDirectory(s *scripted, changed func(uint64, []byte) error) *Directory {
	clock := &pausing{FakeClock: s.clock, pauses: s.pauses}
	d := New(Options{Client: s, Seeds: threeSeeds, Node: nodeFirst(), Clock: clock, OnConfiguration: changed})
	d.bound = func(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) {
		return clockwork.WithTimeout(ctx, s.clock, span)
	}
	return d
}
