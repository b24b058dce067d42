package ingress

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Reasons why a request is given up. A request that is given up ends before the coordinator sees it. The reasons are used
// in counts and logs. Each is one of these constants, or badHeaderPrefix with a header's name from the fixed set that
// parseHead checks, so clients can't make the set of counters grow.
const (
	// The head-* reasons are for a connection that ended, by net/http or the listener, before the handler was called.
	headSlow         = "head-slow"                      // a timeout passed before the head was complete
	headDisconnected = "head-left"                      // the client closed or broke the connection within the head
	headRefused      = "head-refused"                   // net/http responded with a 4xx to an invalid head
	headEvicted      = "head-room"                      // the listener evicted or refused the connection, as maxConns were open
	headClosed       = "head-closed"                    // the connection ended within the head for no other reason here
	bodySlow         = "body-slow"                      // a timeout passed before the body was complete
	bodyDisconnected = "body-left"                      // the client disconnected before the body was complete
	bodyTooLarge     = "body-large"                     // the body has more than maxBody bytes
	bodyMemory       = "body-memory"                    // all bodies being served together would exceed maxBodyBytes
	ambiguousFraming = "transfer-encoding"              // a chunked body with a Content-Length or an unparsable head
	badMethod        = "method"                         // the method is not POST
	unknownClass     = "class"                          // the path names no class of the settings
	badTarget        = "target"                         // the request target could be read in more than one way
	connEvicted      = "made-room"                      // the request was read, but the close of its connection had begun
	tooManyRequests  = "too-many"                       // shed, as more than maxBusyFraction of the sockets have a request
	badHeaderPrefix  = "header:"                        // followed by the name of the invalid header
	summaryInterval  = 10 * time.Second                 // the interval of log lines with all counts
	firstOfReason    = "a request was given up unheard" // the log message for the first request given up for a reason
)

// GiveUps counts, by reason, the requests that were given up before the coordinator saw them. It is safe for concurrent use.
type GiveUps struct {
	mu     sync.Mutex
	counts map[string]int64
	log    logrus.FieldLogger
}

func newGiveUps(log logrus.FieldLogger) *GiveUps {
	return &GiveUps{counts: map[string]int64{}, log: log}
}

// add counts a request given up for reason. The first one of each reason is logged at once, later ones by summarise.
func (g *GiveUps) add(reason string) {
	g.mu.Lock()
	g.counts[reason]++
	first := g.counts[reason] == 1
	g.mu.Unlock()
	if first {
		g.log.WithField("reason", reason).Warn(firstOfReason)
	}
}

// Counts returns a copy of the numbers of requests given up since the start, by reason. Reasons that never occurred are
// absent.
func (g *GiveUps) Counts() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.counts)
}

// Reasons returns the reasons that are keys of counts, sorted.
func Reasons(counts map[string]int64) []string { return slices.Sorted(maps.Keys(counts)) }

// summarise logs all counts every summaryInterval if they have changed, until ctx ends. So the log says why requests never
// reached a runner, without a line for each request.
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
