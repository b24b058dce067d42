package store_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreypond/internal/store"
	"ospreypond/internal/store/vfs/vfstest"
)

// Guards against a pass that exceeds Options.PassBytesPerS, and against commits that wait for a pass to end.
func TestAPassKeepsItsByteRateWhileCommitsContinue(t *testing.T) {
	s := open(t, dir, store.Options{FS: &vfstest.Mem{}, SegmentBytes: 1 << 20, PassBytesPerS: 512 << 10})
	defer closeStore(t, s)
	sp := space(t, s, "x")
	value := strings.Repeat("v", 1000)
	for n := range 900 {
		put(t, s, sp, fmt.Sprintf("k%04d", n), value)
	}
	for n := range 900 { // 540 of the 900 values are garbage: a pass reads the other 350 KB or so and writes them again
		if n%5 > 1 {
			put(t, s, sp, fmt.Sprintf("k%04d", n), "")
		}
	}
	done := make(chan error, 1)
	began := time.Now()
	go func() { done <- s.Compact(context.Background()) }()
	commits := 0
	for ended := false; !ended; {
		select {
		case err := <-done:
			require.NoError(t, err)
			ended = true
		default:
			put(t, s, sp, "during the pass", fmt.Sprint(commits))
			commits++
			time.Sleep(time.Millisecond)
		}
	}
	require.Greater(t, time.Since(began), 500*time.Millisecond, "700 KB at 512 KiB a second, less the limiter's burst")
	require.Greater(t, commits, 20)
}
