// Package transport sends gob messages between the processes of the system over TCP. A message is either a call, which
// the server answers with a response or an error, or a one-way message. Calls of one connection may be answered in any
// order.
//
// # Connections
//
// A Client has at most one connection to each address. It dials when the first call or message needs the connection.
// Each side first sends a greeting: the magic number "OSPJ", the version of the protocol and the sender's name. Frames
// follow. A frame is the length of its content in four bytes, big-endian, a header that starts with the frame's kind
// and, in most kinds, one gob value. All gob values of one direction of a connection belong to one gob stream: before
// the first value of a type, a frame of kind frameDefine sends the type's name and its gob description.
//
// The name is the Go name of the type with its package, such as protocol.PingRequest. The server finds the handler by
// it, and the client checks the response by it. So renaming such a type, or its package, changes the protocol.
//
// # Outcomes
//
// The client writes a request at most once; the caller decides whether to retry. The error of a call has a
// kind that says whether the call may have been executed:
//
//   - failure.Unavailable: the call was not executed. Either the kernel did not take all bytes of the request, so that no
//     server has read the complete request, or the server has no handler for it or is at one of its limits. A handler that
//     returns this kind says the same.
//   - failure.UnknownOutcome: the kernel took the complete request, or the writer may have started to write it, and no
//     valid response arrived. The server also reports a handler's error that has no kind as UnknownOutcome.
//   - Other kinds come from the handler, except TooLarge and Invalid for requests that the client cannot encode.
//
// A one-way message may be lost without an error. Messages that arrive on one connection arrive in the order of sending.
//
// # Faults
//
//   - The peer is partitioned or its machine has stopped: the kernel closes a connection on which sent bytes stay
//     unacknowledged, see userTimeout. TCP keep-alive finds the fault on a connection without traffic.
//   - The peer's process is frozen, but its kernel still acknowledges: the client pings while short calls are pending and
//     closes the connection if no bytes arrive, see liveness. If only long polls are pending, it closes the connection at
//     the deadline of a long poll during which no bytes arrived, see Client.DoLong.
//   - The peer reads slowly or not: writes time out after WriteTimeout, and the queue of a connection is limited by
//     MaxQueueBytes.
//   - The peer accepts connections but does not greet: GreetingTimeout.
//   - The peer has another version: a greeting with another version ends the connection. A call with a request type that
//     the server does not handle is answered Unavailable, and the connection stays open.
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

// The defaults of the fields of ServerOptions and ClientOptions that have the same name without Default.
const (
	DefaultMaxFrameBytes   = 16 << 20
	DefaultMaxQueueBytes   = 2 << 20
	DefaultMaxConnections  = 1024
	DefaultMaxOutstanding  = 4096 // calls of one connection
	DefaultMaxHandlers     = 256  // goroutines of the server
	DefaultDialTimeout     = 700 * time.Millisecond
	DefaultGreetingTimeout = time.Second
	DefaultWriteTimeout    = 1500 * time.Millisecond
	DefaultProbeInterval   = 300 * time.Millisecond
	DefaultMinBackoff      = 50 * time.Millisecond
	DefaultMaxBackoff      = 500 * time.Millisecond
)

// ServerOptions configure a Server. A field's zero value stands for its default.
type ServerOptions struct {
	Logger log.Logger      // nil: nothing is logged
	Clock  clockwork.Clock // times the wait after a failed accept; nil: the system's clock
	// MaxFrameBytes limits the length of one frame, without its length field. Receiving a longer frame closes the
	// connection. Instead of a longer response the server sends an error of kind UnknownOutcome.
	MaxFrameBytes int
	// MaxQueueBytes limits the bytes queued on one connection: if more are queued when a response is to be added, the
	// client does not read fast enough and the server closes the connection.
	MaxQueueBytes int
	// MaxConnections limits the open connections of the server. The server closes further ones as it accepts them.
	MaxConnections int
	// MaxOutstanding limits the unanswered calls of one connection. The server answers further ones Unavailable.
	MaxOutstanding int
	// MaxHandlers limits the goroutines that run handlers registered by Handle. Further calls are answered Unavailable.
	MaxHandlers int
	// WriteTimeout limits the time for writing one chunk of writeChunkBytes. The server closes the connection after it.
	WriteTimeout time.Duration
}

// ClientOptions configure a Client. A field's zero value stands for its default.
type ClientOptions struct {
	Logger log.Logger      // nil: nothing is logged
	Clock  clockwork.Clock // times probes and backoffs, and converts deadlines; nil: the system's clock
	// Name is passed to the server's handlers as from. If it is empty, they get the address of the connection.
	Name string
	// MaxFrameBytes limits the length of one frame, without its length field. A longer request fails with TooLarge.
	// Receiving a longer frame closes the connection.
	MaxFrameBytes int
	// MaxQueueBytes limits the bytes queued for one address. While more are queued, calls fail with Unavailable and
	// one-way messages are dropped.
	MaxQueueBytes int
	// DialTimeout limits the time until the TCP connection is established.
	DialTimeout time.Duration
	// GreetingTimeout limits the time from then until the server's greeting has arrived.
	GreetingTimeout time.Duration
	// WriteTimeout limits the time for writing one chunk of writeChunkBytes. The client closes the connection after it.
	WriteTimeout time.Duration
	// ProbeInterval is the time between two probes of a connection with pending short calls. The client closes the
	// connection if no bytes arrive for three to four intervals: the first probe after the start of a call only records
	// the count of reads so far, and can come at any time within an interval.
	ProbeInterval time.Duration
	MinBackoff    time.Duration // wait after one failed connection to an address; doubles with each further failure
	MaxBackoff    time.Duration // upper limit of that wait
	// Dial connects to an address. If it is nil, the client connects over TCP.
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

// setCommonDefaults sets the defaults of the options that a client and a server both have.
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
