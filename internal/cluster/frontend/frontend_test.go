package frontend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

func TestFrontend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "frontend")
}

const (
	jobID = "5c0e7a21d94b36f8"
	// oneStep is the body of a submission of a job with one step, with a field that is unknown to the frontend.
	oneStep = `{"spec":"x","steps":[{"count":2,"cpu":500}],"unknown":{"a":1}}`
)

// fakeDirectory is a Directory in which the test sets the age of the newest confirmation.
type fakeDirectory struct {
	mutex     sync.Mutex
	age       time.Duration // age of the newest confirmation
	refreshes int           // calls of Refresh
	onRefresh func()        // called by Refresh; nil: no call
}

// Fresh reports whether the age that the test has set is at most within.
func (d *fakeDirectory) Fresh(within time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.age <= within
}

// ConfirmedSince reports whether the age that the test has set is 0. It ignores the time.
func (d *fakeDirectory) ConfirmedSince(time.Time) bool { return d.Fresh(0) }

// Refresh calls onRefresh.
func (d *fakeDirectory) Refresh() {
	d.mutex.Lock()
	d.refreshes++
	onRefresh := d.onRefresh
	d.mutex.Unlock()
	if onRefresh != nil {
		onRefresh()
	}
}

func (d *fakeDirectory) setAge(age time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.age = age
}

// fakeOwners responds to calls by functions that the test sets, and logs the calls.
type fakeOwners struct {
	mutex   sync.Mutex
	log     []string // kind and shard of each call, such as "submit 1"
	submit  func(ctx context.Context, r *protocol.SubmitRequest) error
	fence   func(ctx context.Context, r *protocol.FenceRequest) (bool, error)
	status  func(ctx context.Context, r *protocol.StatusRequest) (string, error)
	cancel  func(ctx context.Context, r *protocol.CancelRequest) error
	pending func(ctx context.Context, r *protocol.PendingRequest) (int, error)
}

// record adds a call to the log.
func (o *fakeOwners) record(kind string, shard protocol.ShardID) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.log = append(o.log, kind+" "+string(rune('0'+shard)))
}

// calls returns a copy of the log.
func (o *fakeOwners) calls() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]string{}, o.log...)
}

func (o *fakeOwners) Submit(ctx context.Context, r *protocol.SubmitRequest) (*protocol.SubmitResponse, error) {
	o.record("submit", r.Shard)
	if err := o.submit(ctx, r); err != nil {
		return nil, err
	}
	return &protocol.SubmitResponse{}, nil
}

func (o *fakeOwners) Fence(ctx context.Context, r *protocol.FenceRequest) (*protocol.FenceResponse, error) {
	o.record("fence", r.Shard)
	has, err := o.fence(ctx, r)
	if err != nil {
		return nil, err
	}
	return &protocol.FenceResponse{HasJob: has}, nil
}

func (o *fakeOwners) Status(ctx context.Context, r *protocol.StatusRequest) (*protocol.StatusResponse, error) {
	o.record("status", r.Shard)
	state, err := o.status(ctx, r)
	if err != nil {
		return nil, err
	}
	return &protocol.StatusResponse{State: protocol.JobState(state)}, nil
}

func (o *fakeOwners) Cancel(ctx context.Context, r *protocol.CancelRequest) (*protocol.CancelResponse, error) {
	o.record("cancel", r.Shard)
	if err := o.cancel(ctx, r); err != nil {
		return nil, err
	}
	return &protocol.CancelResponse{}, nil
}

func (o *fakeOwners) Pending(ctx context.Context, r *protocol.PendingRequest) (*protocol.PendingResponse, error) {
	o.record("pending", r.Shard)
	count, err := o.pending(ctx, r)
	if err != nil {
		return nil, err
	}
	return &protocol.PendingResponse{Pending: count}, nil
}

// fakeTable is a Table with the routes of the host ficu95.example, by path prefix.
type fakeTable map[string]*Route

func (t fakeTable) Lookup(host, path string) (*Route, string, bool) {
	if host != "ficu95.example" {
		return nil, "", false
	}
	best := ""
	for prefix := range t {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(best) {
			best = prefix
		}
	}
	if best == "" {
		return nil, "", false
	}
	return t[best], path[len(best):], true
}

// route returns the route of a queue. The first shard is the current one.
func route(prefix string, shards ...protocol.ShardID) *Route {
	return &Route{
		Queue:   protocol.Queue{Key: "ficu95.example" + prefix, Service: "huvo11a", MaxAttempts: 3},
		Timeout: 3 * time.Second,
		Shards:  shards,
	}
}

// view returns a view with a low limit for bodies.
func view(version uint64, routes map[string]*Route) *View {
	return &View{Version: version, Table: fakeTable(routes), Limits: Limits{MaxBodyBytes: 1000}}
}

// fixture is a Service with fakes. The queue /a/ belongs to shard 1. The queue /b/ belongs to shard 2, and earlier
// belonged to shards 3 and 4.
type fixture struct {
	directory *fakeDirectory
	owners    *fakeOwners
	views     *Views
	clock     *clockwork.FakeClock
	service   *Service
}

func newFixture() *fixture {
	b := &fixture{
		directory: &fakeDirectory{},
		owners: &fakeOwners{
			submit:  func(context.Context, *protocol.SubmitRequest) error { return nil },
			fence:   func(context.Context, *protocol.FenceRequest) (bool, error) { return false, nil },
			status:  func(context.Context, *protocol.StatusRequest) (string, error) { return protocol.JobRunning, nil },
			cancel:  func(context.Context, *protocol.CancelRequest) error { return nil },
			pending: func(context.Context, *protocol.PendingRequest) (int, error) { return 4, nil },
		},
		views: NewViews(),
		clock: clockwork.NewFakeClock(),
	}
	b.views.Set(view(7, map[string]*Route{"/a/": route("/a/", 1), "/b/": route("/b/", 2, 3, 4)}))
	b.service = NewService(Options{Directory: b.directory, Owners: b.owners, Views: b.views, Clock: b.clock,
		Bounds: Bounds{ConfigApply: 2 * time.Second, MaxSkew: 5 * time.Second}})
	return b
}

// request returns a client's request to the host of fakeTable.
func request(method, path, body string) *http.Request {
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	r.Host = "ficu95.example"
	r.Header.Set("Content-Type", "application/json")
	return r
}

// do serves r and returns the response.
func (b *fixture) do(r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	b.service.ServeHTTP(w, r)
	return w
}

// serve serves r in a goroutine and sends the response to the returned channel.
func (b *fixture) serve(r *http.Request) <-chan *httptest.ResponseRecorder {
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() { answered <- b.do(r) }()
	return answered
}

// awaitTimers waits until the fake clock has n timers.
func (b *fixture) awaitTimers(n int) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Expect(b.clock.BlockUntilContext(ctx, n)).To(Succeed())
}

// kind returns an error of kind k.
func kind(k failure.Kind) error { return failure.New(k, "as scripted") }
