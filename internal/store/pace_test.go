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

// A pass keeps to its bytes a second, and commits go on beside it.
func TestAPassIsBoundedAndCommitsGoOnBesideIt(t *testing.T) {
	s := open(t, dir, store.Options{FS: &vfstest.Mem{}, SegmentBytes: 1 << 20, PassBytesPerS: 512 << 10})
	defer closeStore(t, s)
	sp := space(t, s, "x")
	value := strings.Repeat("v", 1000)
	for n := range 900 {
		put(t, s, sp, fmt.Sprintf("k%04d", n), value)
	}
	for n := range 900 { // six of ten are dead: some 350 KB are to be read, and written again
		if n%5 > 1 {
			put(t, s, sp, fmt.Sprintf("k%04d", n), "")
		}
	}
	done := make(chan error, 1)
	began := time.Now()
	go func() { done <- s.Compact(context.Background()) }()
	beside := 0
	for over := false; !over; {
		select {
		case err := <-done:
			require.NoError(t, err)
			over = true
		default:
			put(t, s, sp, "beside", fmt.Sprint(beside))
			beside++
			time.Sleep(time.Millisecond)
		}
	}
	require.Greater(t, time.Since(began), 500*time.Millisecond, "700 KB, less what may come at once")
	require.Greater(t, beside, 20)
}
