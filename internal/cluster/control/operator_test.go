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

// fakeOwner answers as it was told, and keeps what it was asked.
type fakeOwner struct {
	err      error
	orders   []*protocol.ConfigureRequest
	deadline time.Duration // time that the last call was given
	hold     chan struct{} // if set, a call waits until it is closed
	entered  chan struct{} // if set, told of each call
}

func (o *fakeOwner) take(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		o.deadline = time.Until(end)
	}
	if o.entered != nil {
		o.entered <- struct{}{}
	}
	if o.hold != nil {
		<-o.hold
	}
	return o.err
}

func (o *fakeOwner) Configure(ctx context.Context, request *protocol.ConfigureRequest) (*protocol.ConfigureResponse, error) {
	if o.hold == nil {
		o.orders = append(o.orders, request)
	}
	if err := o.take(ctx); err != nil {
		return nil, err
	}
	return &protocol.ConfigureResponse{Version: 7}, nil
}

func (o *fakeOwner) ReadConfiguration(ctx context.Context, _ *protocol.ReadConfigurationRequest) (*protocol.ReadConfigurationResponse, error) {
	if err := o.take(ctx); err != nil {
		return nil, err
	}
	return &protocol.ReadConfigurationResponse{Version: 7, Body: []byte(`{"version":7}`)}, nil
}

