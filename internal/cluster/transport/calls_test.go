package transport

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

var _ = Describe("Calls", func() {
	ctx := context.Background()

	It("are answered by a handler, which gets the caller's name and deadline", func() {
		server := NewServer(ServerOptions{})
		Handle(server, func(ctx context.Context, from string, q *question) (*reply, error) {
			_, bounded := ctx.Deadline()
			return &reply{Text: fmt.Sprintf("%s %s %v", from, q.Text, bounded), Inner: inner{Values: []int{q.Number}}}, nil
		})
		address := serve(server)
		client := newTestClient(ClientOptions{Name: "sur-1"})
		for i := range 3 {
			response, err := Call[question, reply](ctx, client, address, &question{Text: "hello", Number: i})
			Expect(err).NotTo(HaveOccurred())
			Expect(response).To(Equal(&reply{Text: "sur-1 hello false", Inner: inner{Values: []int{i}}}))
		}
		bounded, cancel := context.WithTimeout(ctx, time.Hour)
		defer cancel()
		response, err := Call[question, reply](bounded, client, address, &question{})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Text).To(Equal("sur-1  true"))
	})

	It("are answered out of order", func() {
		server := NewServer(ServerOptions{})
		replies := map[int]func(*reply, error){}
		HandleAsync(server, func(_ string, q *question, respond func(*reply, error)) {
			replies[q.Number] = respond
			if len(replies) < 3 {
				return
			}
			for _, number := range []int{2, 0, 1} {
				replies[number](&reply{Text: fmt.Sprint(number)}, nil)
				replies[number](&reply{Text: "again"}, nil) // ignored: the call has its answer
			}
		})
		address := serve(server)
		client := newTestClient(ClientOptions{})
		var group sync.WaitGroup
		for number := range 3 {
			group.Go(func() {
				defer GinkgoRecover()
				response, err := Call[question, reply](ctx, client, address, &question{Number: number})
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Text).To(Equal(fmt.Sprint(number)))
			})
		}
		group.Wait()
	})

	It("may have a request or response without fields", func() {
		server := NewServer(ServerOptions{})
		Handle(server, func(context.Context, string, *nothing) (*nothing, error) { return nil, nil })
		Handle(server, func(context.Context, string, *question) (*nothing, error) { return &nothing{}, nil })
		address := serve(server)
		client := newTestClient(ClientOptions{})
		_, err := Call[nothing, nothing](ctx, client, address, &nothing{})
		Expect(err).NotTo(HaveOccurred())
		_, err = Call[question, nothing](ctx, client, address, &question{Text: "x"})
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("return the kind, the message and the leader of the handler's error",
		func(given error, kind failure.Kind, message, leader string) {
			server := NewServer(ServerOptions{})
			Handle(server, func(context.Context, string, *question) (*reply, error) { return nil, given })
			address := serve(server)
			_, err := Call[question, reply](ctx, newTestClient(ClientOptions{}), address, &question{})
			var got *failure.Error
			Expect(errors.As(err, &got)).To(BeTrue())
			Expect(*got).To(Equal(failure.Error{Kind: kind, Message: message, Leader: leader}))
		},
		Entry("a kind and a message", failure.New(failure.Gone, "no such job"), failure.Gone, "no such job", ""),
		Entry("a leader's address", &failure.Error{Kind: failure.NotLeader, Message: "not here", Leader: "10.0.0.1:7400"},
			failure.NotLeader, "not here", "10.0.0.1:7400"),
		Entry("a wrapped error, whose context is not sent", errors.Wrap(failure.New(failure.Stale, "old"), "while"),
			failure.Stale, "old", ""),
		Entry("an error without a kind, which counts as UnknownOutcome", errors.New("disk on fire"),
			failure.UnknownOutcome, "disk on fire", ""),
	)

	It("whose request type has no handler fail with Unavailable and do not affect the next call", func() {
		server := NewServer(ServerOptions{})
		Handle(server, func(_ context.Context, _ string, q *question) (*reply, error) { return &reply{Text: q.Text}, nil })
		address := serve(server)
		client := newTestClient(ClientOptions{})
		_, err := Call[notice, reply](ctx, client, address, &notice{Text: "x", Inner: inner{Values: []int{1}}})
		Expect(failure.KindOf(err)).To(Equal(failure.Unavailable))
		Expect(err.Error()).To(ContainSubstring("transport.notice"))
		response, err := Call[question, reply](ctx, client, address, &question{Text: "next"})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Text).To(Equal("next"))
	})

	It("that are answered with another type fail with UnknownOutcome and do not affect the next call", func() {
		server := NewServer(ServerOptions{})
		Handle(server, func(context.Context, string, *question) (*notice, error) { return &notice{Text: "x"}, nil })
		Handle(server, func(context.Context, string, *nothing) (*reply, error) { return &reply{Text: "fine"}, nil })
		address := serve(server)
		client := newTestClient(ClientOptions{})
		_, err := Call[question, reply](ctx, client, address, &question{})
		Expect(failure.KindOf(err)).To(Equal(failure.UnknownOutcome))
		response, err := Call[nothing, reply](ctx, client, address, &nothing{})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Text).To(Equal("fine"))
	})

	It("fail if the request or the response is too large, and the connection stays open", func() {
		server := NewServer(ServerOptions{MaxFrameBytes: 2000})
		Handle(server, func(_ context.Context, _ string, q *question) (*reply, error) {
			return &reply{Text: strings.Repeat("x", q.Number)}, nil
		})
		address := serve(server)
		dialed := 0
		client := newTestClient(ClientOptions{MaxFrameBytes: 2000, Dial: func(ctx context.Context, a string) (net.Conn, error) {
			dialed++
			return dial(ctx, a)
		}})
		_, err := Call[question, reply](ctx, client, address, &question{Text: strings.Repeat("y", 3000)})
		Expect(failure.KindOf(err)).To(Equal(failure.TooLarge))
		_, err = Call[question, reply](ctx, client, address, &question{Number: 3000})
		Expect(failure.KindOf(err)).To(Equal(failure.UnknownOutcome))
		response, err := Call[question, reply](ctx, client, address, &question{Number: 10})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Text).To(HaveLen(10))
		Expect(dialed).To(Equal(1))
	})

	It("fail with Invalid if gob cannot encode the request, and the connection stays usable", func() {
		type withPointers struct{ Inner []*inner }
		server := NewServer(ServerOptions{})
		Handle(server, func(_ context.Context, _ string, h *withPointers) (*reply, error) {
			return &reply{Inner: inner{Values: []int{len(h.Inner)}}}, nil
		})
		address := serve(server)
		client := newTestClient(ClientOptions{})
		_, err := Call[withPointers, reply](ctx, client, address, &withPointers{Inner: []*inner{nil}})
		Expect(failure.KindOf(err)).To(Equal(failure.Invalid))
		response, err := Call[withPointers, reply](ctx, client, address, &withPointers{Inner: []*inner{{Values: []int{1}}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Inner.Values).To(Equal([]int{1}))
	})

	It("fail with Unavailable while MaxHandlers handlers run", func() {
		server := NewServer(ServerOptions{MaxHandlers: 1})
		entered, release := make(chan struct{}), make(chan struct{})
		Handle(server, func(context.Context, string, *question) (*reply, error) {
			close(entered)
			<-release
			return &reply{}, nil
		})
		address := serve(server)
		client := newTestClient(ClientOptions{})
		first := make(chan error, 1)
		go func() {
			_, err := Call[question, reply](ctx, client, address, &question{})
			first <- err
		}()
		Eventually(entered).WithTimeout(soon).Should(BeClosed())
		_, err := Call[question, reply](ctx, client, address, &question{})
		Expect(failure.KindOf(err)).To(Equal(failure.Unavailable))
		close(release)
		Eventually(first).WithTimeout(soon).Should(Receive(BeNil()))
	})

	It("fail with Unavailable while MaxOutstanding calls of the connection are unanswered", func() {
		server := NewServer(ServerOptions{MaxOutstanding: 1})
		replies := make(chan func(*reply, error), 2)
		HandleAsync(server, func(_ string, _ *question, respond func(*reply, error)) { replies <- respond })
		address := serve(server)
		client := newTestClient(ClientOptions{})
		first := make(chan error, 1)
		go func() {
			_, err := Call[question, reply](ctx, client, address, &question{})
			first <- err
		}()
		var respond func(*reply, error)
		Eventually(replies).WithTimeout(soon).Should(Receive(&respond))
		_, err := Call[question, reply](ctx, client, address, &question{})
		Expect(failure.KindOf(err)).To(Equal(failure.Unavailable))
		respond(&reply{}, nil)
		Eventually(first).WithTimeout(soon).Should(Receive(BeNil()))
	})
})

