package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/control"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

const (
	frontendWait = time.Second      // that a frontend's watch may be held
	agentWait    = 10 * time.Second // an agent's, which is fed owners alone
	confirmTime  = 4 * time.Millisecond
	refusedPause = 200 * time.Millisecond
)

// feedCommand measures the feed of configurations to more and more watchers.
func feedCommand() *cobra.Command {
	var sizes []int
	var routes, frontends int
	var everything bool
	var span time.Duration
	var every time.Duration
	var profile string
	command := &cobra.Command{Use: "feed", Short: "The configuration's feed to many watchers, without their links",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			return profiled(profile, func() error {
				t := table{[]string{"watchers", "of configuration", "refused/s", "answers/s", "µs an answer", "cores", "changes",
					"last told after ms", "KB a change to all"}}
				t.begin()
				for _, size := range sizes {
					if err := measureFeed(&t, watchersOf(size, frontends, everything), routes, span, every); err != nil {
						return err
					}
				}
				return nil
			})
		}}
	f := command.Flags()
	f.IntSliceVar(&sizes, "watchers", []int{300, 1000, 3000, 9000}, "sizes to measure")
	f.IntVar(&frontends, "frontends", 60, "watchers of them that follow the configuration; the others are agents")
	f.BoolVar(&everything, "everything", false, "all of them follow the configuration")
	f.IntVar(&routes, "routes", 5*targetQueues, "routes of the configuration")
	f.DurationVar(&span, "span", 20*time.Second, "virtual time to measure")
	f.DurationVar(&every, "every", 2*time.Second, "time between two changes; at 14,000 a day, 6.2 s")
	f.StringVar(&profile, "profile", "", "write a processor profile to this `file`")
	return command
}

// feedSource is the configuration's state as the feed wants it.
type feedSource struct{ state *configuration.State }

// Version returns the version in force.
func (s feedSource) Version() uint64 { return s.state.Document().Version() }

// Since returns what brings a follower there.
func (s feedSource) Since(version uint64, changes bool) ([]byte, error) {
	return s.state.Since(version, changes)
}

// feedWorld is a feed with watchers in virtual time.
type feedWorld struct {
	timeline
	feed    *control.Feed
	source  feedSource
	routes  int
	tickAt  time.Duration
	ticking bool

	answers, refused, changes int
	changedAt                 time.Duration
	slowest                   time.Duration
	changeBytes               int
}

// watchers are who watches.
type watchers struct{ all, ofConfiguration int }

func watchersOf(size, frontends int, everything bool) watchers {
	if everything {
		frontends = size
	}
	return watchers{size, min(frontends, size)}
}

func measureFeed(t *table, who watchers, routes int, span, every time.Duration) error {
	source := feedSource{configuration.NewState()}
	w := &feedWorld{source: source, feed: control.NewFeed(source), routes: routes}
	w.now = time.Second
	if err := w.execute(protocol.ConfigurationReplace, wholeConfiguration(routes)); err != nil {
		return err
	}
	w.feed.Lead()
	w.feed.OwnersChanged([]protocol.Member{{ID: 1, Node: "core-1", Zone: "z", Address: "10.0.0.1:7380"}}, nil)
	for i := range who.all {
		request := protocol.WatchRequest{Node: fmt.Sprintf("machine-%d", i), WaitMs: frontendWait.Milliseconds(), Changes: true}
		if i >= who.ofConfiguration {
			request.WaitMs, request.OwnersOnly = agentWait.Milliseconds(), true
		}
		w.after(time.Duration(i)*agentWait/time.Duration(who.all), func() { w.watch(request) })
	}
	w.pass(2 * agentWait)
	w.answers, w.refused, w.changes, w.slowest, w.changeBytes = 0, 0, 0, 0, 0
	w.after(every/2, func() { w.change(every) })
	begun, used := w.now, processorTime()
	w.pass(span)
	spent, seconds := processorTime()-used, (w.now - begun).Seconds()
	t.row(who.all, who.ofConfiguration, float64(w.refused)/seconds, float64(w.answers)/seconds, microseconds(spent, w.answers), spent.Seconds()/seconds,
		w.changes, milliseconds(w.slowest), float64(w.changeBytes)/1e3/float64(max(w.changes, 1)))
	return nil
}

func (w *feedWorld) execute(kind, body string) error {
	base := w.source.Version()
	if result := w.source.state.Execute(configuration.Command{Kind: kind, Base: base, Body: []byte(body)}); result.Kind != failure.None {
		return fmt.Errorf("the configuration is refused: %s", result.Message)
	}
	return nil
}

func (w *feedWorld) watch(request protocol.WatchRequest) {
	w.feed.Watch(w.now, &request, func(response *protocol.WatchResponse, err error) { w.answered(request, response, err) })
	w.wake(tickLeast)
}

func (w *feedWorld) answered(request protocol.WatchRequest, response *protocol.WatchResponse, err error) {
	if err != nil {
		w.refused++
		w.after(refusedPause, func() { w.watch(request) })
		return
	}
	w.answers++
	if len(response.Configuration) > 0 {
		w.changeBytes += len(response.Configuration)
		w.slowest = max(w.slowest, w.now-w.changedAt)
	}
	request.Version, request.Owners = response.Version, response.OwnersAt
	w.after(2*wayTime, func() { w.watch(request) })
}

func (w *feedWorld) change(every time.Duration) {
	w.changes++
	w.changedAt = w.now
	if err := w.alter(); err != nil {
		panic(err)
	}
	w.wake(0)
	w.after(every, func() { w.change(every) })
}

// alter changes the time-out of one route.
func (w *feedWorld) alter() error {
	body := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s]}}`, w.source.Version()+1, routeText(w.changes%w.routes, 3000+w.changes))
	return w.execute(protocol.ConfigurationUpdate, body)
}

func (w *feedWorld) wake(wait time.Duration) {
	at := w.now + wait
	if w.ticking && w.tickAt <= at {
		return
	}
	w.ticking, w.tickAt = true, at
	w.after(wait, func() {
		if w.ticking && w.tickAt == at {
			w.tick()
		}
	})
}

func (w *feedWorld) tick() {
	w.ticking = false
	w.confirm()
	next := w.now + tickMost
	if at, ok := w.feed.Deadline(); ok {
		next = min(next, at)
	}
	w.wake(max(next-w.now, tickLeast))
}

func (w *feedWorld) confirm() {
	if !w.feed.AskConfirmation(w.now) {
		return
	}
	w.after(confirmTime, func() {
		w.feed.Confirmed(w.now)
		w.confirm()
	})
}

func wholeConfiguration(routes int) string {
	services := make([]string, targetQueues)
	for i := range services {
		services[i] = fmt.Sprintf(`{"name":"service-%d","healthPath":"/health","maxConnections":64,"protocol":"h1"}`, i)
	}
	texts := make([]string, routes)
	for i := range texts {
		texts[i] = routeText(i, 3000)
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		strings.Join(texts, ","), strings.Join(services, ","))
}

func routeText(number, timeoutMs int) string {
	return fmt.Sprintf(`{"name":"r-%06d","host":"team-%d.example","pathPrefix":"/q%d/","kind":"non_idempotent","timeoutMs":%d,`+
		`"targetLatencyMs":2700,"priority":%d,"service":"service-%d","maxAttempts":3,"extension":2.0}`,
		number, number%targetQueues, number/targetQueues, timeoutMs, number%3, number%targetQueues)
}
