package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

const (
	owner  = "10.0.0.1:1"
	relay1 = "10.0.0.2:1"
	relay2 = "10.0.0.3:1"
)

// network is the Client of a machine that cannot reach some processes. Calls to relays are forwarded by a service, as in the
// relay's process.
type network struct {
	mutex            sync.Mutex      // guards the counts and called, since probes run during calls
	partitioned      map[string]bool // addresses whose calls get no response until ctx ends
	dead             map[string]bool // addresses that refuse connections
	relayPartitioned map[string]bool // relays that never answer, since they don't reach the target either
	refusal          error           // the error that the owner returns; nil: it returns a response
	direct           int             // requests that reached the owner directly, except pings
	relayed          int             // requests that reached the owner through relays, except pings
	called           []string        // addresses that were called directly, relays included, in order
	watchDelay       time.Duration   // how long DoLong waits before it calls
	delay            time.Duration   // how long each call takes at least
}

func newNetwork() *network {
	return &network{partitioned: map[string]bool{}, dead: map[string]bool{}, relayPartitioned: map[string]bool{}}
}

func (n *network) Do(ctx context.Context, address string, request, response any) error {
	n.count(func() { n.called = append(n.called, address) })
	time.Sleep(n.delay)
	switch {
	case n.partitioned[address]:
		<-ctx.Done()
		return failure.New(failure.UnknownOutcome, "no answer")
	case n.dead[address]:
		return failure.New(failure.Unavailable, "cannot connect")
	}
	if address != owner {
		return n.forward(ctx, address, request, response)
	}
	if _, ping := request.(*protocol.PingRequest); !ping {
		n.count(func() { n.direct++ })
	}
	return n.respond(response)
}

// count changes the counts with the mutex locked.
func (n *network) count(change func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change()
}

func (n *network) DoLong(ctx context.Context, address string, request, response any) error {
	time.Sleep(n.watchDelay)
	return n.Do(ctx, address, request, response)
}

// forward handles a call to a relay. The relay uses a separate network where the owner is not partitioned.
func (n *network) forward(ctx context.Context, relay string, request, response any) error {
	if n.relayPartitioned[relay] {
		<-ctx.Done()
		return failure.New(failure.UnknownOutcome, "no answer from the relay")
	}
	far := &network{refusal: n.refusal, dead: n.dead}
	relayed, err := (&service{client: far, isKnown: func(string) bool { return true }}).forward(ctx, request.(*protocol.RelayRequest))
	n.count(func() { n.relayed += far.direct })
	if err == nil {
		*response.(*protocol.RelayResponse) = *relayed
	}
	return err
}

// respond returns the owner's answer.
func (n *network) respond(response any) error {
	if n.refusal != nil {
		return n.refusal
	}
	if status, ok := response.(*protocol.StatusResponse); ok {
		status.State = protocol.JobRunning
	}
	return nil
}

// inVirtualTime returns a test body that runs in virtual time, with a Caller that knows two relays.
func inVirtualTime(test func(n *network, c *Caller)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			n := newNetwork()
			c := NewCaller(n, nil)
			c.SetRelays([]protocol.Relay{{Address: relay1}, {Address: relay2}})
			test(n, c)
			time.Sleep(2 * time.Second) // until the goroutines of probes have ended
		})
	}
}

// requestStatus asks the owner for a job's state. It uses the timeout of a runner's request. It also returns the duration
// of the call.
func requestStatus(c *Caller) (state string, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 880*time.Millisecond)
	defer cancel()
	began := time.Now()
	response := &protocol.StatusResponse{}
	err = c.Do(ctx, owner, &protocol.StatusRequest{ID: "a"}, response)
	return string(response.State), time.Since(began), err
}

