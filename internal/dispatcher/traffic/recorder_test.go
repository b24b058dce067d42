package traffic

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/internal/store"
	"ospreypond/internal/store/vfs/vfstest"
	"ospreypond/policy"
)

// discardLogger returns a logger without output.
func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// ended returns a request that arrived n ms after a fixed time and failed after 70 ms. Its first attempt ended as a reset,
// and its second one is open.
func ended(n int) coordinator.EndedRequest {
	at := time.UnixMilli(1_700_000_000_000).Add(time.Duration(n) * time.Millisecond)
	return coordinator.EndedRequest{Request: &coordinator.Request{ID: fmt.Sprint(n), Class: "cobro", Tenant: "t", Key: "the-route",
		IdempotencyKey: "the-key", Arrived: at, Deadline: at.Add(6 * time.Second), Work: 30 * time.Millisecond, Slots: 1,
		Body: []byte("the body")}, Response: coordinator.Failed, RespondedAt: at.Add(70 * time.Millisecond),
		Attempts: []coordinator.EndedAttempt{{Target: "r1", Sent: at.Add(5 * time.Millisecond), Took: 60 * time.Millisecond, Ended: true, Outcome: policy.Reset},
			{Target: "r2", Sent: at.Add(66 * time.Millisecond)}}}
}

// Records of two runs of the process are exported in order of arrival, without bodies, and with the same hashes for the
// same keys.
func TestRecordAndExport(t *testing.T) {
	dir := t.TempDir()
	for range 2 { // the second run opens the store of the first
		r, err := Open(dir, store.Retention{}, discardLogger())
		require.NoError(t, err)
		for n := range 3 {
			r.RequestEnded(ended(n))
		}
		require.NoError(t, r.Close())
		require.Zero(t, r.Dropped())
	}
	var out bytes.Buffer
	n, err := Export(context.Background(), dir, JSONL, time.Time{}, time.Time{}, &out)
	require.NoError(t, err)
	require.Equal(t, 6, n)
	require.NotContains(t, out.String(), "the-")
	var recs []Record
	for l := range strings.Lines(out.String()) {
		var rec Record
		require.NoError(t, json.Unmarshal([]byte(l), &rec))
		recs = append(recs, rec)
	}
	require.Equal(t, recs[0], recs[1], "the same hashes in both runs")
	require.Less(t, recs[0].ArrivedUs, recs[2].ArrivedUs)
	require.Len(t, recs[0].Key, 16)
	require.NotEqual(t, recs[0].Key, recs[0].Idempotency)
	rec := recs[0]
	rec.Key, rec.Idempotency = "", ""
	require.Equal(t, Record{ArrivedUs: 1_700_000_000_000_000, Class: "cobro", Tenant: "t", DeadlineUs: 6_000_000, WorkUs: 30_000,
		Slots: 1, BodyBytes: 8, Response: "failed", RespondedUs: 70_000,
		Attempts: []Attempt{{"r1", 5_000, 60_000, "reset"}, {"r2", 66_000, 0, "open"}}}, rec)

	out.Reset()
	n, err = Export(context.Background(), dir, CSV, time.UnixMicro(recs[2].ArrivedUs), time.UnixMicro(recs[4].ArrivedUs), &out)
	require.NoError(t, err)
	require.Equal(t, 2, n)
	require.Contains(t, out.String(), "r1;5000;60000;reset r2;66000;0;open")
}

// If the disk hangs or is full, records are dropped and counted, and no request is delayed.
func TestRecordingNeverBlocksARequest(t *testing.T) {
	var full, stuck atomic.Bool
	release := make(chan struct{})
	fsys := &vfstest.Mem{OnCall: func(c vfstest.Call) vfstest.Fault {
		if stuck.Load() && c.Op == "write" {
			<-release
		}
		if full.Load() && c.Op == "write" {
			return vfstest.Fault{Err: syscall.ENOSPC}
		}
		return vfstest.Fault{}
	}}
	r, err := open("/traffic", store.Retention{}, discardLogger(), store.Options{FS: fsys})
	require.NoError(t, err)
	stuck.Store(true)
	began := time.Now()
	const many = 3 * queueSize
	for n := range many {
		r.RequestEnded(ended(n))
	}
	require.Less(t, time.Since(began), 5*time.Second)
	require.Positive(t, r.Dropped(), "the queue is bounded")
	stuck.Store(false)
	full.Store(true)
	close(release)
	require.Eventually(t, func() bool { return len(r.queue) == 0 }, 20*time.Second, time.Millisecond)
	time.Sleep(2 * batchInterval)
	full.Store(false)
	before := r.Dropped()
	for n := range 10 {
		r.RequestEnded(ended(many + n))
	}
	require.NoError(t, r.Close())
	require.Equal(t, before, r.Dropped(), "records are written again once the disk has space")
	require.EqualValues(t, many+10, r.Dropped()+r.written.Load(), "each record is either written or counted as dropped")
}
