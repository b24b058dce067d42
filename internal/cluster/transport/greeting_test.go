package transport

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

type greetedRequest struct{ Number int }

type greetedResponse struct{ Number int }

var _ = Describe("A client of a process that is slow to send its greeting", func() {
	It("waits for the greeting as long as GreetingTimeout allows", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		impatient := NewClient(ClientOptions{GreetingTimeout: 10 * time.Millisecond})
		patient := NewClient(ClientOptions{GreetingTimeout: time.Minute, ProbeInterval: time.Minute})
		DeferCleanup(impatient.Close)
		DeferCleanup(patient.Close)

		ended := make(chan error, 1)
		go func() {
			response, err := Call[greetedRequest, greetedResponse](ctx, patient, address, &greetedRequest{Number: 3})
			if err == nil && response.Number != 3 {
				err = failure.New(failure.Invalid, "the response has another number")
			}
			ended <- err
		}()
		_, err = Call[greetedRequest, greetedResponse](ctx, impatient, address, &greetedRequest{Number: 2})
		Expect(failure.KindOf(err)).To(Or(Equal(failure.Unavailable), Equal(failure.UnknownOutcome)))

		server := NewServer(ServerOptions{})
		Handle(server, func(_ context.Context, _ string, request *greetedRequest) (*greetedResponse, error) {
			return &greetedResponse{Number: request.Number}, nil
		})
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, listener) }()
		DeferCleanup(func() {
			server.Close()
			Eventually(served).WithTimeout(soon).Should(Receive(BeNil()))
		})
		Eventually(ctx, ended).Should(Receive(BeNil()))
	}, NodeTimeout(time.Minute))
})
