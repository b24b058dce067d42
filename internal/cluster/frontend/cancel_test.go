package frontend

import (
	"context"
	"net/http/httptest"
	"reflect"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Addresses of control processes in tests in which the owner of a shard changes.
const (
	addressBefore = "10.0.0.1:7380" // address of the owner that has become unresponsive
	addressAfter  = "10.0.0.5:7380" // address of its successor
)

// controlAddresses are the addresses of all control processes.
var controlAddresses = []string{addressBefore, "10.0.0.2:7380", "10.0.0.3:7380", "10.0.0.4:7380", addressAfter}

// staleHintTime is how long the other control processes still name the unresponsive process as the owner.
const staleHintTime = 320 * time.Millisecond

// changingOwner is a directory.Caller for one shard. The shard's first owner, at addressBefore, doesn't respond to calls. A
// successor owns the shard from the time elected.
type changingOwner struct {
	clock             clockwork.Clock
	unresponsiveSince time.Time
	elected           time.Time

	mutex sync.Mutex
	calls int
}

var _ directory.Caller = (*changingOwner)(nil)

// Do answers a call as the process at address would.
func (o *changingOwner) Do(ctx context.Context, address string, request, response any) error {
	o.mutex.Lock()
	o.calls++
	elected := o.elected
	o.mutex.Unlock()
	switch {
	case address == addressBefore:
		<-ctx.Done()
		return failure.New(failure.UnknownOutcome, "no response")
	case o.clock.Since(o.unresponsiveSince) < staleHintTime:
		return &failure.Error{Kind: failure.NotLeader, Message: "not here", Leader: addressBefore}
	case o.clock.Now().Before(elected):
		return failure.New(failure.NotLeader, "an election is under way")
	case address != addressAfter:
		return &failure.Error{Kind: failure.NotLeader, Message: "not here", Leader: addressAfter}
	}
	Expect(reflect.TypeOf(request)).To(Equal(reflect.TypeFor[*protocol.CancelRequest]()))
	return nil
}

// count returns the number of calls.
func (o *changingOwner) count() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.calls
}

// elect makes the successor the owner from now on.
func (o *changingOwner) elect() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.elected = o.clock.Now()
}

// DoLong is Do.
func (o *changingOwner) DoLong(ctx context.Context, address string, request, response any) error {
	return o.Do(ctx, address, request, response)
}

var _ = DescribeTable("a cancellation while the owner of its shard changes is answered in time",
	func(electedAfter, within time.Duration, status int) {
		b := newFixture()
		owner := &changingOwner{clock: b.clock, unresponsiveSince: b.clock.Now(), elected: b.clock.Now().Add(electedAfter)}
		known := directory.New(directory.Options{Client: owner, Seeds: controlAddresses, Clock: b.clock})
		b.service.Owners = owners{known}
		began := b.clock.Now()
		answered := b.serve(request("DELETE", "/a/"+jobID, ""))
		Eventually(owner.count).Should(BeNumerically(">=", 1)) // the request's time has begun
		var w *httptest.ResponseRecorder
		Eventually(func() bool {
			select {
			case w = <-answered:
				return true
			default:
				if b.clock.Since(began) < within {
					b.clock.Advance(10 * time.Millisecond)
				}
				return false
			}
		}).WithTimeout(10 * time.Second).WithPolling(2 * time.Millisecond).Should(BeTrue())
		Expect(w.Code).To(Equal(status), w.Body.String())
		Expect(owner.count()).To(BeNumerically("<", 20), "the directory pauses between two calls")

		owner.elect()
		Expect(awaitResponse(b, b.serve(request("DELETE", "/a/"+jobID, ""))).Code).To(Equal(200), "a repeated cancellation succeeds")
	},
	Entry("with 200 if the successor is elected before an attempt times out", 400*time.Millisecond, maxQueryTime, 200),
	Entry("with 200 if the successor is elected after the first attempt", 700*time.Millisecond, maxQueryTime, 200),
	Entry("with 200 if the election takes longer", time.Second, maxQueryTime, 200),
	Entry("with 504 if there is no successor in time, as the outcome is unknown", time.Hour, maxQueryTime, 504),
)

// awaitResponse advances the fake clock until the response arrives, and returns it.
func awaitResponse(b *fixture, answered <-chan *httptest.ResponseRecorder) *httptest.ResponseRecorder {
	GinkgoHelper()
	var w *httptest.ResponseRecorder
	Eventually(func() bool {
		select {
		case w = <-answered:
			return true
		default:
			b.clock.Advance(10 * time.Millisecond)
			return false
		}
	}).WithTimeout(10 * time.Second).WithPolling(2 * time.Millisecond).Should(BeTrue())
	return w
}
