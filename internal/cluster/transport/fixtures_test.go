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
	soon     = 10 * time.Second // for what happens at once, on a busy machine too
	recorder = "recorder"       // name of the client whose connections are recorded
	greeting = 6                // bytes of the greeting of a client or a server without a name
)

// exchange is one kind of call, or of message without an answer. Its fixtures are all the bytes of a connection in either
// direction: the greeting, the description of the type, and one frame with all fields set.
type exchange struct {
	requestName  string // by which the type goes on the wire, and its fixture
	responseName string
	request      reflect.Type
	response     reflect.Type // nil: there is no answer
	// handle registers a handler that puts what comes into taken, and answers with the response.
	handle func(server *transport.Server, taken chan<- taken, response any)
}

// taken is what a server's handler got.
type taken struct {
	from  string
	value any
}

func call[Req, Resp any](requestName, responseName string) exchange {
	return exchange{
		requestName:  requestName,
		responseName: responseName,
		request:      reflect.TypeFor[Req](),
		response:     reflect.TypeFor[Resp](),
		handle: func(server *transport.Server, channel chan<- taken, response any) {
			transport.HandleAsync(server, func(from string, request *Req, reply func(*Resp, error)) {
				channel <- taken{from, request}
				reply(response.(*Resp), nil)
			})
		},
	}
}

func message[Msg any](name string) exchange {
	return exchange{
		requestName: name,
		request:     reflect.TypeFor[Msg](),
		handle: func(server *transport.Server, channel chan<- taken, _ any) {
			transport.HandleOneWay(server, func(from string, message *Msg) { channel <- taken{from, message} })
		},
	}
}

// exchanges are all that processes send each other. The names are those that the version of the fixtures sent.
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

func filled(t reflect.Type) any {
	value := reflect.New(t).Interface()
	fixturetest.Fill(value)
	return value
}

var pingExchange = call[protocol.PingRequest, protocol.PingResponse]("protocol.PingRequest", "protocol.PingResponse")

var _ = Describe("what the version of the fixtures sent", func() {
	for _, e := range exchanges {
		It("is read as "+e.requestName, func() {
			fixturetest.Check(GinkgoTB(), e.requestName, fixturetest.Codec{Encode: e.recordRequest, Decode: e.readRequest})
		})
		if e.response == nil {
			continue
		}
		It("is read as "+e.responseName, func() {
			fixturetest.Check(GinkgoTB(), e.responseName, fixturetest.Codec{Encode: e.recordResponse, Decode: e.readResponse})
		})
	}

	for kind := failure.None + 1; kind < failure.KindCount; kind++ {
		It("is read as the error "+kind.String(), func() {
			refused := pingExchange
			sent := &failure.Error{Kind: kind, Message: "it was " + kind.String(), Leader: "10.0.0.1:7380"}
			fixturetest.Check(GinkgoTB(), "failure."+kind.String(), fixturetest.Codec{
				Encode: func() (any, []byte, error) { return record(refused, sent) },
				Decode: func(data []byte) (any, error) { return refusal(refused, data) },
			})
		})
	}
})

// recordRequest returns a filled request and what a client sends with it.
func (e *exchange) recordRequest() (any, []byte, error) {
	listener, err := transport.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = listener.Close() }() // each exchange has its own
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
	defer func() { _ = conn.Close() }() // what matters was read or written
	data, err := untilValue(conn, recorder)
	if err != nil {
		return nil, nil, err
	}
	return named(value, data, e.requestName)
}

// readRequest returns what a server makes of what a client sent.
func (e *exchange) readRequest(data []byte) (any, error) {
	channel := make(chan taken, 1)
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
	answer, err := io.ReadAll(conn) // to its end: all was read
	if err != nil {
		return nil, err
	}
	select {
	case got := <-channel:
		if got.from != recorder {
			return nil, errors.Errorf("it comes from %q", got.from)
		}
		return got.value, nil
	default:
		return nil, errors.Errorf("it did not reach its handler; the answer: %q", answer)
	}
}

// recordResponse returns a filled response and what a server sends with it.
func (e *exchange) recordResponse() (any, []byte, error) { return record(*e, nil) }