func ask(handler http.Handler, method, path, base, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if base != "" {
		request.Header.Set(baseVersionHeader, base)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

var _ = DescribeTable("what the operator is told",
	func(method, path, base, body string, err error, status int, retry bool, calls int) {
		owner := &fakeOwner{err: err}
		response := ask(NewOperator(owner, log.NewNopLogger()), method, path, base, body)
		Expect(response.Code).To(Equal(status), response.Body.String())
		Expect(response.Header().Get("Retry-After") != "").To(Equal(retry))
		Expect(owner.orders).To(HaveLen(calls))
		if status != http.StatusOK && status != http.StatusNotFound && status != http.StatusMethodNotAllowed {
			Expect(response.Body.String()).To(ContainSubstring(`"error":`))
		}
	},
	Entry("a replacement taken", "POST", "/v1/configuration/replace", "5", `{"version":7}`, nil, 200, false, 1),
	Entry("an update taken", "POST", "/v1/configuration/update", "5", `{"version":7}`, nil, 200, false, 1),
	Entry("the first", "POST", "/v1/configuration/replace", "0", `{"version":7}`, nil, 200, false, 1),
	Entry("another version is current", "POST", "/v1/configuration/replace", "5", `{}`, failure.New(failure.Conflict, ""), 412, false, 1),
	Entry("invalid by the owner", "POST", "/v1/configuration/replace", "5", `{}`, failure.New(failure.Invalid, ""), 400, false, 1),
	Entry("no owner, nothing done", "POST", "/v1/configuration/replace", "5", `{}`, failure.New(failure.Unavailable, ""), 503, true, 1),
	Entry("not the owner", "POST", "/v1/configuration/replace", "5", `{}`, failure.New(failure.NotLeader, ""), 503, true, 1),
	Entry("in doubt", "POST", "/v1/configuration/replace", "5", `{}`, failure.New(failure.UnknownOutcome, ""), 504, false, 1),
	Entry("an error without a kind", "POST", "/v1/configuration/update", "5", `{}`, errors.New("?"), 504, false, 1),
	Entry("out of time", "POST", "/v1/configuration/update", "5", `{}`, context.DeadlineExceeded, 504, false, 1),
	Entry("no base", "POST", "/v1/configuration/replace", "", `{}`, nil, 400, false, 0),
	Entry("a base that is no number", "POST", "/v1/configuration/replace", "five", `{}`, nil, 400, false, 0),
	Entry("a base below 0", "POST", "/v1/configuration/replace", "-1", `{}`, nil, 400, false, 0),
	Entry("cut short", "POST", "/v1/configuration/replace", "5", `{"version":7`, nil, 400, false, 0),
	Entry("with bytes behind it", "POST", "/v1/configuration/update", "5", `{"version":7}}`, nil, 400, false, 0),
	Entry("empty", "POST", "/v1/configuration/update", "5", ``, nil, 400, false, 0),
	Entry("too large", "POST", "/v1/configuration/replace", "5", strings.Repeat(" ", operatorBodyBytes+1), nil, 413, false, 0),
	Entry("a reading", "GET", "/v1/configuration/read", "", "", nil, 200, false, 0),
	Entry("a reading without an owner", "GET", "/v1/configuration/read", "", "", failure.New(failure.Unavailable, ""), 503, true, 0),
	Entry("a reading without an answer", "GET", "/v1/configuration/read", "", "", failure.New(failure.UnknownOutcome, ""), 503, true, 0),
	Entry("readiness", "GET", "/v1/readiness", "", "", nil, 200, false, 0),
	Entry("another method", "GET", "/v1/configuration/replace", "5", "", nil, 405, false, 0),
	Entry("another path", "POST", "/v1/configuration/erase", "5", `{}`, nil, 404, false, 0),
	Entry("the root", "GET", "/", "", "", nil, 404, false, 0),
	Entry("heartbeats where there are none", "POST", "/v1/instances/i-1/heartbeat", "", `{}`, nil, 404, false, 0),
)

// brokenBody ends in the middle, as a cut connection does.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

var _ = Describe("the operator's interface", func() {
	It("passes an order on as it came", func() {
		owner := &fakeOwner{}
		body := " {\"version\": 7}\n"
		response := ask(NewOperator(owner, log.NewNopLogger()), "POST", "/v1/configuration/update", "5", body)
		Expect(owner.orders).To(ConsistOf(&protocol.ConfigureRequest{Kind: protocol.ConfigurationUpdate, Base: 5, Body: []byte(body)}))
		Expect(response.Body.String()).To(MatchJSON(`{"version":7}`))
		Expect(response.Header().Get("Content-Type")).To(Equal("application/json"))
	})

	It("gives the configuration back as the owner has it", func() {
		response := ask(NewOperator(&fakeOwner{}, log.NewNopLogger()), "GET", "/v1/configuration/read", "", "")
		Expect(response.Body.String()).To(Equal(`{"version":7}`))
		Expect(response.Header().Get("Content-Type")).To(Equal("application/json"))
	})

	It("takes a body of unknown length, and refuses a long one", func() {
		for status, body := range map[int]string{200: `{"version":7}`, 413: strings.Repeat(" ", operatorBodyBytes+1)} {
			request := httptest.NewRequest("POST", "/v1/configuration/update", io.MultiReader(strings.NewReader(body)))
			request.ContentLength = -1
			request.Header.Set(baseVersionHeader, "5")
			recorder := httptest.NewRecorder()
			NewOperator(&fakeOwner{}, log.NewNopLogger()).ServeHTTP(recorder, request)
			Expect(recorder.Code).To(Equal(status))
		}
	})

	It("does not call an order wrong whose body did not arrive", func() {
		request := httptest.NewRequest("POST", "/v1/configuration/update", brokenBody{})
		request.ContentLength = 100
		request.Header.Set(baseVersionHeader, "5")
		recorder := httptest.NewRecorder()
		owner := &fakeOwner{}
		NewOperator(owner, log.NewNopLogger()).ServeHTTP(recorder, request)
		Expect(recorder.Code).To(Equal(503))
		Expect(owner.orders).To(BeEmpty())
	})

	It("gives an order its time, and a large one more", func() {
		owner := &fakeOwner{}
		operator := NewOperator(owner, log.NewNopLogger())
		ask(operator, "POST", "/v1/configuration/update", "5", `{"version":7}`)
		Expect(owner.deadline).To(BeNumerically("~", operatorTime, 100*time.Millisecond))
		ask(operator, "POST", "/v1/configuration/update", "5", fmt.Sprintf(`{"version":7,"text":"%04000000d"}`, 1))
		Expect(owner.deadline).To(BeNumerically(">", operatorTime+time.Second))
		ask(operator, "GET", "/v1/configuration/read", "", "")
		Expect(owner.deadline).To(BeNumerically("~", operatorTime, 100*time.Millisecond))
	})

	It("refuses at once what comes while too much is under way", func() {
		owner := &fakeOwner{hold: make(chan struct{}), entered: make(chan struct{})}
		operator := NewOperator(owner, log.NewNopLogger())
		ended := make(chan int, operatorOrders)
		for range operatorOrders {
			go func() { ended <- ask(operator, "POST", "/v1/configuration/update", "5", `{}`).Code }()
			<-owner.entered
		}
		refused := ask(operator, "POST", "/v1/configuration/update", "5", `{}`)
		Expect(refused.Code).To(Equal(503))
		Expect(refused.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(ask(operator, "GET", "/v1/readiness", "", "").Code).To(Equal(200))
		close(owner.hold)
		for range operatorOrders {
			Expect(<-ended).To(Equal(200))
		}
	})

	It("serves heartbeats where it is given a handler", func() {
		operator := NewOperator(&fakeOwner{}, log.NewNopLogger())
		operator.Heartbeats = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.WriteString(writer, request.URL.Path)
		})
		response := ask(operator, "POST", "/v1/instances/i-1/heartbeat", "", `{}`)
		Expect(response.Code).To(Equal(200))
		Expect(response.Body.String()).To(Equal("/v1/instances/i-1/heartbeat"))
	})
})
