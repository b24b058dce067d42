package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// fakeOwner is an OwnerCaller that records the changes. Its calls fail with err, if it is set.
type fakeOwner struct {
	err     error
	changes []*protocol.ConfigureRequest
	timeout time.Duration // time from the last call to the deadline of its context
	block   chan struct{} // if set, calls block until it is closed
	entered chan struct{} // if set, each call sends a value when it starts
}

// enter records the timeout of a call, blocks the call if block is set, and returns err.
func (o *fakeOwner) enter(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		o.timeout = time.Until(end)
	}
	if o.entered != nil {
		o.entered <- struct{}{}
	}
	if o.block != nil {
		<-o.block
	}
	return o.err
}

func (o *fakeOwner) Configure(ctx context.Context, request *protocol.ConfigureRequest) (*protocol.ConfigureResponse, error) {
	if o.block == nil {
		o.changes = append(o.changes, request)
	}
	if err := o.enter(ctx); err != nil {
		return nil, err
	}
	return &protocol.ConfigureResponse{Version: 7}, nil
}

func (o *fakeOwner) ReadConfiguration(ctx context.Context, _ *protocol.ReadConfigurationRequest) (*protocol.ReadConfigurationResponse, error) {
	if err := o.enter(ctx); err != nil {
		return nil, err
	}
	return &protocol.ReadConfigurationResponse{Version: 7, Body: []byte(`{"version":7}`)}, nil
}

