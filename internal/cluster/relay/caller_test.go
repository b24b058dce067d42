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

// network is a Client of a machine to which some ways are cut, and where relays pass on what they get.
type network struct {
	mutex    sync.Mutex      // of what is counted: probes come beside calls
	cut      map[string]bool // nothing comes back from there
	dead     map[string]bool // refuses connections
	farCut   map[string]bool // relays that do not reach the target either
	refusal  error           // what the owner answers, in place of an answer
	direct   int             // requests that came to the owner directly, pings apart
	relayed  int             // requests that came to it through relays
	asked    []string        // whom was called, in order
	watching time.Duration   // how long watches are held back
	holding  time.Duration   // the same for all calls
}

func newNetwork() *network {
	return &network{cut: map[string]bool{}, dead: map[string]bool{}, farCut: map[string]bool{}}
}

func (n *network) Do(ctx context.Context, address string, request, response any) error {
	n.count(func() { n.asked = append(n.asked, address) })
	time.Sleep(n.holding)
	switch {
	case n.cut[address]:
		<-ctx.Done()
		return failure.New(failure.UnknownOutcome, "no answer")
	case n.dead[address]:
		return failure.New(failure.Unavailable, "cannot connect")
	}
	if address != owner {
		return n.carry(ctx, address, request, response)
	}
	if _, ping := request.(*protocol.PingRequest); !ping {
		n.count(func() { n.direct++ })
	}
	return n.answer(response)
}

func (n *network) count(change func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change()
}

func (n *network) DoLong(ctx context.Context, address string, request, response any) error {
	time.Sleep(n.watching)
	return n.Do(ctx, address, request, response)
}

// carry is what a relay does.
func (n *network) carry(ctx context.Context, relay string, request, response any) error {
	if n.farCut[relay] {
		<-ctx.Done()
		return failure.New(failure.UnknownOutcome, "the relay has no answer")
	}
	far := &network{refusal: n.refusal, dead: n.dead}
	brought, err := (&service{client: far, known: func(string) bool { return true }}).carry(ctx, request.(*protocol.RelayRequest))
	n.count(func() { n.relayed += far.direct })
	if err == nil {
		*response.(*protocol.RelayResponse) = *brought
	}
	return err
}

func (n *network) answer(response any) error {
	if n.refusal != nil {
		return n.refusal
	}
	if status, ok := response.(*protocol.StatusResponse); ok {
		status.State = protocol.JobRunning
	}
	return nil
}

// bubble runs a test in virtual time.
func bubble(test func(n *network, c *Caller)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			n := newNetwork()
			c := NewCaller(n, nil)
			c.SetRelays([]protocol.Relay{{Address: relay1}, {Address: relay2}})
			test(n, c)
			time.Sleep(2 * time.Second) // for probes
		})
	}
}

// ask asks the owner for a job's state, for as long as a runner waits.
func ask(c *Caller) (state string, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 880*time.Millisecond)
	defer cancel()
	began := time.Now()
	response := &protocol.StatusResponse{}
	err = c.Do(ctx, owner, &protocol.StatusRequest{ID: "a"}, response)
	return string(response.State), time.Since(began), err
}

