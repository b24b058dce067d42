package replica

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
)

// BenchmarkIdle measures how long one second of virtual time takes for five machines with five idle groups.
func BenchmarkIdle(b *testing.B) {
	RegisterTestingT(b)
	c := newCluster(1, 5)
	c.logger = log.NewNopLogger()
	c.startFirst(5)
	c.run(20 * time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		c.run(time.Second)
	}
}

// BenchmarkCommit measures how long three machines take to commit 100 commands, proposed ten at a time.
func BenchmarkCommit(b *testing.B) {
	RegisterTestingT(b)
	c := newCluster(1, 1)
	c.logger = log.NewNopLogger()
	c.startFirst(3)
	c.run(20 * time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		for range 10 {
			for range 10 {
				c.propose(0, 300, nil)
			}
			c.run(20 * time.Millisecond)
		}
	}
}
