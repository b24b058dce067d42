// Package transport carries gob messages between the processes of the system over TCP: calls that are answered, in any
// order, and messages that are not. There is one connection for each pair of a client and an address; types are
// described once on it. Whether a call may have been done is told apart by the kind of its error: Unavailable means
// that it was certainly not handed over, UnknownOutcome that it may have been.
package transport

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
)

// Standard values of the options.
const (
	StandardMaxFrameBytes   = 16 << 20
	StandardMaxQueueBytes   = 2 << 20
	StandardMaxConnections  = 1024
	StandardMaxOutstanding  = 4096
	StandardMaxHandlers     = 256
	StandardDialTimeout     = 700 * time.Millisecond
	StandardGreetingTimeout = time.Second
	StandardWriteTimeout    = 1500 * time.Millisecond
	DefaultProbeInterval    = 300 * time.Millisecond
	StandardLeastBackoff    = 50 * time.Millisecond
	StandardMostBackoff     = 500 * time.Millisecond
)

// ServerOptions sets up a Server. The zero value of each field stands for its standard value.
type ServerOptions struct {
	Logger         log.Logger // nil: nothing is logged
	Clock          clockwork.Clock
	MaxFrameBytes  int           // larger frames close the connection (incoming) or are refused (outgoing)
	MaxQueueBytes  int           // a connection with more answers than this waiting to be written is closed
	MaxConnections int           // at one time; further ones are closed at once
	MaxOutstanding int           // calls without an answer on one connection; further ones are answered Unavailable
	MaxHandlers    int           // goroutines of Handle at one time; further calls are answered Unavailable
	WriteTimeout   time.Duration // a peer that takes nothing for so long is cut
}

// ClientOptions sets up a Client. The zero value of each field stands for its standard value.
type ClientOptions struct {
	Logger        log.Logger // nil: nothing is logged
	Clock         clockwork.Clock
	Name          string        // what servers see as `from`; empty: the connection's own address
	MaxFrameBytes int           // larger requests are refused, larger answers close the connection
	MaxQueueBytes int           // for each address; what comes on top is refused (calls) or dropped (messages)
	DialTimeout   time.Duration // until a connection stands
	// GreetingTimeout is how long a new connection may be without the peer's greeting.
	GreetingTimeout time.Duration
	WriteTimeout    time.Duration // a peer that takes nothing for so long is cut
	ProbeInterval   time.Duration // a connection with calls out is cut if it is silent for three to four of these
	LeastBackoff    time.Duration // after the first failed connection to an address
	MostBackoff     time.Duration // after many
	Dial            func(ctx context.Context, address string) (net.Conn, error)
}

func (o ServerOptions) complete() ServerOptions {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	o.MaxFrameBytes = cmp.Or(o.MaxFrameBytes, StandardMaxFrameBytes)
	o.MaxQueueBytes = cmp.Or(o.MaxQueueBytes, StandardMaxQueueBytes)
	o.MaxConnections = cmp.Or(o.MaxConnections, StandardMaxConnections)
	o.MaxOutstanding = cmp.Or(o.MaxOutstanding, StandardMaxOutstanding)
	o.MaxHandlers = cmp.Or(o.MaxHandlers, StandardMaxHandlers)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, StandardWriteTimeout)
	return o
}

func (o ClientOptions) complete() ClientOptions {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Dial == nil {
		o.Dial = dial
	}
	o.MaxFrameBytes = cmp.Or(o.MaxFrameBytes, StandardMaxFrameBytes)
	o.MaxQueueBytes = cmp.Or(o.MaxQueueBytes, StandardMaxQueueBytes)
	o.DialTimeout = cmp.Or(o.DialTimeout, StandardDialTimeout)
	o.GreetingTimeout = cmp.Or(o.GreetingTimeout, StandardGreetingTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, StandardWriteTimeout)
	o.ProbeInterval = cmp.Or(o.ProbeInterval, DefaultProbeInterval)
	o.LeastBackoff = cmp.Or(o.LeastBackoff, StandardLeastBackoff)
	o.MostBackoff = cmp.Or(o.MostBackoff, StandardMostBackoff)
	return o
}
