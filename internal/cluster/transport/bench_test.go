package transport

import (
	"context"
	"testing"
)

func benchmarkServer(b *testing.B) (address string) {
	b.Helper()
	server := NewServer(ServerOptions{})
	HandleAsync(server, func(_ string, q *question, respond func(*reply, error)) {
		respond(&reply{Text: q.Text, Inner: inner{Values: []int{q.Number}}}, nil)
	})
	HandleOneWay(server, func(string, *notice) {})
	listener, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(context.Background(), listener) }()
	b.Cleanup(server.Close)
	return listener.Addr().String()
}

// BenchmarkCall measures one call after the other: both sides, in one process.
func BenchmarkCall(b *testing.B) {
	address := benchmarkServer(b)
	client := NewClient(ClientOptions{})
	b.Cleanup(client.Close)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Call[question, reply](context.Background(), client, address, &question{Text: "hello", Number: 7}); err != nil {
			b.Fatal(err)
		}
	}
}
