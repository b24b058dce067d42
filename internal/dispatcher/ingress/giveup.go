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
// constant here or a header's name from the fixed list that parseHead checks, so the set stays small.
const (
	// Before the handler: net/http or the listener ended the connection with a request begun on it.
	headSlow         = "head-slow"                      // its head was incomplete at a timeout
	headDisconnected = "head-left"                      // the client closed within a head
	headRefused      = "head-refused"                   // net/http responded itself, with a 4xx
	headEvicted      = "head-room"                      // the listener evicted it within a head
	headClosed       = "head-closed"                    // net/http closed it within a head, without a failed read
	bodySlow         = "body-slow"                      // the body was incomplete at a timeout
	bodyDisconnected = "body-left"                      // the client disconnected within the body
	bodyTooLarge     = "body-large"                     // the body is over maxBody
	bodyMemory       = "body-memory"                    // the bodies being served use up the memory for them
	ambiguousFraming = "transfer-encoding"              // beside Content-Length, or with a head that framing could not follow
	badMethod        = "method"                         // not POST
	unknownClass     = "class"                          // the path names an unknown class
	badTarget        = "target"                         // runners could read it differently
	connEvicted      = "made-room"                      // read completely, but its connection was evicted meanwhile
	tooManyRequests  = "too-many"                       // shed, as nearly all sockets have a request
	badHeaderPrefix  = "header:"                        // followed by the header's name
	summaryInterval  = 10 * time.Second                 // between log lines with all counts
	firstOfReason    = "a request was given up unheard" // logged at once for the first of a reason
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

// add counts a request given up for reason. The first of each reason is logged at once.
func (g *GiveUps) add(reason string) {
	g.mu.Lock()
	g.counts[reason]++
	first := g.counts[reason] == 1
	g.mu.Unlock()
	if first {
		g.log.WithField("reason", reason).Warn(firstOfReason)
	}
}

// Counts returns a copy of the numbers of requests given up since the start, by reason; a reason that never occurred
// is absent.
func (g *GiveUps) Counts() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.counts)
}

// Reasons returns the reasons of counts, sorted.
func Reasons(counts map[string]int64) []string { return slices.Sorted(maps.Keys(counts)) }

// summarise logs the counts every summaryInterval while they change, until ctx ends, so that the log says why
// requests never reached a runner without a line for each.
func (g *GiveUps) summarise(ctx context.Context) {
	t := time.NewTicker(summaryInterval)
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
