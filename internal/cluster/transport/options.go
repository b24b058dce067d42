// Package transport sends gob messages between the processes of the system over TCP: calls, which are answered in any
// order, and one-way messages. There is one connection for each pair of a client and an address. It is established
// when first needed, and each type is described once on it.
//
// A request is written at most once; retrying is up to the caller. The kind of a call's error says whether it may have
// been done: failure.Unavailable means that the request certainly was not written completely, failure.UnknownOutcome
// that it may have been, also if the client cannot know. Messages may be lost without an error, and arrive in order on
// one connection.
//
// All exported functions may be called from any goroutine, except that a Server's handlers must be registered before
// Serve.
package transport

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
)

// The defaults of the options.
const (
	DefaultMaxFrameBytes   = 16 << 20
	DefaultMaxQueueBytes   = 2 << 20
	DefaultMaxConnections  = 1024
	DefaultMaxOutstanding  = 4096
	DefaultMaxHandlers     = 256
	DefaultDialTimeout     = 700 * time.Millisecond
	DefaultGreetingTimeout = time.Second
	DefaultWriteTimeout    = 1500 * time.Millisecond
	DefaultProbeInterval   = 300 * time.Millisecond
	DefaultMinBackoff      = 50 * time.Millisecond
	DefaultMaxBackoff      = 500 * time.Millisecond
)

// ServerOptions configure a Server. A field's zero value stands for its default.
type ServerOptions struct {
	Logger         log.Logger // nil: nothing is logged
	Clock          clockwork.Clock
	MaxFrameBytes  int           // larger frames close the connection (received) or are refused (to be sent)
	MaxQueueBytes  int           // a connection on which more than this waits to be written is closed
	MaxConnections int           // at once; further ones are closed when they are accepted
	MaxOutstanding int           // unanswered calls of one connection; further ones are answered Unavailable
	MaxHandlers    int           // goroutines of Handle at once; further calls are answered Unavailable
	WriteTimeout   time.Duration // a connection whose peer takes nothing for this is closed
}

// ClientOptions configure a Client. A field's zero value stands for its default.
type ClientOptions struct {
	Logger        log.Logger // nil: nothing is logged
	Clock         clockwork.Clock
	Name          string        // passed to handlers as from; "": the address of the connection
	MaxFrameBytes int           // larger requests are refused, larger responses close the connection
	MaxQueueBytes int           // for each address; further calls are Unavailable, further messages are dropped
	DialTimeout   time.Duration // until the TCP connection is established
	// GreetingTimeout is how long the peer's greeting may take on a new connection.
	GreetingTimeout time.Duration
	WriteTimeout    time.Duration // a connection whose peer takes nothing for this is closed
	// ProbeInterval is the time between two probes. A connection with pending calls is closed if nothing is received for
	// three to four of them.
	ProbeInterval time.Duration
	MinBackoff    time.Duration // after one failed connection to an address; doubles with each further one
	MaxBackoff    time.Duration // limits the backoff
	// Dial connects to an address; nil: over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (o ServerOptions) withDefaults() ServerOptions {
	setCommonDefaults(&o.Logger, &o.Clock, &o.MaxFrameBytes, &o.MaxQueueBytes, &o.WriteTimeout)
	o.MaxConnections = cmp.Or(o.MaxConnections, DefaultMaxConnections)
	o.MaxOutstanding = cmp.Or(o.MaxOutstanding, DefaultMaxOutstanding)
	o.MaxHandlers = cmp.Or(o.MaxHandlers, DefaultMaxHandlers)
	return o
}

func (o ClientOptions) withDefaults() ClientOptions {
	setCommonDefaults(&o.Logger, &o.Clock, &o.MaxFrameBytes, &o.MaxQueueBytes, &o.WriteTimeout)
	if o.Dial == nil {
		o.Dial = dial
	}
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.GreetingTimeout = cmp.Or(o.GreetingTimeout, DefaultGreetingTimeout)
	o.ProbeInterval = cmp.Or(o.ProbeInterval, DefaultProbeInterval)
	o.MinBackoff = cmp.Or(o.MinBackoff, DefaultMinBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	return o
}

// setCommonDefaults sets the options that both sides of a connection have.
func setCommonDefaults(logger *log.Logger, clock *clockwork.Clock, frameBytes, queueBytes *int, writeTimeout *time.Duration) {
	if *logger == nil {
		*logger = log.NewNopLogger()
	}
	if *clock == nil {
		*clock = clockwork.NewRealClock()
	}
	*frameBytes = cmp.Or(*frameBytes, DefaultMaxFrameBytes)
	*queueBytes = cmp.Or(*queueBytes, DefaultMaxQueueBytes)
	*writeTimeout = cmp.Or(*writeTimeout, DefaultWriteTimeout)
}