var _ = Describe("A call to a control process", func() {
	It("goes only to the process itself while that answers", inVirtualTime(func(n *network, c *Caller) {
		state, _, err := requestStatus(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(protocol.JobRunning))
		Expect(n.called).To(Equal([]string{owner}))
	}))

	It("goes through a relay after directTimeout, and the next call does at once", inVirtualTime(func(n *network, c *Caller) {
		n.partitioned[owner] = true
		state, took, err := requestStatus(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(protocol.JobRunning))
		Expect(took).To(Equal(directTimeout))
		_, took, err = requestStatus(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(took).To(BeZero())
		Expect(n.relayed).To(Equal(2))
	}))

	It("goes directly again after the process has answered a probe", inVirtualTime(func(n *network, c *Caller) {
		n.partitioned[owner] = true
		_, _, _ = requestStatus(c)
		n.partitioned[owner] = false
		time.Sleep(probeInterval)
		_, _, _ = requestStatus(c) // goes through the relay and starts a probe
		synctest.Wait()
		_, _, err := requestStatus(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(n.direct).To(Equal(1))
		Expect(n.relayed).To(Equal(2))
	}))

	It("is not relayed if the process refuses connections, since it has ended", inVirtualTime(func(n *network, c *Caller) {
		n.dead[owner] = true
		_, _, err := requestStatus(c)
		Expect(failure.KindOf(err)).To(Equal(failure.Unavailable))
		Expect(n.called).To(Equal([]string{owner}))
	}))

	It("goes through the next relay after a call through the first failed", inVirtualTime(func(n *network, c *Caller) {
		n.partitioned[owner], n.partitioned[relay1] = true, true
		_, _, err := requestStatus(c)
		Expect(failure.KindOf(err)).To(Equal(failure.UnknownOutcome))
		state, _, err := requestStatus(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(protocol.JobRunning))
	}))

	It("goes through the next relay at once if the first relay refuses connections", inVirtualTime(func(n *network, c *Caller) {
		n.partitioned[owner], n.dead[relay1] = true, true
		_, took, err := requestStatus(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(took).To(Equal(directTimeout))
	}))

	It("has an unknown outcome if a relayed error follows a direct timeout", inVirtualTime(func(n *network, c *Caller) {
		n.partitioned[owner] = true
		n.refusal = failure.New(failure.Overloaded, "too many jobs")
		_, _, err := requestStatus(c)
		Expect(failure.KindOf(err)).To(Equal(failure.UnknownOutcome))
		_, _, err = requestStatus(c) // goes only through the relay
		Expect(failure.KindOf(err)).To(Equal(failure.Overloaded))
	}))

	It("has an unknown outcome if the relay does not respond", inVirtualTime(func(n *network, c *Caller) {
		n.partitioned[owner] = true
		_, _, _ = requestStatus(c)
		n.relayPartitioned[relay1], n.relayPartitioned[relay2] = true, true
		_, took, err := requestStatus(c)
		Expect(failure.KindOf(err)).To(Equal(failure.UnknownOutcome))
		Expect(took).To(Equal(relayTimeout))
	}))

	It("waits for a direct response until its deadline if its type is not relayed", inVirtualTime(func(n *network, c *Caller) {
		n.partitioned[owner] = true
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		began := time.Now()
		err := c.Do(ctx, owner, &protocol.ReadConfigurationRequest{}, &protocol.ReadConfigurationResponse{})
		Expect(failure.KindOf(err)).To(Equal(failure.UnknownOutcome))
		Expect(time.Since(began)).To(Equal(time.Second))
		Expect(n.called).To(Equal([]string{owner}))
	}))
})

var _ = Describe("A watch", func() {
	watch := func(c *Caller) error {
		ctx, cancel := context.WithTimeout(context.Background(), 1600*time.Millisecond)
		defer cancel()
		return c.DoLong(ctx, owner, &protocol.WatchRequest{}, &protocol.WatchResponse{})
	}

	It("goes through a relay after an earlier watch timed out", inVirtualTime(func(n *network, c *Caller) {
		n.watchDelay = time.Second
		n.partitioned[owner] = true
		Expect(failure.KindOf(watch(c))).To(Equal(failure.UnknownOutcome))
		synctest.Wait()
		Expect(watch(c)).To(Succeed())
		Expect(n.relayed).To(Equal(1))
	}))
})

var _ = Describe("A watch whose response is delayed", func() {
	It("is not relayed, and returns the response when it arrives", inVirtualTime(func(n *network, c *Caller) {
		n.delay = time.Second
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		Expect(c.Do(ctx, owner, &protocol.WatchRequest{}, &protocol.WatchResponse{})).To(Succeed())
		Expect(n.called).To(Equal([]string{owner}))
	}))
})

var _ = Describe("A relay", func() {
	var n *network
	forward := func(request *protocol.RelayRequest) error {
		s := &service{client: n, isKnown: func(address string) bool { return address == owner }}
		_, err := s.forward(context.Background(), request)
		return err
	}
	BeforeEach(func() { n = newNetwork() })

	It("marks a heartbeat as relayed", func() {
		request := &protocol.HeartbeatRequest{}
		Expect(forward(&protocol.RelayRequest{Target: owner, Heartbeat: request})).To(Succeed())
		Expect(request.Heartbeat.Relayed).To(BeTrue())
		Expect(n.direct).To(Equal(1))
	})

	It("refuses targets that are not control processes, so that no call goes in a circle", func() {
		err := forward(&protocol.RelayRequest{Target: relay2, Status: &protocol.StatusRequest{}})
		Expect(failure.KindOf(err)).To(Equal(failure.Unavailable))
		Expect(n.called).To(BeEmpty())
	})

	It("refuses a request without a call", func() {
		Expect(failure.KindOf(forward(&protocol.RelayRequest{Target: owner}))).To(Equal(failure.Invalid))
	})
})

var _ = Describe("The list of relays", func() {
	It("keeps the order of known relays when it is set again, with demoted ones last", func() {
		p := newPaths()
		p.setRelays([]string{"a", "b", "c"})
		p.demote("a")
		Expect(p.preferred()).To(Equal("b"))
		p.setRelays([]string{"a", "b", "d"})
		Expect(p.relays).To(Equal([]string{"b", "a", "d"}))
		p.setRelays([]string{"d"})
		Expect(p.preferred()).To(Equal("d"))
	})
})