// record returns what a server answers to the recorded request of an exchange: a filled response or, if it is not nil,
// the error.
func record(e exchange, refusal *failure.Error) (any, []byte, error) {
	if refusal != nil {
		e = refusing[protocol.PingRequest, protocol.PingResponse](refusal)
	}
	value := filled(e.response)
	channel := make(chan taken, 1)
	conn := dial(func(server *transport.Server) { e.handle(server, channel, value) })
	_, request, err := e.recordRequest()
	if err != nil {
		return nil, nil, err
	}
	if _, err := conn.Write(request); err != nil {
		return nil, nil, err
	}
	answer, err := untilValue(conn, "")
	if err != nil {
		return nil, nil, err
	}
	if refusal != nil {
		return refusal, answer, nil
	}
	return named(value, answer, e.responseName)
}

func refusing[Req, Resp any](refusal error) exchange {
	e := call[Req, Resp]("", "")
	e.handle = func(server *transport.Server, _ chan<- taken, _ any) {
		transport.HandleAsync(server, func(_ string, _ *Req, reply func(*Resp, error)) { reply(nil, refusal) })
	}
	return e
}

// readResponse returns what a client makes of what a server answered.
func (e *exchange) readResponse(data []byte) (any, error) {
	listener, err := transport.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }() // each exchange has its own
	go answerOnce(listener, data)
	client := transport.NewClient(transport.ClientOptions{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	response := reflect.New(e.response).Interface()
	err = client.Do(ctx, listener.Addr().String(), reflect.New(e.request).Interface(), response)
	return response, err
}

// answerOnce answers the first call of one client with data, greeting included. The call is under way as soon as there is
// anything behind the client's greeting.
func answerOnce(listener net.Listener, data []byte) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // what matters was read or written
	if _, err := io.ReadFull(conn, make([]byte, greeting+1)); err != nil {
		return
	}
	_, _ = conn.Write(data)
	_, _ = io.Copy(io.Discard, conn)
}

// refusal returns the error that a client makes of what a server answered.
func refusal(e exchange, data []byte) (any, error) {
	_, err := e.readResponse(data)
	var got *failure.Error
	if !errors.As(err, &got) {
		return nil, errors.Errorf("no error of a kind: %v", err)
	}
	return got, nil
}

// dial starts a server and returns a connection to it.
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

// untilValue reads a greeting, descriptions of types, and the first frame that is none.
func untilValue(conn net.Conn, name string) ([]byte, error) {
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

// named checks that data describes the type by the name that it always had.
func named(value any, data []byte, name string) (any, []byte, error) {
	if !bytes.Contains(data, []byte(name)) {
		return nil, nil, errors.Errorf("it is not sent as %s", name)
	}
	return value, data, nil
}

var _ = Describe("the fixtures of messages", func() {
	It("are of all types that packages protocol and administration have messages of", func() {
		reached := map[string]bool{}
		for _, e := range exchanges {
			reach(e.request, reached)
			if e.response != nil {
				reach(e.response, reached)
			}
		}
		messages, err := filepath.Glob("../protocol/*.go")
		Expect(err).NotTo(HaveOccurred())
		Expect(messages).NotTo(BeEmpty())
		for _, file := range append(messages, "../administration/messages.go") {
			for _, name := range structs(file) {
				Expect(reached).To(HaveKey(name), "%s has no fixture", name)
			}
		}
	})

	It("belong to a message each", func() {
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
			Expect(known).To(HaveKey(file.Name()), "nothing reads it")
		}
		Expect(files).To(HaveLen(len(known)))
	})
})

// reach notes the named structs that a value of type t may hold.
func reach(t reflect.Type, reached map[string]bool) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		reach(t.Elem(), reached)
	case reflect.Map:
		reach(t.Key(), reached)
		reach(t.Elem(), reached)
	case reflect.Struct:
		reached[t.String()] = true
		for i := range t.NumField() {
			reach(t.Field(i).Type, reached)
		}
	}
}

// structs returns the exported structs that a file of source declares, as package.Type.
func structs(path string) []string {
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
