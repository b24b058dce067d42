package deadline_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/deadline"
)

// recordingClock is a deadline.Clock that records the deadlines of the contexts it creates. For the timers of a request it
// returns the clock in the request's context.
type recordingClock struct {
	*clockwork.FakeClock
	deadlines []time.Time
}

func (c *recordingClock) WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	c.deadlines = append(c.deadlines, at)
	return context.WithCancel(parent)
}

func (c *recordingClock) ForContext(ctx context.Context) clockwork.Clock {
	return clockwork.FromContext(ctx)
}

func TestClockForReturnsTheClockOfTheRequest(t *testing.T) {
	g := NewWithT(t)
	other := clockwork.NewFakeClock()
	ctx := clockwork.AddToContext(context.Background(), other)
	g.Expect(deadline.ClockFor(ctx, &recordingClock{})).To(BeIdenticalTo(other))
	plain := clockwork.NewRealClock()
	g.Expect(deadline.ClockFor(ctx, plain)).To(BeIdenticalTo(plain))
}

func TestAClockCreatesItsOwnContexts(t *testing.T) {
	g := NewWithT(t)
	clock := &recordingClock{FakeClock: clockwork.NewFakeClock()}
	at := clock.Now().Add(time.Minute)
	_, cancelDeadline := deadline.WithDeadline(context.Background(), clock, at)
	defer cancelDeadline()
	_, cancelTimeout := deadline.WithTimeout(context.Background(), clock, time.Hour)
	defer cancelTimeout()
	g.Expect(clock.deadlines).To(Equal([]time.Time{at, clock.Now().Add(time.Hour)}))
}

func TestContextsOfClockworksClocksEndAtTheirDeadline(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	first, cancelFirst := deadline.WithDeadline(context.Background(), clock, clock.Now().Add(time.Minute))
	defer cancelFirst()
	second, cancelSecond := deadline.WithTimeout(context.Background(), clock, time.Minute)
	defer cancelSecond()
	g.Expect(first.Done()).NotTo(BeClosed())
	clock.Advance(time.Minute)
	for _, ctx := range []context.Context{first, second} {
		<-ctx.Done()
		g.Expect(errors.Is(ctx.Err(), context.DeadlineExceeded)).To(BeTrue())
	}

	ended, cancelEnded := deadline.WithTimeout(context.Background(), clockwork.NewRealClock(), -time.Second)
	defer cancelEnded()
	g.Expect(ended.Err()).To(MatchError(context.DeadlineExceeded))
}
