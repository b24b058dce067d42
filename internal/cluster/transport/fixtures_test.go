package transport_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/transport"
	"ospreypond/internal/fixturetest"
)

const (
	soon     = 10 * time.Second // limit for events that have no reason to be late; long, for busy machines
	recorder = "recorder"       // name of the client whose connections are recorded
	greeting = 6                // bytes of a greeting with an empty name: magic number, version and length 0
)

// exchange is one kind of call or of one-way message. It has a fixture for each direction: all bytes that a side sends on
// a connection. These are the greeting, the description of the type, and one frame with a value that has all fields set.
type exchange struct {
	requestName  string // name of the request's type on the wire, and of the fixture
	responseName string // the same for the response
	request      reflect.Type
	response     reflect.Type // nil for a one-way message
	// handle registers a handler that sends each request or message to the channel, and answers a call with response.
	handle func(server *transport.Server, received chan<- received, response any)
}

// received is a request or a one-way message that a server's handler got, with the sender's name.
type received struct {
	from  string
	value any
}

func call[Req, Resp any](requestName, responseName string) exchange {
	return exchange{
		requestName:  requestName,
		responseName: responseName,
		request:      reflect.TypeFor[Req](),
		response:     reflect.TypeFor[Resp](),
		handle: func(server *transport.Server, channel chan<- received, response any) {
			transport.HandleAsync(server, func(from string, request *Req, reply func(*Resp, error)) {
				channel <- received{from, request}
				reply(response.(*Resp), nil)
			})
		},
	}
}

func message[Msg any](name string) exchange {
	return exchange{
		requestName: name,
		request:     reflect.TypeFor[Msg](),
		handle: func(server *transport.Server, channel chan<- received, _ any) {
			transport.HandleOneWay(server, func(from string, message *Msg) { channel <- received{from, message} })
		},
	}
}

// exchanges are all calls and one-way messages of the system. Their names are literals, so that a renamed type fails a test.
var exchanges = []exchange{
	message[replica.Envelope]("replica.Envelope"),
	call[protocol.PingRequest, protocol.PingResponse]("protocol.PingRequest", "protocol.PingResponse"),
	call[protocol.HeartbeatRequest, protocol.HeartbeatResponse](
		"protocol.HeartbeatRequest", "protocol.HeartbeatResponse"),
	call[protocol.DeregisterRequest, protocol.DeregisterResponse](
		"protocol.DeregisterRequest", "protocol.DeregisterResponse"),
	call[protocol.SubmitRequest, protocol.SubmitResponse]("protocol.SubmitRequest", "protocol.SubmitResponse"),
	call[protocol.StatusRequest, protocol.StatusResponse]("protocol.StatusRequest", "protocol.StatusResponse"),
	call[protocol.CancelRequest, protocol.CancelResponse]("protocol.CancelRequest", "protocol.CancelResponse"),
	call[protocol.FenceRequest, protocol.FenceResponse]("protocol.FenceRequest", "protocol.FenceResponse"),
	call[protocol.PendingRequest, protocol.PendingResponse]("protocol.PendingRequest", "protocol.PendingResponse"),
	call[protocol.WatchRequest, protocol.WatchResponse]("protocol.WatchRequest", "protocol.WatchResponse"),
	call[protocol.RelayRequest, protocol.RelayResponse]("protocol.RelayRequest", "protocol.RelayResponse"),
	call[protocol.ConfigureRequest, protocol.ConfigureResponse](
		"protocol.ConfigureRequest", "protocol.ConfigureResponse"),
	call[protocol.ReadConfigurationRequest, protocol.ReadConfigurationResponse](
		"protocol.ReadConfigurationRequest", "protocol.ReadConfigurationResponse"),
	call[administration.ReportRequest, administration.Report](
		"administration.ReportRequest", "administration.Report"),
	call[administration.RunnersRequest, administration.RunnersResponse](
		"administration.RunnersRequest", "administration.RunnersResponse"),
	call[administration.JobsRequest, administration.JobsResponse](
		"administration.JobsRequest", "administration.JobsResponse"),
	call[administration.SnapshotRequest, administration.SnapshotResponse](
		"administration.SnapshotRequest", "administration.SnapshotResponse"),
	call[administration.DigestRequest, administration.DigestResponse](
		"administration.DigestRequest", "administration.DigestResponse"),
	call[administration.ResignRequest, administration.ResignResponse](
		"administration.ResignRequest", "administration.ResignResponse"),
}

// filled returns a pointer to a new value of a type, with all fields set.
func filled(t reflect.Type) any {
	value := reflect.New(t).Interface()
	fixturetest.Fill(value)
	return value
}

var pingExchange = call[protocol.PingRequest, protocol.PingResponse]("protocol.PingRequest", "protocol.PingResponse")

