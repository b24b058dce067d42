package administration_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/transport"
)

// fakeControl is a control process. It answers a ReportRequest with report, and every other request with the result of
// respond.
type fakeControl struct {
	address string
	report  administration.Report
	respond func(request any) (any, error)

	mutex    sync.Mutex
	received []any // all requests but ReportRequests
}

// newFakeControl starts a fake that serves until the test ends.
func newFakeControl() *fakeControl {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fakeControl{address: listener.Addr().String()}
	server := transport.NewServer(transport.ServerOptions{})
	handle[administration.ReportRequest, administration.Report](server, f)
	handle[administration.RunnersRequest, administration.RunnersResponse](server, f)
	handle[administration.JobsRequest, administration.JobsResponse](server, f)
	handle[administration.SnapshotRequest, administration.SnapshotResponse](server, f)
	handle[administration.DigestRequest, administration.DigestResponse](server, f)
	handle[administration.ResignRequest, administration.ResignResponse](server, f)
	handle[protocol.SubmitRequest, protocol.SubmitResponse](server, f)
	handle[protocol.FenceRequest, protocol.FenceResponse](server, f)
	handle[protocol.StatusRequest, protocol.StatusResponse](server, f)
	handle[protocol.CancelRequest, protocol.CancelResponse](server, f)
	handle[protocol.WatchRequest, protocol.WatchResponse](server, f)
	handle[protocol.ConfigureRequest, protocol.ConfigureResponse](server, f)
	handle[protocol.ReadConfigurationRequest, protocol.ReadConfigurationResponse](server, f)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	DeferCleanup(func() {
		stop()
		server.Close()
		Eventually(served).WithTimeout(callTimeout).Should(Receive(BeNil()))
	})
	return f
}

// handle has the fake serve requests of one type. A response of the wrong type becomes an error.
func handle[Request, Response any](server *transport.Server, f *fakeControl) {
	transport.HandleAsync(server, func(_ string, request *Request, reply func(*Response, error)) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if report, ok := any(&f.report).(*Response); ok {
			reply(report, nil)
			return
		}
		f.received = append(f.received, *request)
		result, err := f.respond(*request)
		if err != nil {
			reply(nil, err)
			return
		}
		response, ok := result.(*Response)
		if !ok {
			err = fmt.Errorf("%T is not a response to %T", result, request)
		}
		reply(response, err)
	})
}

// requests returns the received requests, without ReportRequests.
func (f *fakeControl) requests() []any {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.received
}

// requestsOf returns the received requests of one type.
func requestsOf[Request any](f *fakeControl) []Request {
	var found []Request
	for _, each := range f.requests() {
		if request, ok := each.(Request); ok {
			found = append(found, request)
		}
	}
	return found
}

// dial returns a client that is closed when the test ends.
func dial(addresses ...string) *administration.Client {
	client, err := administration.Dial(addresses)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client
}

// within returns a context that ends after span.
func within(span time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	DeferCleanup(cancel)
	return ctx
}

// callTimeout bounds calls that should succeed.
const callTimeout = 30 * time.Second

// watchResponse returns the response to a new follower after a sequence of complete configurations was applied.
func watchResponse(bodies ...string) *protocol.WatchResponse {
	state := configuration.NewState()
	for _, body := range bodies {
		result := state.Execute(configuration.Command{
			Kind: protocol.ConfigurationReplace, Base: state.Document().Version(), Body: []byte(body),
		})
		Expect(result.Err()).NotTo(HaveOccurred())
	}
	feed, err := state.Since(0, false)
	Expect(err).NotTo(HaveOccurred())
	return &protocol.WatchResponse{Version: state.Document().Version(), Configuration: feed}
}

// configurationWith returns a configuration with the queue h/p/ of a service.
func configurationWith(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":9,"priority":1,"service":%q,`+
		`"maxAttempts":3,"extension":2,"targetLatencyMs":7}],"services":[{"name":%q}]}`, version, service, service)
}

// servicesOfTwoShards returns two services that belong to different shards.
func servicesOfTwoShards() (first, second string) {
	first = "s0"
	for i := 1; ; i++ {
		second = fmt.Sprintf("s%d", i)
		if protocol.ShardOf(second) != protocol.ShardOf(first) {
			return first, second
		}
	}
}
