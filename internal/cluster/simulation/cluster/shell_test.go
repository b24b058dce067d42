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

// shellBench is a machine with a shell, in a deployment whose control processes are off.
type shellBench struct {
	*WithT
	world   *simulation.World
	cluster *Cluster
	machine *simulation.Machine
	shell   *shell
}

// inBubble runs a test of a shell in a bubble.
func inBubble(t *testing.T, body func(b *shellBench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := simulation.NewWorld(1)
		deployment := simulation.NewDeployment(world, simulation.SmallSize(), ShortBounds())
		b := &shellBench{WithT: NewWithT(t), world: world, cluster: New(deployment), machine: deployment.AgentMachines[0]}
		b.machine.Start = func() { b.shell = b.cluster.newShell(b.machine) }
		b.machine.Boot()
		defer b.cluster.endShells()
		body(b)
	})
}

func (b *shellBench) clock() shellClock { return shellClock{shell: b.shell} }

func TestTimersFireInVirtualTime(t *testing.T) {
	inBubble(t, func(b *shellBench) {
		var fired []time.Duration
		b.shell.run(func(context.Context) {
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
	inBubble(t, func(b *shellBench) {
		var fired time.Duration
		b.shell.run(func(context.Context) {
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
	inBubble(t, func(b *shellBench) {
		var effects int
		ended := make(chan error, 2)
		earlier := b.shell
		earlier.run(func(ctx context.Context) {
			shellClock{shell: earlier}.AfterFunc(2*time.Second, func() { effects++ })
			err := caller{earlier}.Do(ctx, "core-0", &protocol.StatusRequest{Shard: 1}, &protocol.StatusResponse{})
			earlier.enqueue(processRequest, func() { effects++ })
			ended <- err
			ended <- caller{earlier}.Do(ctx, "core-0", &protocol.StatusRequest{Shard: 1}, &protocol.StatusResponse{})
		})
		b.machine.Kill()
		b.world.Run(time.Second)
		b.Expect(ended).NotTo(Receive())
		b.machine.Boot()
		b.Expect(failure.KindOf(<-ended)).To(Equal(failure.UnknownOutcome), "the call was in flight")
		b.Expect(failure.KindOf(<-ended)).To(Equal(failure.Unavailable), "the call was not made")
		b.world.Run(10 * time.Second)
		b.Expect(effects).To(BeZero())
	})
}

func TestADeadlineEndsAContextByTheMachinesClock(t *testing.T) {
	inBubble(t, func(b *shellBench) {
		ends := map[string]time.Duration{}
		await := func(ctx context.Context, name string, want error) {
			go func() {
				<-ctx.Done()
				if errors.Is(ctx.Err(), want) {
					b.shell.enqueue(processRequest, func() { ends[name] = b.world.Now() })
				}
			}()
		}
		b.shell.run(func(ctx context.Context) {
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
	inBubble(t, func(b *shellBench) {
		const requests = 20
		var order []int
		open := make(chan struct{})
		for number := range requests {
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				<-open
				w.WriteHeader(http.StatusAccepted)
			})
			b.shell.serve(handler, &http.Request{}, func(r *response) {
				b.Expect(r.status).To(Equal(http.StatusAccepted))
				order = append(order, number)
			})
		}
		b.Expect(order).To(BeEmpty())
		b.shell.deliver(func() { close(open) })
		b.Expect(order).To(HaveLen(requests))
		for number := range requests {
			b.Expect(order[number]).To(Equal(number))
		}
	})
}

func TestACallToAnUnreachableProcessFails(t *testing.T) {
	inBubble(t, func(b *shellBench) {
		kinds := map[string]failure.Kind{}
		for _, address := range []string{"core-0", "elsewhere"} {
			b.shell.run(func(ctx context.Context) {
				err := caller{b.shell}.Do(ctx, address, &protocol.StatusRequest{Shard: 1}, &protocol.StatusResponse{})
				b.shell.enqueue(processRequest, func() { kinds[address] = failure.KindOf(err) })
			})
		}
		b.world.Run(time.Second)
		b.Expect(kinds).To(Equal(map[string]failure.Kind{"core-0": failure.Unavailable, "elsewhere": failure.Unavailable}))
	})
}

func TestTimersFireInTheOrderOfTheirRequests(t *testing.T) {
	inBubble(t, func(b *shellBench) {
		const requests = 20
		var order []int
		open := make(chan struct{})
		for number := range requests {
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				<-open
				bounded, cancel := deadline.WithTimeout(r.Context(), b.clock(), time.Second)
				defer cancel()
				<-deadline.ClockFor(bounded, b.clock()).After(100 * time.Millisecond)
				<-bounded.Done()
			})
			b.shell.serve(handler, &http.Request{}, func(*response) { order = append(order, number) })
		}
		b.shell.deliver(func() { close(open) })
		b.world.Run(2 * time.Second)
		b.Expect(order).To(HaveLen(requests))
		for number := range requests {
			b.Expect(order[number]).To(Equal(number))
		}
	})
}
