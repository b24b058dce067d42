package frontend

import (
	"context"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// connectedPair returns both ends of a connection on the loopback interface.
func connectedPair() (*clientConnection, *net.TCPConn) {
	GinkgoHelper()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	client, err := new(net.Dialer).DialContext(context.Background(), "tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = client.Close() })
	server, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return newAcceptor().add(server), client.(*net.TCPConn)
}

// Guards against work that a client has withdrawn while the process stood still: the submissions that waited in sockets were
// passed on before net/http had noticed that their clients had left.
var _ = DescribeTable("a submission whose request's context has not ended yet",
	func(act func(client *net.TCPConn), leaves bool, status int, calls ...string) {
		b := newFixture()
		connection, client := connectedPair()
		act(client)
		Eventually(connection.isClosedByClient).Should(Equal(leaves))
		r := request(http.MethodPost, "/a/"+jobID, oneStep)
		w := b.do(r.WithContext(withConnection(r.Context(), connection)))
		Expect(w.Code).To(Equal(status))
		Expect(b.owners.calls()).To(HaveExactElements(calls))
	},
	Entry("is passed on if its client waits for the response", func(*net.TCPConn) {}, false, 200, "submit 1"),
	Entry("is passed on if its client has already sent its next request and closed the connection", func(client *net.TCPConn) {
		_, err := client.Write([]byte("GET"))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.CloseWrite()).To(Succeed())
	}, false, 200, "submit 1"),
	Entry("is not passed on if its client has closed the connection", func(client *net.TCPConn) {
		Expect(client.Close()).To(Succeed())
	}, true, 503),
	Entry("is not passed on if its client has reset the connection", func(client *net.TCPConn) {
		Expect(client.SetLinger(0)).To(Succeed())
		Expect(client.Close()).To(Succeed())
	}, true, 503),
)