var _ = Describe("A recorded connection of an earlier version", func() {
	for _, e := range exchanges {
		It("is decoded as a "+e.requestName, func() {
			fixturetest.Check(GinkgoTB(), e.requestName, fixturetest.Codec{Encode: e.recordRequest, Decode: e.readRequest})
		})
		if e.response == nil {
			continue
		}
		It("is decoded as a "+e.responseName, func() {
			fixturetest.Check(GinkgoTB(), e.responseName, fixturetest.Codec{Encode: e.recordResponse, Decode: e.readResponse})
		})
	}

	for kind := failure.None + 1; kind < failure.KindCount; kind++ {
		It("is decoded as an error of kind "+kind.String(), func() {
			refused := pingExchange
			sent := &failure.Error{Kind: kind, Message: "it was " + kind.String(), Leader: "10.0.0.1:7380"}
			fixturetest.Check(GinkgoTB(), "failure."+kind.String(), fixturetest.Codec{
				Encode: func() (any, []byte, error) { return record(refused, sent) },
				Decode: func(data []byte) (any, error) { return refusal(refused, data) },
			})
		})
	}
})

// recordRequest returns a filled request and the bytes that a client sends for it.
func (e *exchange) recordRequest() (any, []byte, error) {
	listener, err := transport.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = listener.Close() }() // a listener of this exchange only; its error is ignored
	client := transport.NewClient(transport.ClientOptions{Name: recorder})
	defer client.Close()
	value, address := filled(e.request), listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if envelope, ok := value.(*replica.Envelope); ok {
		transport.Send(client, address, envelope)
	} else {
		go func() { _ = client.Do(ctx, address, value, reflect.New(e.response).Interface()) }()
	}
	conn, err := listener.Accept()
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = conn.Close() }() // its error is ignored: the test has read and written everything it needs
	data, err := readUntilValue(conn, recorder)
	if err != nil {
		return nil, nil, err
	}
	return checkTypeName(value, data, e.requestName)
}

// readRequest sends recorded bytes to a server and returns the request that its handler gets.
func (e *exchange) readRequest(data []byte) (any, error) {
	channel := make(chan received, 1)
	var response any
	if e.response != nil {
		response = reflect.New(e.response).Interface()
	}
	conn := dial(func(server *transport.Server) { e.handle(server, channel, response) })
	if _, err := conn.Write(data); err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(conn) // until the server closes the connection, after it has read everything
	if err != nil {
		return nil, err
	}
	select {
	case got := <-channel:
		if got.from != recorder {
			return nil, errors.Errorf("the handler got the sender's name %q, expected %q", got.from, recorder)
		}
		return got.value, nil
	default:
		return nil, errors.Errorf("the request did not reach its handler; the server answered %q", answer)
	}
}

// recordResponse returns a filled response and the bytes that a server sends for it.
func (e *exchange) recordResponse() (any, []byte, error) { return record(*e, nil) }

// record returns a filled response and the bytes that a server answers with. If refusal is not nil, they are for that error.
func record(e exchange, refusal *failure.Error) (any, []byte, error) {
	if refusal != nil {
		e = failingWith[protocol.PingRequest, protocol.PingResponse](refusal)
	}
	value := filled(e.response)
	channel := make(chan received, 1)
	conn := dial(func(server *transport.Server) { e.handle(server, channel, value) })
	_, request, err := e.recordRequest()
	if err != nil {
		return nil, nil, err
	}
	if _, err := conn.Write(request); err != nil {
		return nil, nil, err
	}
	answer, err := readUntilValue(conn, "")
	if err != nil {
		return nil, nil, err
	}
	if refusal != nil {
		return refusal, answer, nil
	}
	return checkTypeName(value, answer, e.responseName)
}

func failingWith[Req, Resp any](refusal error) exchange {
	e := call[Req, Resp]("", "")
	e.handle = func(server *transport.Server, _ chan<- received, _ any) {
		transport.HandleAsync(server, func(_ string, _ *Req, reply func(*Resp, error)) { reply(nil, refusal) })
	}
	return e
}

// readResponse answers a client's call with recorded bytes and returns the client's result.
func (e *exchange) readResponse(data []byte) (any, error) {
	listener, err := transport.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }() // a listener of this exchange only; its error is ignored
	go answerOnce(listener, data)
	client := transport.NewClient(transport.ClientOptions{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	response := reflect.New(e.response).Interface()
	err = client.Do(ctx, listener.Addr().String(), reflect.New(e.request).Interface(), response)
	return response, err
}

// answerOnce answers the first call on one connection with data, greeting included. It waits for the first byte after the
// client's greeting: the response must not arrive before the client has queued the call.
func answerOnce(listener net.Listener, data []byte) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // its error is ignored: the test has read and written everything it needs
	if _, err := io.ReadFull(conn, make([]byte, greeting+1)); err != nil {
		return
	}
	_, _ = conn.Write(data)
	_, _ = io.Copy(io.Discard, conn)
}

