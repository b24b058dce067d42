package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/store/vfs/vfstest"
)

// Names of the scenario.
const (
	wokenService = "alfa"
	wokenRunner  = "i1"
	cancelledJob = "00000000000000c0" // before the owner was cut off
	runningJob   = "00000000000000a0" // handed in before that, cancelled after it
	laterJob     = "00000000000000b0" // handed in after it
	unknownJob   = "00000000000000f0"
)

// trio is three control processes that share nothing but their links, in a bubble with a time of its own.
type trio struct {
	mutex    sync.Mutex
	controls []*Control
	struck   *Control // by the trouble
	trouble  trouble
}

// trouble is what strikes one of three control processes.
type trouble struct {
	frozen   bool // until it is asked
	mute     bool // what it sends is lost from then on
	deaf     bool // what is sent to it is lost from then on
	follower bool // it is not the owner of the shard
}

var (
	cutAndFrozen = trouble{frozen: true, mute: true, deaf: true}
	frozenAlone  = trouble{frozen: true}
	cutAlone     = trouble{mute: true, deaf: true}
)

// wireOf is one process's links.
type wireOf struct {
	trio    *trio
	address string
}

const linkDelay = 1500 * time.Microsecond

// Send carries an envelope as bytes, so that nothing is shared.
func (w wireOf) Send(address string, envelope *replica.Envelope) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(envelope); err != nil {
		panic(err)
	}
	time.AfterFunc(linkDelay, func() {
		to := w.trio.reached(w.address, address)
		if to == nil {
			return
		}
		received := &replica.Envelope{}
		if err := gob.NewDecoder(&buffer).Decode(received); err != nil {
			panic(err)
		}
		to.Receive(received)
	})
}

// Do calls another process. Where a cut is between, nothing comes back.
func (w wireOf) Do(ctx context.Context, address string, request, response any) error {
	to := w.trio.reached(w.address, address)
	if to == nil {
		<-ctx.Done()
		return failure.New(failure.UnknownOutcome, "no answer")
	}
	got := handle(to, request)
	select {
	case <-ctx.Done():
		return failure.New(failure.UnknownOutcome, "no answer")
	case answered := <-got:
		if answered.err == nil {
			reflect.ValueOf(response).Elem().Set(reflect.ValueOf(answered.response).Elem())
		}
		return answered.err
	}
}

// reached is the process at an address, unless a cut is between.
func (t *trio) reached(from, address string) *Control {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, c := range t.controls {
		if c.address != address {
			continue
		}
		if t.cut(from, c) {
			return nil
		}
		return c
	}
	return nil
}

// cut tells whether what a process sends another is lost.
func (t *trio) cut(from string, to *Control) bool {
	if t.struck == nil || from == to.address {
		return false
	}
	return t.trouble.mute && t.struck.address == from || t.trouble.deaf && t.struck == to
}

// strike begins the trouble at the owner of a shard, or at another, and returns what ends its freeze.
func (t *trio) strike(shard protocol.ShardID, what trouble) (thaw func()) {
	struck := t.owner(shard)
	if what.follower {
		struck = t.controls[(slices.Index(t.controls, struck)+1)%len(t.controls)]
	}
	t.mutex.Lock()
	t.struck, t.trouble = struck, what
	t.mutex.Unlock()
	thawed := make(chan struct{})
	if what.frozen {
		struck.engine.Do(func() { <-thawed })
	}
	return func() { close(thawed) }
}

