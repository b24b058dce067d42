package agent

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("a shutdown of the agent's server", func() {
	It("waits for the response to an exchange in flight", func() {
		b := newFixture("huvo11a")
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		ended := make(chan error, 1)
		go func() { ended <- serve(ctx, listener, b.service) }()
		status := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			response, err := http.Post("http://"+listener.Addr().String()+"/v1/instances/i/heartbeat", "application/json",
				strings.NewReader(`{"service":"huvo11a"}`))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			status <- response.StatusCode
		}()
		e := b.nextAttempt()
		stop()
		Consistently(ended, 30*time.Millisecond).ShouldNot(Receive())
		e.reply <- result{orders: protocol.Orders{LastSeen: 1}}
		Eventually(status).Should(Receive(Equal(200)))
		Eventually(ended, 5*time.Second).Should(Receive(BeNil()))
	})
})
