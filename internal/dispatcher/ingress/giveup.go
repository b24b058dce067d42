package ingress

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// The reasons for which a request is given up before the coordinator sees it, as counted and logged. Each is a
// constant here or a header's name from the fixed list that head checks, so the set stays small.
const (
	// On the wire, before the handler: net/http or the listener ended the connection with a request begun on it.
	headSlow    = "head-slow"                      // its head was not whole within the time for it
	headLeft    = "head-left"                      // the client closed with part of a head sent
	headRefused = "head-refused"                   // net/http answered it itself, with a 4xx
	headRoom    = "head-room"                      // the listener closed it with part of a head in
	headClosed  = "head-closed"                    // net/http closed it with part of a head in, without a read failing
	bodySlow    = "body-slow"                      // the body was not whole within the time for it
	bodyLeft    = "body-left"                      // the body broke off
	bodyLarge   = "body-large"                     // Content-Length over what a request may carry
	bodyRoom    = "body-memory"                    // the bodies in hand use what there is
	smuggled    = "transfer-encoding"              // beside Content-Length, or not seen whole on the wire
	method      = "method"                         // jobs arrive by POST
	noClass     = "class"                          // the path names none
	target      = "target"                         // runners could read it in another way
	madeRoom    = "made-room"                      // read whole, but its connection was closed meanwhile
	tooMany     = "too-many"                       // refused unseen, as the sockets are nearly all taken
	headerField = "header:"                        // followed by the header's name
	summaryGap  = 10 * time.Second                 // between the log's lines that sum the reasons up
	firstOfKind = "a request was given up unheard" // logged at once the first time a reason comes
)

// GiveUps counts the requests given up before the coordinator saw them, by reason. It is safe for concurrent use.
type GiveUps struct {
	mu     sync.Mutex
	counts map[string]int64
	log    logrus.FieldLogger
}

func newGiveUps(log logrus.FieldLogger) *GiveUps {
	return &GiveUps{counts: map[string]int64{}, log: log}
}

// add counts one request given up for reason. The first of each reason is logged at once, as a new kind of
// trouble is news to whoever reads the log.
func (g *GiveUps) add(reason string) {
	g.mu.Lock()
	g.counts[reason]++
	first := g.counts[reason] == 1
	g.mu.Unlock()
	if first {
		g.log.WithField("reason", reason).Warn(firstOfKind)
	}
}

// Counts returns how many requests were given up for each reason since the start; reasons that never came are
// absent.
func (g *GiveUps) Counts() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.counts)
}

// Reasons returns the reasons of counts in a stable order.
func Reasons(counts map[string]int64) []string { return slices.Sorted(maps.Keys(counts)) }

// summarise logs the counts every summaryGap while they change, until ctx ends, so that the log says why
// requests never reached a runner without a line for each.
func (g *GiveUps) summarise(ctx context.Context) {
	t := time.NewTicker(summaryGap)
	defer t.Stop()
	var last map[string]int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := g.Counts()
		if maps.Equal(now, last) {
			continue
		}
		fields := logrus.Fields{}
		var all int64
		for reason, n := range now {
			fields[reason] = n
			all += n
		}
		g.log.WithFields(fields).WithField("total", all).Warn("requests given up before a runner saw them, since the start")
		last = now
	}
}