// refusal answers a client's call with recorded bytes and returns the client's error.
func refusal(e exchange, data []byte) (any, error) {
	_, err := e.readResponse(data)
	var got *failure.Error
	if !errors.As(err, &got) {
		return nil, errors.Errorf("the call returned no *failure.Error: %v", err)
	}
	return got, nil
}

// dial starts a server with the handlers that register adds, and returns a connection to it.
func dial(register func(*transport.Server)) net.Conn {
	GinkgoHelper()
	server := transport.NewServer(transport.ServerOptions{})
	register(server)
	listener, err := transport.Listen(context.Background(), "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(context.Background(), listener) }()
	DeferCleanup(server.Close)
	conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(soon))).To(Succeed())
	return conn
}

// readUntilValue reads a greeting with the given name, then frames up to the first that is no frameDefine. It returns all.
func readUntilValue(conn net.Conn, name string) ([]byte, error) {
	const lengthBytes, define = 4, 1
	if err := conn.SetReadDeadline(time.Now().Add(soon)); err != nil {
		return nil, err
	}
	var all bytes.Buffer
	reader := io.TeeReader(conn, &all)
	if _, err := io.ReadFull(reader, make([]byte, greeting+len(name))); err != nil {
		return nil, err
	}
	for {
		var length [lengthBytes]byte
		if _, err := io.ReadFull(reader, length[:]); err != nil {
			return nil, err
		}
		frame := make([]byte, binary.BigEndian.Uint32(length[:]))
		if _, err := io.ReadFull(reader, frame); err != nil {
			return nil, err
		}
		if frame[0] != define {
			return all.Bytes(), nil
		}
	}
}

// checkTypeName returns value and data, or an error if data does not describe the value's type by the given name.
func checkTypeName(value any, data []byte, name string) (any, []byte, error) {
	if !bytes.Contains(data, []byte(name)) {
		return nil, nil, errors.Errorf("the type %T is not sent under the name %s", value, name)
	}
	return value, data, nil
}

var _ = Describe("The fixtures", func() {
	It("contain every exported struct of package protocol and of administration's messages", func() {
		found := map[string]bool{}
		for _, e := range exchanges {
			collectStructs(e.request, found)
			if e.response != nil {
				collectStructs(e.response, found)
			}
		}
		messages, err := filepath.Glob("../protocol/*.go")
		Expect(err).NotTo(HaveOccurred())
		Expect(messages).NotTo(BeEmpty())
		for _, file := range append(messages, "../administration/messages.go") {
			for _, name := range exportedStructs(file) {
				Expect(found).To(HaveKey(name), "no exchange contains a %s", name)
			}
		}
	})

	It("belong to one message or error kind each, and none is missing", func() {
		known := map[string]bool{}
		for _, e := range exchanges {
			known[filepath.Base(fixturetest.Path(e.requestName))] = true
			if e.response != nil {
				known[filepath.Base(fixturetest.Path(e.responseName))] = true
			}
		}
		for kind := failure.None + 1; kind < failure.KindCount; kind++ {
			known[filepath.Base(fixturetest.Path("failure."+kind.String()))] = true
		}
		files, err := os.ReadDir(filepath.Dir(fixturetest.Path("")))
		Expect(err).NotTo(HaveOccurred())
		for _, file := range files {
			Expect(known).To(HaveKey(file.Name()), "no test reads this fixture")
		}
		Expect(files).To(HaveLen(len(known)))
	})
})

// collectStructs adds to found the names of all struct types that a value of type t can contain.
func collectStructs(t reflect.Type, found map[string]bool) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		collectStructs(t.Elem(), found)
	case reflect.Map:
		collectStructs(t.Key(), found)
		collectStructs(t.Elem(), found)
	case reflect.Struct:
		found[t.String()] = true
		for i := range t.NumField() {
			collectStructs(t.Field(i).Type, found)
		}
	}
}

// exportedStructs returns the names of the exported structs that a source file declares, as package.Type.
func exportedStructs(path string) []string {
	GinkgoHelper()
	if strings.HasSuffix(path, "_test.go") {
		return nil
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	Expect(err).NotTo(HaveOccurred())
	var names []string
	ast.Inspect(file, func(node ast.Node) bool {
		if spec, ok := node.(*ast.TypeSpec); ok && spec.Name.IsExported() {
			if _, ok := spec.Type.(*ast.StructType); ok {
				names = append(names, file.Name.Name+"."+spec.Name.Name)
			}
		}
		return true
	})
	return names
}