// serveRequest sends a request to a handler. base is the header of the base version; empty: no header.
func serveRequest(handler http.Handler, method, path, base, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(GinkgoT().Context(), method, path, strings.NewReader(body))
	if base != "" {
		request.Header.Set(baseVersionHeader, base)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

var _ = DescribeTable("The operator's interface responds with the right status to",
	func(method, path, base, body string, err error, status int, retry bool, calls int) {
		owner := &fakeOwner{err: err}
		response := serveRequest(NewOperator(owner, log.NewNopLogger()), method, path, base, body)
		Expect(response.Code).To(Equal(status), response.Body.String())
		Expect(response.Header().Get("Retry-After") != "").To(Equal(retry))
		Expect(owner.changes).To(HaveLen(calls))
		if status != http.StatusOK && status != http.StatusNotFound && status != http.StatusMethodNotAllowed {
			Expect(response.Body.String()).To(ContainSubstring(`"error":`))
		}
	},
	Entry("a replacement that is applied", "POST", "/v1/configuration/replace", "5", `{"version":7}`, nil, 200, false, 1),
	Entry("an update that is applied", "POST", "/v1/configuration/update", "5", `{"version":7}`, nil, 200, false, 1),
	Entry("a change to the first version", "POST", "/v1/configuration/replace", "0", `{"version":7}`, nil, 200, false, 1),
	Entry("a change of which the owner says that another version is current", "POST", "/v1/configuration/replace", "5", `{}`, failure.New(failure.Conflict, ""), 412, false, 1),
	Entry("a change that the owner rejects as invalid", "POST", "/v1/configuration/replace", "5", `{}`, failure.New(failure.Invalid, ""), 400, false, 1),
	Entry("a change for which no owner can be reached", "POST", "/v1/configuration/replace", "5", `{}`, failure.New(failure.Unavailable, ""), 503, true, 1),
	Entry("a change that was sent to a process that is not the owner", "POST", "/v1/configuration/replace", "5", `{}`, failure.New(failure.NotLeader, ""), 503, true, 1),
	Entry("a change with an unknown outcome", "POST", "/v1/configuration/replace", "5", `{}`, failure.New(failure.UnknownOutcome, ""), 504, false, 1),
	Entry("a change that failed with an error without a kind", "POST", "/v1/configuration/update", "5", `{}`, errors.New("?"), 504, false, 1),
	Entry("a change that exceeded its deadline", "POST", "/v1/configuration/update", "5", `{}`, context.DeadlineExceeded, 504, false, 1),
	Entry("a change without a base version", "POST", "/v1/configuration/replace", "", `{}`, nil, 400, false, 0),
	Entry("a change with a base version that is not a number", "POST", "/v1/configuration/replace", "five", `{}`, nil, 400, false, 0),
	Entry("a change with a negative base version", "POST", "/v1/configuration/replace", "-1", `{}`, nil, 400, false, 0),
	Entry("a change with a truncated body", "POST", "/v1/configuration/replace", "5", `{"version":7`, nil, 400, false, 0),
	Entry("a change with bytes after the document", "POST", "/v1/configuration/update", "5", `{"version":7}}`, nil, 400, false, 0),
	Entry("a change with an empty body", "POST", "/v1/configuration/update", "5", ``, nil, 400, false, 0),
	Entry("a change with a body that is too large", "POST", "/v1/configuration/replace", "5", strings.Repeat(" ", maxChangeBytes+1), nil, 413, false, 0),
	Entry("a read", "GET", "/v1/configuration/read", "", "", nil, 200, false, 0),
	Entry("a read for which no owner can be reached", "GET", "/v1/configuration/read", "", "", failure.New(failure.Unavailable, ""), 503, true, 0),
	Entry("a read with an unknown outcome", "GET", "/v1/configuration/read", "", "", failure.New(failure.UnknownOutcome, ""), 503, true, 0),
	Entry("a request for the readiness", "GET", "/v1/readiness", "", "", nil, 200, false, 0),
	Entry("a request with an unsupported method", "GET", "/v1/configuration/replace", "5", "", nil, 405, false, 0),
	Entry("a request for an unknown path", "POST", "/v1/configuration/erase", "5", `{}`, nil, 404, false, 0),
	Entry("a request for the root path", "GET", "/", "", "", nil, 404, false, 0),
	Entry("a heartbeat without a handler of heartbeats", "POST", "/v1/instances/i-1/heartbeat", "", `{}`, nil, 404, false, 0),
)

// brokenBody is a body that fails to arrive, as when the connection is aborted.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

var _ = Describe("The operator's interface", func() {
	It("passes a change to the owner unchanged", func() {
		owner := &fakeOwner{}
		body := " {\"version\": 7}\n"
		response := serveRequest(NewOperator(owner, log.NewNopLogger()), "POST", "/v1/configuration/update", "5", body)
		Expect(owner.changes).To(ConsistOf(&protocol.ConfigureRequest{Kind: protocol.ConfigurationUpdate, Base: 5, Body: []byte(body)}))
		Expect(response.Body.String()).To(MatchJSON(`{"version":7}`))
		Expect(response.Header().Get("Content-Type")).To(Equal("application/json"))
	})

	It("returns the configuration as the owner returned it", func() {
		response := serveRequest(NewOperator(&fakeOwner{}, log.NewNopLogger()), "GET", "/v1/configuration/read", "", "")
		Expect(response.Body.String()).To(Equal(`{"version":7}`))
		Expect(response.Header().Get("Content-Type")).To(Equal("application/json"))
	})

	It("accepts a body of unknown length unless it is too large", func() {
		for status, body := range map[int]string{200: `{"version":7}`, 413: strings.Repeat(" ", maxChangeBytes+1)} {
			request := httptest.NewRequestWithContext(GinkgoT().Context(), "POST", "/v1/configuration/update", io.MultiReader(strings.NewReader(body)))
			request.ContentLength = -1
			request.Header.Set(baseVersionHeader, "5")
			recorder := httptest.NewRecorder()
			NewOperator(&fakeOwner{}, log.NewNopLogger()).ServeHTTP(recorder, request)
			Expect(recorder.Code).To(Equal(status))
		}
	})

	It("asks for a retry, instead of reporting an invalid change, if the body did not arrive", func() {
		request := httptest.NewRequestWithContext(GinkgoT().Context(), "POST", "/v1/configuration/update", brokenBody{})
		request.ContentLength = 100
		request.Header.Set(baseVersionHeader, "5")
		recorder := httptest.NewRecorder()
		owner := &fakeOwner{}
		NewOperator(owner, log.NewNopLogger()).ServeHTTP(recorder, request)
		Expect(recorder.Code).To(Equal(503))
		Expect(owner.changes).To(BeEmpty())
	})

	It("gives a large change a longer timeout", func() {
		owner := &fakeOwner{}
		operator := NewOperator(owner, log.NewNopLogger())
		serveRequest(operator, "POST", "/v1/configuration/update", "5", `{"version":7}`)
		Expect(owner.timeout).To(BeNumerically("~", operatorTimeout, 100*time.Millisecond))
		serveRequest(operator, "POST", "/v1/configuration/update", "5", fmt.Sprintf(`{"version":7,"text":"%04000000d"}`, 1))
		Expect(owner.timeout).To(BeNumerically(">", operatorTimeout+time.Second))
		serveRequest(operator, "GET", "/v1/configuration/read", "", "")
		Expect(owner.timeout).To(BeNumerically("~", operatorTimeout, 100*time.Millisecond))
	})

	It("rejects requests at once while too many are being served", func() {
		owner := &fakeOwner{block: make(chan struct{}), entered: make(chan struct{})}
		operator := NewOperator(owner, log.NewNopLogger())
		ended := make(chan int, maxOperatorRequests)
		for range maxOperatorRequests {
			go func() { ended <- serveRequest(operator, "POST", "/v1/configuration/update", "5", `{}`).Code }()
			<-owner.entered
		}
		rejected := serveRequest(operator, "POST", "/v1/configuration/update", "5", `{}`)
		Expect(rejected.Code).To(Equal(503))
		Expect(rejected.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(serveRequest(operator, "GET", "/v1/readiness", "", "").Code).To(Equal(200))
		close(owner.block)
		for range maxOperatorRequests {
			Expect(<-ended).To(Equal(200))
		}
	})

	It("serves heartbeats if it has a handler for them", func() {
		operator := NewOperator(&fakeOwner{}, log.NewNopLogger())
		operator.Heartbeats = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.WriteString(writer, request.URL.Path)
		})
		response := serveRequest(operator, "POST", "/v1/instances/i-1/heartbeat", "", `{}`)
		Expect(response.Code).To(Equal(200))
		Expect(response.Body.String()).To(Equal("/v1/instances/i-1/heartbeat"))
	})
})
