package control

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"testing"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// BenchmarkCompress compresses and decompresses a complete configuration of 20,000 routes in the form that followers get.
func BenchmarkCompress(b *testing.B) {
	body := []byte(`{"version":1,"services":[{"name":"a"}],"routes":[`)
	for i := range 20000 {
		if i > 0 {
			body = append(body, ',')
		}
		body = fmt.Appendf(body, `{"name":"r-%07x","host":"h%d.example","pathPrefix":"/p%d/","kind":"non_idempotent",`+
			`"timeoutMs":3000,"targetLatencyMs":800,"priority":1,"service":"a","maxAttempts":3,"extension":4.0}`, i*7919%(1<<28), i%7, i)
	}
	state := configuration.NewState()
	command := configuration.Command{Kind: protocol.ConfigurationReplace, Body: append(body, `]}`...)}
	if result := state.Execute(command); result.Kind != failure.None {
		b.Fatal(result.Message)
	}
	plain, err := state.Since(0, true)
	if err != nil {
		b.Fatal(err)
	}
	var packed []byte
	b.Run("compress", func(b *testing.B) {
		for b.Loop() {
			packed, _ = (&compressor{}).compress(plain)
		}
		b.ReportMetric(float64(len(plain)), "plain-bytes")
		b.ReportMetric(float64(len(packed)), "packed-bytes")
	})
	b.Run("decompress", func(b *testing.B) {
		for b.Loop() {
			if _, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed))); err != nil {
				b.Fatal(err)
			}
		}
	})
}