var _ = Describe("One-way messages", func() {
	It("arrive in the order of sending, between calls", func() {
		server := NewServer(ServerOptions{})
		texts := make(chan string, 10)
		HandleOneWay(server, func(from string, n *notice) { texts <- from + " " + n.Text })
		Handle(server, func(context.Context, string, *notice) (*reply, error) { return &reply{Text: "called"}, nil })
		address := serve(server)
		client := newTestClient(ClientOptions{Name: "norte-1"})
		Send(client, address, &notice{Text: "a"})
		Send(client, address, &question{Text: "has no handler for messages"})
		Send(client, address, &notice{Text: "b"})
		response, err := Call[notice, reply](context.Background(), client, address, &notice{Text: "c"})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Text).To(Equal("called"))
		Expect(texts).To(HaveLen(2))
		Expect(<-texts).To(Equal("norte-1 a"))
		Expect(<-texts).To(Equal("norte-1 b"))
	})
})

var _ = Describe("Registering a handler", func() {
	It("panics if the type has one of that sort already", func() {
		server := NewServer(ServerOptions{})
		HandleOneWay(server, func(string, *notice) {})
		Expect(func() { HandleOneWay(server, func(string, *notice) {}) }).To(Panic())
		Handle(server, func(context.Context, string, *notice) (*reply, error) { return nil, nil })
		Expect(func() {
			HandleAsync(server, func(string, *notice, func(*reply, error)) {})
		}).To(Panic())
	})
})