var _ = Describe("A call to a control process", func() {
	It("goes directly while that is answered", bubble(func(n *network, c *Caller) {
		state, _, err := ask(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(protocol.JobRunning))
		Expect(n.asked).To(Equal([]string{owner}))
	}))

	It("goes through a relay once the direct way is silent, and at once from then on", bubble(func(n *network, c *Caller) {
		n.cut[owner] = true
		state, took, err := ask(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(protocol.JobRunning))
		Expect(took).To(Equal(directPatience))
		_, took, err = ask(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(took).To(BeZero())
		Expect(n.relayed).To(Equal(2))
	}))

	It("goes directly again once a probe was answered", bubble(func(n *network, c *Caller) {
		n.cut[owner] = true
		_, _, _ = ask(c)
		n.cut[owner] = false
		time.Sleep(probeEvery)
		_, _, _ = ask(c) // probes beside
		synctest.Wait()
		_, _, err := ask(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(n.direct).To(Equal(1))
		Expect(n.relayed).To(Equal(2))
	}))

	It("that a dead process refuses is not relayed", bubble(func(n *network, c *Caller) {
		n.dead[owner] = true
		_, _, err := ask(c)
		Expect(failure.KindOf(err)).To(Equal(failure.Unavailable))
		Expect(n.asked).To(Equal([]string{owner}))
	}))

	It("takes the next relay after one that is cut off as well", bubble(func(n *network, c *Caller) {
		n.cut[owner], n.cut[relay1] = true, true
		_, _, err := ask(c)
		Expect(failure.KindOf(err)).To(Equal(failure.UnknownOutcome))
		state, _, err := ask(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(protocol.JobRunning))
	}))

	It("takes the next relay at once if the first certainly did nothing", bubble(func(n *network, c *Caller) {
		n.cut[owner], n.dead[relay1] = true, true
		_, took, err := ask(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(took).To(Equal(directPatience))
	}))

	It("does not take a refusal through a relay for that of the direct call, which may have been done", bubble(func(n *network, c *Caller) {
		n.cut[owner] = true
		n.refusal = failure.New(failure.Overloaded, "too many jobs")
		_, _, err := ask(c)
		Expect(failure.KindOf(err)).To(Equal(failure.UnknownOutcome))
		_, _, err = ask(c) // through the relay alone
		Expect(failure.KindOf(err)).To(Equal(failure.Overloaded))
	}))

	It("whose relay dies with the answer in its hand is in doubt", bubble(func(n *network, c *Caller) {
		n.cut[owner] = true
		_, _, _ = ask(c)
		n.farCut[relay1], n.farCut[relay2] = true, true
		_, took, err := ask(c)
		Expect(failure.KindOf(err)).To(Equal(failure.UnknownOutcome))
		Expect(took).To(Equal(relayPatience))
	}))

	It("that nobody relays waits for its own answer", bubble(func(n *network, c *Caller) {
		n.cut[owner] = true
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		began := time.Now()
		err := c.Do(ctx, owner, &protocol.ReadConfigurationRequest{}, &protocol.ReadConfigurationResponse{})
		Expect(failure.KindOf(err)).To(Equal(failure.UnknownOutcome))
		Expect(time.Since(began)).To(Equal(time.Second))
		Expect(n.asked).To(Equal([]string{owner}))
	}))
})

var _ = Describe("A watch", func() {
	watch := func(c *Caller) error {
		ctx, cancel := context.WithTimeout(context.Background(), 1600*time.Millisecond)
		defer cancel()
		return c.DoLong(ctx, owner, &protocol.WatchRequest{}, &protocol.WatchResponse{})
	}

	It("goes through a relay after one that was silent", bubble(func(n *network, c *Caller) {
		n.watching = time.Second
		n.cut[owner] = true
		Expect(failure.KindOf(watch(c))).To(Equal(failure.UnknownOutcome))
		synctest.Wait()
		Expect(watch(c)).To(Succeed())
		Expect(n.relayed).To(Equal(1))
	}))
})

var _ = Describe("A watch that is waited for longer than others", func() {
	It("is not given up sooner than its caller does", bubble(func(n *network, c *Caller) {
		n.holding = time.Second
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		Expect(c.Do(ctx, owner, &protocol.WatchRequest{}, &protocol.WatchResponse{})).To(Succeed())
		Expect(n.asked).To(Equal([]string{owner}))
	}))
})

var _ = Describe("A relay", func() {
	var n *network
	carry := func(request *protocol.RelayRequest) error {
		s := &service{client: n, known: func(address string) bool { return address == owner }}
		_, err := s.carry(context.Background(), request)
		return err
	}
	BeforeEach(func() { n = newNetwork() })

	It("says of a heartbeat that it was relayed", func() {
		request := &protocol.HeartbeatRequest{}
		Expect(carry(&protocol.RelayRequest{Target: owner, Heartbeat: request})).To(Succeed())
		Expect(request.Heartbeat.Relayed).To(BeTrue())
		Expect(n.direct).To(Equal(1))
	})

	It("calls control processes alone, so that nothing goes in a circle", func() {
		err := carry(&protocol.RelayRequest{Target: relay2, Status: &protocol.StatusRequest{}})
		Expect(failure.KindOf(err)).To(Equal(failure.Unavailable))
		Expect(n.asked).To(BeEmpty())
	})

	It("refuses a request without a call", func() {
		Expect(failure.KindOf(carry(&protocol.RelayRequest{Target: owner}))).To(Equal(failure.Invalid))
	})
})

var _ = Describe("Relays", func() {
	It("keep their order when they are told anew, the one that has answered first", func() {
		p := newPaths()
		p.setRelays([]string{"a", "b", "c"})
		p.demote("a")
		Expect(p.first()).To(Equal("b"))
		p.setRelays([]string{"a", "b", "d"})
		Expect(p.relays).To(Equal([]string{"b", "a", "d"}))
		p.setRelays([]string{"d"})
		Expect(p.first()).To(Equal("d"))
	})
})
