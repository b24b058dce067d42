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

// reportTime is how long one control process may take to tell how it stands.
const reportTime = 2 * time.Second

// Client asks a running system. It is used by one goroutine.
type Client struct {
	addresses []string
	transport *transport.Client
	directory *directory.Directory
}

// Time-outs of a command's connections. A command has no other process to turn to as frontends have, and an operator has
// time: a machine that is busy is waited for, up to the command's own limit.
const (
	greetingPatience = 4 * time.Second
	probeInterval    = time.Second
)

// Dial returns a client of the system whose control processes stand at the internal addresses, host:port. It connects
// when it is first used. The error names an address that cannot be one.
func Dial(addresses []string) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no address of a control process is given")
	}
	for _, address := range addresses {
		host, port, err := net.SplitHostPort(address)
		if err != nil || host == "" || port == "" {
			return nil, errors.Errorf("%q is no address like 127.0.0.1:7380", address)
		}
	}
	carrier := transport.NewClient(transport.ClientOptions{
		Name: "administration", DialTimeout: greetingPatience, GreetingTimeout: greetingPatience, ProbeInterval: probeInterval})
	known := directory.New(directory.Options{Client: carrier, Seeds: addresses, Node: "administration"})
	return &Client{addresses: addresses, transport: carrier, directory: known}, nil
}

// Close ends the client's connections.
func (c *Client) Close() { c.transport.Close() }

// call asks the owner of a shard, until ctx ends.
func call[Req, Resp any](ctx context.Context, c *Client, shard protocol.ShardID, request *Req) (*Resp, error) {
	return directory.Call[Req, Resp](ctx, c.directory, shard, request, true)
}

// read is call for what changes nothing: that no answer came leaves no doubt.
func read[Req, Resp any](ctx context.Context, c *Client, shard protocol.ShardID, request *Req) (*Resp, error) {
	response, err := call[Req, Resp](ctx, c, shard, request)
	if failure.KindOf(err) == failure.UnknownOutcome {
		err = failure.Newf(failure.Unavailable, "no answer: %v", messageOf(err))
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

// ReadConfiguration returns the newest configuration, as JSON, and its version; 0 if there is none yet.
func (c *Client) ReadConfiguration(ctx context.Context) (version uint64, body []byte, err error) {
	response, err := read[protocol.ReadConfigurationRequest, protocol.ReadConfigurationResponse](
		ctx, c, protocol.ConfigurationShard, &protocol.ReadConfigurationRequest{})
	if err != nil {
		return 0, nil, err
	}
	return response.Version, response.Body, nil
}

// Configure orders a change of the configuration, and returns the version in force by it.
func (c *Client) Configure(ctx context.Context, kind string, base uint64, body []byte) (version uint64, err error) {
	response, err := call[protocol.ConfigureRequest, protocol.ConfigureResponse](
		ctx, c, protocol.ConfigurationShard, &protocol.ConfigureRequest{Kind: protocol.ChangeKind(kind), Base: base, Body: body})
	if err != nil {
		return 0, err
	}
	return response.Version, nil
}

// eachShard calls f for the shards of jobs until it fails.
func eachShard(f func(shard protocol.ShardID) error) error {
	for shard := protocol.ShardID(1); shard <= protocol.JobShards; shard++ {
		if err := f(shard); err != nil {
			return err
		}
	}
	return nil
}