// start starts the three, and returns what ends them.
func (t *trio) start() (stop func()) {
	addresses := []string{"a", "b", "c"}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for number, address := range addresses {
		c, err := New(Options{
			Self:       consensus.Member{Node: address, Zone: "z", Address: address},
			Bootstrap:  addresses,
			Peers:      addresses,
			FileSystem: &vfstest.Mem{},
			Dir:        "data",
			Sender:     wireOf{t, address},
			Remote:     wireOf{t, address},
			Clock:      clockwork.NewRealClock(),
			Logger:     log.NewNopLogger(),
			Seed:       uint64(number),
		})
		if err != nil {
			panic(err)
		}
		t.mutex.Lock()
		t.controls = append(t.controls, c)
		t.mutex.Unlock()
		running.Go(func() { _ = c.engine.Run(ctx) })
		c.Start()
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// owner waits for the owner of a shard among those that no trouble struck.
func (t *trio) owner(shard protocol.ShardID) *Control {
	for {
		for _, c := range t.controls {
			if c != t.struck && onLoop(c, func() bool { return c.owns(shard) }) {
				return c
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *Control) owns(shard protocol.ShardID) bool {
	if shard == protocol.ConfigurationShard {
		return c.configuration.leading
	}
	return c.shards[shard].owner.Leading()
}

func onLoop[T any](c *Control, f func() T) T {
	answer := make(chan T, 1)
	c.engine.Do(func() { answer <- f() })
	return <-answer
}

// answeredAs is what came of a request.
type answeredAs struct {
	response any
	err      error
	took     time.Duration
}

func handle(c *Control, request any) <-chan answeredAs {
	answers := make(chan answeredAs, 1)
	asked := time.Now()
	c.Handle("test", request, func(response any, err error) {
		answers <- answeredAs{response, err, time.Since(asked)}
	})
	return answers
}

// must asks the owner of a shard until a request is done.
func (t *trio) must(shard protocol.ShardID, request any) {
	for tries := 0; ; tries++ {
		answered := <-handle(t.owner(shard), request)
		if answered.err == nil {
			return
		}
		if tries == 100 {
			panic(fmt.Sprintf("%T: %v", request, answered.err))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func configured(base, version uint64) *protocol.ConfigureRequest {
	body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"host","pathPrefix":"/queue/","timeoutMs":3000,"service":"%s"}],
		"services":[{"name":"%s"}]}`, version, wokenService, wokenService)
	return &protocol.ConfigureRequest{Kind: protocol.ConfigurationReplace, Base: base, Body: []byte(body)}
}

func submitted(id string, version uint64) *protocol.SubmitRequest {
	step := protocol.Step{Count: 1, CPU: 100, EstimatedMs: 500, LongRunning: true}
	return &protocol.SubmitRequest{
		Shard:                protocol.ShardOf(wokenService),
		ID:                   id,
		Queue:                protocol.Queue{Key: "host/queue/", Service: wokenService, MaxAttempts: 1},
		Job:                  protocol.JobSpec{Spec: "do", Steps: []protocol.Step{step}},
		ConfigurationVersion: version,
	}
}

// troubleTime is how long a trouble has lasted when the process is asked.
const troubleTime = 2 * time.Second

// troubledAnswers has a trouble strike a process, does what changes the state at the others, and asks it, once it is
// frozen no more. It returns the answers; none where none came.
func troubledAnswers(shard protocol.ShardID, what trouble, requests []any) (answers []*answeredAs) {
	const patience = 1500 * time.Millisecond
	jobsOf := protocol.ShardOf(wokenService)
	synctest.Test(suite, func(*testing.T) {
		t := &trio{}
		stop := t.start()
		defer stop()
		t.must(protocol.ConfigurationShard, configured(0, 3))
		t.must(jobsOf, submitted(cancelledJob, 3))
		t.must(jobsOf, &protocol.CancelRequest{Shard: jobsOf, ID: cancelledJob})
		t.must(jobsOf, submitted(runningJob, 3))

		thaw := t.strike(shard, what)
		time.Sleep(troubleTime)
		t.must(protocol.ConfigurationShard, configured(3, 5))
		t.must(jobsOf, &protocol.CancelRequest{Shard: jobsOf, ID: runningJob})
		t.must(jobsOf, submitted(laterJob, 5))

		pending := make([]<-chan answeredAs, 0, len(requests))
		for _, request := range requests {
			pending = append(pending, handle(t.struck, request))
		}
		thaw()
		time.Sleep(patience)
		for _, each := range pending {
			select {
			case answered := <-each:
				answers = append(answers, &answered)
			default:
				answers = append(answers, nil)
			}
		}
	})
	return answers
}

// quick is the longest that an answer takes.
const quick = 1200 * time.Millisecond

// question is a request to a process that may be out of date, and what may come of it.
type question struct {
	what    string
	request any
	kinds   []failure.Kind
	check   func(response any)
}

// In these kinds nothing is said of the state.
var (
	refusedUnread  = []failure.Kind{failure.NotLeader, failure.Unavailable}
	refusedOrDoubt = []failure.Kind{failure.NotLeader, failure.Unavailable, failure.UnknownOutcome}
	served         = []failure.Kind{failure.None}
	wokenShard     = protocol.ShardOf(wokenService)
	jobQuestions   = jobQuestionsOf(wokenShard)
	orderQuestions = configurationQuestions()
	everyEndpoint  = append(slices.Clone(jobQuestions), orderQuestions...)
	// notAsked do what they are asked, or answer for an index of the log, which holds for ever, or say nothing of the state.
	notAsked = []any{&protocol.PingRequest{}, &administration.ResignRequest{}, &administration.DigestRequest{}}
)

func jobQuestionsOf(shard protocol.ShardID) []question {
	beat := protocol.Heartbeat{Instance: wokenRunner, Service: wokenService, Address: "10.0.0.9:1", State: protocol.RunnerReady, Sequence: 1}
	fenceOnly := protocol.Heartbeat{Instance: wokenRunner, Service: wokenService, FenceOnly: true}
	invalid := submitted(unknownJob, 3)
	invalid.Job.Steps = nil
	return []question{
		{"a state that has changed since", &protocol.StatusRequest{Shard: shard, ID: runningJob}, refusedUnread, nil},
		{"a job that came since", &protocol.StatusRequest{Shard: shard, ID: laterJob}, refusedUnread, nil},
		{"a state that a job never leaves", &protocol.StatusRequest{Shard: shard, ID: cancelledJob}, served, func(response any) {
			Expect(response).To(Equal(&protocol.StatusResponse{State: protocol.JobCancelled}))
		}},
		{"a count", &protocol.PendingRequest{Shard: shard, Queue: "host/queue/"}, refusedUnread, nil},
		{"a hand-in", submitted(unknownJob, 3), refusedOrDoubt, nil},
		{"a hand-in of a job that is there", submitted(runningJob, 3), served, func(response any) {
			Expect(response).To(Equal(&protocol.SubmitResponse{AlreadyKnown: true}))
		}},
		{"a hand-in that can never be taken", invalid, []failure.Kind{failure.Invalid}, nil},
		{"a cancel", &protocol.CancelRequest{Shard: shard, ID: runningJob}, refusedOrDoubt, nil},
		{"a cancel of a job that came since", &protocol.CancelRequest{Shard: shard, ID: laterJob}, refusedOrDoubt, nil},
		{"a fence", &protocol.FenceRequest{Shard: shard, ID: laterJob, ConfigurationVersion: 5}, refusedOrDoubt, nil},
		{"a fence of a job that is there", &protocol.FenceRequest{Shard: shard, ID: runningJob}, served, func(response any) {
			Expect(response).To(Equal(&protocol.FenceResponse{HasJob: true}))
		}},
		{"a heartbeat", &protocol.HeartbeatRequest{Shard: shard, Heartbeat: beat}, refusedUnread, nil},
		{"a question for the fence token", &protocol.HeartbeatRequest{Shard: shard, Heartbeat: fenceOnly}, refusedUnread, nil},
		{"a runner that ends", &protocol.DeregisterRequest{Shard: shard, Instance: wokenRunner}, refusedOrDoubt, nil},
		{"a backup of jobs", &administration.SnapshotRequest{Shard: shard}, refusedUnread, nil},
		{"a list of jobs, for people", &administration.JobsRequest{Shard: shard}, served, func(any) {}},
		{"a list of runners, for people", &administration.RunnersRequest{Shard: shard}, served, func(any) {}},
	}
}

func configurationQuestions() []question {
	return []question{
		{"the configuration", &protocol.ReadConfigurationRequest{}, refusedUnread, nil},
		{"a watch for what is newer", &protocol.WatchRequest{Version: 2}, refusedUnread, nil},
		{"a watch for what is newer than the newest", &protocol.WatchRequest{Version: 5}, refusedUnread, nil},
		{"an order on the version that is remembered", configured(3, 4), refusedOrDoubt, nil},
		{"an order that was taken since", configured(3, 5), refusedOrDoubt, nil},
		{"an order on the newest version", configured(5, 7), refusedOrDoubt, nil},
		{"an order that is not valid", configured(3, 2), refusedOrDoubt, nil},
		{"a backup of the configuration", &administration.SnapshotRequest{Shard: protocol.ConfigurationShard}, refusedUnread, nil},
		{"a report, for people", &administration.ReportRequest{}, served, func(any) {}},
	}
}

var _ = Describe("a control process that may be out of date", func() {
	DescribeTable("answers each request at once, and nothing that has changed since",
		func(shard protocol.ShardID, what trouble, questions []question) {
			requests := make([]any, 0, len(questions))
			for i := range questions {
				requests = append(requests, questions[i].request)
			}
			answers := troubledAnswers(shard, what, requests)
			for i, question := range questions {
				By(question.what)
				Expect(answers[i]).NotTo(BeNil(), "%s is answered", question.what)
				kinds := append([]failure.Kind{failure.NotLeader}, question.kinds...) // it may have stepped down
				Expect(failure.KindOf(answers[i].err)).To(BeElementOf(kinds), question.what)
				Expect(answers[i].took).To(BeNumerically("<", quick), question.what)
				if answers[i].err == nil {
					question.check(answers[i].response)
				}
			}
		},
		Entry("an owner of jobs, cut off and frozen, that wakes", wokenShard, cutAndFrozen, jobQuestions),
		Entry("an owner of jobs, frozen, that wakes", wokenShard, frozenAlone, jobQuestions),
		Entry("an owner of jobs, cut off", wokenShard, cutAlone, jobQuestions),
		Entry("an owner of jobs that nobody hears", wokenShard, trouble{mute: true}, jobQuestions),
		Entry("an owner of jobs that hears nobody", wokenShard, trouble{deaf: true}, jobQuestions),
		Entry("a frozen owner of jobs that nobody hears when it wakes", wokenShard, trouble{frozen: true, mute: true}, jobQuestions),
		Entry("a frozen owner of jobs that hears nobody when it wakes", wokenShard, trouble{frozen: true, deaf: true}, jobQuestions),
		Entry("another process, cut off", wokenShard, trouble{mute: true, deaf: true, follower: true}, jobQuestions),
		Entry("the configuration's owner, cut off and frozen, that wakes", protocol.ConfigurationShard, cutAndFrozen, orderQuestions),
		Entry("the configuration's owner, frozen, that wakes", protocol.ConfigurationShard, frozenAlone, orderQuestions),
		Entry("the configuration's owner, cut off", protocol.ConfigurationShard, cutAlone, orderQuestions),
		Entry("the configuration's owner that nobody hears", protocol.ConfigurationShard, trouble{mute: true}, orderQuestions),
		Entry("the configuration's owner that hears nobody", protocol.ConfigurationShard, trouble{deaf: true}, orderQuestions),
		Entry("another process, cut off, asked for the configuration", protocol.ConfigurationShard,
			trouble{mute: true, deaf: true, follower: true}, orderQuestions),
	)

	It("is an owner by its own belief when it wakes, so that what stays true is told", func() {
		requests := []any{&protocol.StatusRequest{Shard: wokenShard, ID: cancelledJob}}
		answers := troubledAnswers(wokenShard, cutAndFrozen, requests)
		Expect(answers[0].err).NotTo(HaveOccurred())
		Expect(answers[0].response).To(Equal(&protocol.StatusResponse{State: protocol.JobCancelled}))
	})

	It("is asked for all that a control process serves", func() {
		var asked []string
		for _, question := range everyEndpoint {
			asked = append(asked, reflect.TypeOf(question.request).String())
		}
		for _, request := range notAsked {
			asked = append(asked, reflect.TypeOf(request).String())
		}
		for _, served := range newDriven().control.endpoints {
			Expect(asked).To(ContainElement(served.request.String()))
		}
	})

	DescribeTable("tells the operator to leave within a second",
		func(what trouble, method, path, base, body string, statuses ...int) {
			const second = time.Second
			response, took := operatorsAnswer(what, false, method, path, base, body)
			Expect(response.Code).To(BeElementOf(statuses), response.Body.String())
			Expect(took).To(BeNumerically("<", second))
		},
		Entry("who reads", cutAndFrozen, "GET", readPath, "", "", 503),
		Entry("with an order on the version that is remembered", cutAndFrozen, "POST", replacePath, "3", string(configured(3, 4).Body), 503, 504),
		Entry("with an order that was taken since", cutAndFrozen, "POST", replacePath, "3", string(configured(3, 5).Body), 503, 504),
		Entry("with an order on the newest version", cutAndFrozen, "POST", replacePath, "5", string(configured(5, 7).Body), 503, 504),
		Entry("with an order that is not valid there", cutAndFrozen, "POST", replacePath, "3", string(configured(3, 2).Body), 503, 504),
		Entry("who reads where nobody is heard", trouble{deaf: true}, "GET", readPath, "", "", 503),
		Entry("with an order where nobody hears", trouble{mute: true}, "POST", replacePath, "3", string(configured(3, 4).Body), 503, 504),
		Entry("with an order at another process, cut off", trouble{mute: true, deaf: true, follower: true}, "POST", replacePath, "3",
			string(configured(3, 4).Body), 503, 504),
	)

	DescribeTable("serves the operator as any other once the trouble is over",
		func(what trouble, method, path, base, body string, status int) {
			response, _ := operatorsAnswer(what, true, method, path, base, body)
			Expect(response.Code).To(Equal(status), response.Body.String())
		},
		Entry("who reads", cutAndFrozen, "GET", readPath, "", "", 200),
		Entry("with an order that was taken meanwhile", cutAndFrozen, "POST", replacePath, "3", string(configured(3, 5).Body), 200),
		Entry("with another on the same version", cutAndFrozen, "POST", replacePath, "3", string(configured(3, 4).Body), 412),
		Entry("with one on the newest version", cutAndFrozen, "POST", replacePath, "5", string(configured(5, 7).Body), 200),
	)
})

// operatorsAnswer has a trouble strike the configuration's owner, or another process, while the others take a change, and
// asks it as the operator does, once it is frozen no more; healed: once the trouble is over. It returns the answer and how
// long that took.
func operatorsAnswer(what trouble, healed bool, method, path, base, body string) (*httptest.ResponseRecorder, time.Duration) {
	response := httptest.NewRecorder()
	var took time.Duration
	synctest.Test(suite, func(*testing.T) {
		t := &trio{}
		stop := t.start()
		defer stop()
		t.must(protocol.ConfigurationShard, configured(0, 3))
		thaw := t.strike(protocol.ConfigurationShard, what)
		time.Sleep(troubleTime)
		t.must(protocol.ConfigurationShard, configured(3, 5))
		thaw()
		if healed {
			t.heal()
			time.Sleep(troubleTime)
		}
		request := httptest.NewRequest(method, path, strings.NewReader(body))
		if base != "" {
			request.Header.Set(baseVersionHeader, base)
		}
		asked := time.Now()
		t.struck.Operator().ServeHTTP(response, request)
		took = time.Since(asked)
	})
	return response, took
}

// Paths of the operator's interface.
const (
	readPath    = configurationPaths + "read"
	replacePath = configurationPaths + protocol.ConfigurationReplace
)

// heal ends the cuts.
func (t *trio) heal() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.trouble = trouble{}
}
