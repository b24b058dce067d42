package cluster

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/simulation"
)

// harnessTest is a test of a harness on one agent machine. All other machines of the deployment are off.
type harnessTest struct {
	*WithT
	world   *simulation.World
	cluster *Cluster
	machine *simulation.Machine
	harness *harness
}

// inBubble runs a test of a harness in a testing/synctest bubble, after it has booted the machine.
func inBubble(t *testing.T, body func(b *harnessTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := simulation.NewWorld(1)
		deployment := simulation.NewDeployment(world, simulation.SmallSize(), ShortBounds())
		b := &harnessTest{WithT: NewWithT(t), world: world, cluster: New(deployment), machine: deployment.AgentMachines[0]}
		b.machine.Start = func() { b.harness = b.cluster.newHarness(b.machine) }
		b.machine.Boot()
		defer b.cluster.endHarnesses()
		body(b)
	})
}

// clock returns the clock of the process for goroutines that work for no request.
func (b *harnessTest) clock() machineClock { return machineClock{harness: b.harness} }

func TestTimersFireInVirtualTime(t *testing.T) {
	inBubble(t, func(b *harnessTest) {
		var fired []time.Duration
		b.harness.run(func(context.Context) {
			<-b.clock().After(time.Second)
			fired = append(fired, b.world.Now())
			ticker := b.clock().NewTicker(100 * time.Millisecond)
			for range 2 {
				<-ticker.Chan()
				fired = append(fired, b.world.Now())
			}
			ticker.Stop()
			stopped := b.clock().AfterFunc(time.Second, func() { fired = append(fired, 0) })
			stopped.Stop()
		})
		b.world.Run(5 * time.Second)
		b.Expect(fired).To(Equal([]time.Duration{time.Second, 1100 * time.Millisecond, 1200 * time.Millisecond}))
	})
}

func TestAFrozenMachineDefersItsTimersUntilItIsThawed(t *testing.T) {
	inBubble(t, func(b *harnessTest) {
		var fired time.Duration
		b.harness.run(func(context.Context) {
			<-b.clock().After(time.Second)
			fired = b.world.Now()
		})
		b.world.At(500*time.Millisecond, b.machine.Freeze)
		b.world.At(3*time.Second, b.machine.Thaw)
		b.world.Run(2 * time.Second)
		b.Expect(fired).To(BeZero())
		b.world.Run(4 * time.Second)
		b.Expect(fired).To(Equal(3 * time.Second))
	})
}

func TestAKilledProcessHasNoEffects(t *testing.T) {
	inBubble(t, func(b *harnessTest) {
		var effects int
		ended := make(chan error, 2)
		earlier := b.harness
		earlier.run(func(ctx context.Context) {
			machineClock{harness: earlier}.AfterFunc(2*time.Second, func() { effects++ })
			err := caller{earlier}.Do(ctx, "core-0", &protocol.StatusRequest{Shard: 1}, &protocol.StatusResponse{})
			earlier.enqueue(processRequest, func() { effects++ })
			ended <- err
			ended <- caller{earlier}.Do(ctx, "core-0", &protocol.StatusRequest{Shard: 1}, &protocol.StatusResponse{})
		})
		b.machine.Kill()
		b.world.Run(time.Second)
		b.Expect(ended).NotTo(Receive())
		b.machine.Boot()
		b.Expect(failure.KindOf(<-ended)).To(Equal(failure.UnknownOutcome), "the call was in flight when the process was killed")
		b.Expect(failure.KindOf(<-ended)).To(Equal(failure.Unavailable), "the call was not sent, because the process was killed")
		b.world.Run(10 * time.Second)
		b.Expect(effects).To(BeZero())
	})
}

func TestADeadlineEndsAContextByTheMachinesClock(t *testing.T) {
	inBubble(t, func(b *harnessTest) {
		ends := map[string]time.Duration{}
		await := func(ctx context.Context, name string, want error) {
			go func() {
				<-ctx.Done()
				if errors.Is(ctx.Err(), want) {
					b.harness.enqueue(processRequest, func() { ends[name] = b.world.Now() })
				}
			}()
		}
		b.harness.run(func(ctx context.Context) {
			long, _ := b.clock().WithDeadline(ctx, b.clock().Now().Add(2*time.Second))
			await(long, "long", context.DeadlineExceeded)
			short, _ := b.clock().WithDeadline(long, b.clock().Now().Add(time.Second))
			await(short, "short", context.DeadlineExceeded)
			bounded, _ := b.clock().WithDeadline(short, b.clock().Now().Add(time.Hour))
			at, _ := bounded.Deadline()
			b.Expect(b.clock().Until(at)).To(Equal(time.Second))
			given, cancel := b.clock().WithDeadline(ctx, b.clock().Now().Add(time.Hour))
			await(given, "cancelled", context.Canceled)
			b.clock().AfterFunc(500*time.Millisecond, cancel)
		})
		b.world.Run(5 * time.Second)
		b.Expect(ends).To(Equal(map[string]time.Duration{"cancelled": 500 * time.Millisecond, "short": time.Second, "long": 2 * time.Second}))
	})
}

func TestEffectsArePerformedInTheOrderOfTheirRequests(t *testing.T) {
	inBubble(t, func(b *harnessTest) {
		const requests = 20
		var order []int
		release := make(chan struct{})
		for number := range requests {
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				<-release
				w.WriteHeader(http.StatusAccepted)
			})
			b.harness.serve(handler, &http.Request{}, func(r *response) {
				b.Expect(r.status).To(Equal(http.StatusAccepted))
				order = append(order, number)
			})
		}
		b.Expect(order).To(BeEmpty())
		b.harness.deliver(func() { close(release) })
		b.Expect(order).To(HaveLen(requests))
		for number := range requests {
			b.Expect(order[number]).To(Equal(number))
		}
	})
}

func TestACallToAnUnreachableProcessFails(t *testing.T) {
	inBubble(t, func(b *harnessTest) {
		kinds := map[string]failure.Kind{}
		for _, address := range []string{"core-0", "elsewhere"} {
			b.harness.run(func(ctx context.Context) {
				err := caller{b.harness}.Do(ctx, address, &protocol.StatusRequest{Shard: 1}, &protocol.StatusResponse{})
				b.harness.enqueue(processRequest, func() { kinds[address] = failure.KindOf(err) })
			})
		}
		b.world.Run(time.Second)
		b.Expect(kinds).To(Equal(map[string]failure.Kind{"core-0": failure.Unavailable, "elsewhere": failure.Unavailable}))
	})
}

func TestTimersFireInTheOrderOfTheirRequests(t *testing.T) {
	inBubble(t, func(b *harnessTest) {
		const requests = 20
		var order []int
		release := make(chan struct{})
		for number := range requests {
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				<-release
				bounded, cancel := deadline.WithTimeout(r.Context(), b.clock(), time.Second)
				defer cancel()
				<-deadline.ClockFor(bounded, b.clock()).After(100 * time.Millisecond)
				<-bounded.Done()
			})
			b.harness.serve(handler, &http.Request{}, func(*response) { order = append(order, number) })
		}
		b.harness.deliver(func() { close(release) })
		b.world.Run(2 * time.Second)
		b.Expect(order).To(HaveLen(requests))
		for number := range requests {
			b.Expect(order[number]).To(Equal(number))
		}
	})
}
