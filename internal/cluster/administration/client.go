package administration

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/transport"
)

// reportTimeout bounds a request that one given control process answers from its own state: for a report or a digest.
const reportTimeout = 2 * time.Second

// Client sends the operator's requests to a running system. It must be used by one goroutine at a time, and closed.
//
// Errors that come from the system have a kind of package failure; see Advice. Read-only methods never fail with
// failure.UnknownOutcome. Methods retry until ctx ends, so ctx should have a deadline.
type Client struct {
	addresses []string // internal addresses given by the operator
	transport *transport.Client
	directory *directory.Directory
}

// Timeouts of the client's connections. They are longer than the timeouts of frontends: a frontend can use another
// process instead, but an operator prefers to wait for a process on a busy machine, until the command's own timeout.
const (
	connectTimeout = 4 * time.Second // for the connection, and for the greeting after it
	probeInterval  = time.Second
)

// Dial returns a client of a system. addresses are the internal addresses, as host:port, of all or some of its control
// processes. The client connects when it is first used. Dial fails if addresses is empty or an address doesn't have that
// form; the error names the first such address.
func Dial(addresses []string) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no address of a control process is given")
	}
	for _, address := range addresses {
		host, port, err := net.SplitHostPort(address)
		if err != nil || host == "" || port == "" {
			return nil, errors.Errorf("%q is no address of the form HOST:PORT, such as 127.0.0.1:7380", address)
		}
	}
	carrier := transport.NewClient(transport.ClientOptions{
		Name: "administration", DialTimeout: connectTimeout, GreetingTimeout: connectTimeout, ProbeInterval: probeInterval})
	known := directory.New(directory.Options{Client: carrier, Seeds: addresses, Node: "administration"})
	return &Client{addresses: addresses, transport: carrier, directory: known}, nil
}

// Close closes the client's connections.
func (c *Client) Close() { c.transport.Close() }

// call sends a request to the owner of a shard, and repeats it until its outcome is known or ctx ends.
func call[Req, Resp any](ctx context.Context, c *Client, shard protocol.ShardID, request *Req) (*Resp, error) {
	return directory.Call[Req, Resp](ctx, c.directory, shard, request, true)
}

// read is call for read-only requests. A missing response then leaves no doubt about a change, so read reports it as
// failure.Unavailable.
func read[Req, Resp any](ctx context.Context, c *Client, shard protocol.ShardID, request *Req) (*Resp, error) {
	response, err := call[Req, Resp](ctx, c, shard, request)
	if failure.KindOf(err) == failure.UnknownOutcome {
		err = failure.Newf(failure.Unavailable, "no response: %v", messageOf(err))
	}
	return response, err
}

// messageOf returns an error's text without the name of its kind.
func messageOf(err error) string {
	var known *failure.Error
	if errors.As(err, &known) {
		return known.Message
	}
	return err.Error()
}

// ReadConfiguration returns the newest configuration as JSON, and its version. The version is 0 if there is none yet.
func (c *Client) ReadConfiguration(ctx context.Context) (version uint64, body []byte, err error) {
	response, err := read[protocol.ReadConfigurationRequest, protocol.ReadConfigurationResponse](
		ctx, c, protocol.ConfigurationShard, &protocol.ReadConfigurationRequest{})
	if err != nil {
		return 0, nil, err
	}
	return response.Version, response.Body, nil
}

// Configure changes the configuration. kind is protocol.ConfigurationReplace or protocol.ConfigurationUpdate, base is the
// version that the change builds on, and body is its JSON. Configure returns the version that the change led to. The same
// change may be sent again: it is executed once and acknowledged each time (see configuration.State.Execute).
func (c *Client) Configure(ctx context.Context, kind string, base uint64, body []byte) (version uint64, err error) {
	response, err := call[protocol.ConfigureRequest, protocol.ConfigureResponse](
		ctx, c, protocol.ConfigurationShard, &protocol.ConfigureRequest{Kind: protocol.ChangeKind(kind), Base: base, Body: body})
	if err != nil {
		return 0, err
	}
	return response.Version, nil
}

// eachShard calls f for the shards of jobs, in the order of their numbers, until a call fails.
func eachShard(f func(shard protocol.ShardID) error) error {
	for shard := protocol.ShardID(1); shard <= protocol.JobShards; shard++ {
		if err := f(shard); err != nil {
			return err
		}
	}
	return nil
}
