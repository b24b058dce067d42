package traffic

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/internal/store"
)

const (
	// spaceName is the keyspace of the records, and metaName that of the salt.
	spaceName = "traffic"
	metaName  = "traffic.meta"
	saltKey   = "salt"
	// queueSize is how many records may be queued for writing.
	queueSize = 2048
	// maxBatch bounds the records of a commit, and batchInterval is how long the first of them may be delayed.
	maxBatch      = 512
	batchInterval = 100 * time.Millisecond
	// syncInterval is how much a power failure may lose.
	syncInterval = time.Second
	// dropLogInterval is the minimum interval between log lines about drops.
	dropLogInterval = 10 * time.Second
)

// Recorder records how requests ended. It is a coordinator.Observer and safe for concurrent use. Close must be
// called.
type Recorder struct {
	store   *store.Store
	space   *store.Space
	salt    []byte
	log     logrus.FieldLogger
	queue   chan Record
	stop    chan struct{}
	done    sync.WaitGroup
	seq     uint64 // of the next record; starts at random, to separate runs within a microsecond
	dropped atomic.Uint64
	written atomic.Uint64
}

// Open opens or creates the store in a folder and starts to record. keep is how long records are kept.
func Open(dir string, keep store.Retention, log logrus.FieldLogger) (*Recorder, error) {
	return open(dir, keep, log, store.Options{})
}

func open(dir string, keep store.Retention, log logrus.FieldLogger, opt store.Options) (*Recorder, error) {
	opt.SyncEvery, opt.SegmentBytes, opt.Log = syncInterval, 8<<20, log
	opt.CacheBytes, opt.PassBytesPerS = 256<<10, 8<<20 // little memory, beside the dispatcher's own work
	s, err := store.Open(dir, opt)
	if err != nil {
		return nil, err
	}
	r := &Recorder{store: s, log: log, queue: make(chan Record, queueSize), stop: make(chan struct{})}
	if err := r.prepare(keep); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	r.done.Add(1)
	go r.write()
	return r, nil
}

func (r *Recorder) prepare(keep store.Retention) error {
	meta, err := r.store.Space(metaName, store.Retention{})
	if err != nil {
		return err
	}
	if r.space, err = r.store.Space(spaceName, keep); err != nil {
		return err
	}
	var run [8]byte
	if _, err := rand.Read(run[:]); err != nil {
		return err
	}
	r.seq = binary.BigEndian.Uint64(run[:])
	if r.salt, _, err = meta.Get([]byte(saltKey)); !errors.Is(err, store.ErrNotFound) {
		return err
	}
	r.salt = make([]byte, saltSize)
	if _, err := rand.Read(r.salt); err != nil {
		return err
	}
	var b store.Batch
	b.Put(meta, []byte(saltKey), r.salt)
	_, err = r.store.Commit(&b)
	return err
}

// RequestEnded queues the record of a request. It never blocks.
func (r *Recorder) RequestEnded(e coordinator.EndedRequest) {
	// The record is made here, so that the request's body is not retained; the hashes are the writer's work.
	select {
	case r.queue <- newRecord(&e):
	default:
		r.dropped.Add(1)
	}
}

// Dropped returns how many requests were not recorded, because the queue was full or the store failed.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// write commits queued records until Close.
func (r *Recorder) write() {
	defer r.done.Done()
	tick := time.NewTicker(batchInterval)
	defer tick.Stop()
	var b store.Batch
	var loggedAt time.Time
	var logged uint64
	for open := true; open; {
		select {
		case rec := <-r.queue:
			r.add(&b, rec)
			if b.Len() < maxBatch {
				continue
			}
		case <-tick.C:
		case <-r.stop:
			open = false
			for more := true; more; {
				select {
				case rec := <-r.queue:
					r.add(&b, rec)
				default:
					more = false
				}
			}
		}
		err := r.flush(&b)
		if n := r.dropped.Load(); n != logged && (time.Since(loggedAt) >= dropLogInterval || !open) {
			r.log.WithError(err).WithFields(logrus.Fields{"dropped": n - logged, "written": r.written.Load()}).
				Warn("requests were not recorded")
			loggedAt, logged = time.Now(), n
		}
	}
}

func (r *Recorder) add(b *store.Batch, rec Record) {
	rec.hashKeys(r.salt)
	value, err := json.Marshal(rec)
	if err != nil { // a float that JSON can't express
		r.dropped.Add(1)
		return
	}
	r.seq++
	b.Put(r.space, recordKey(time.UnixMicro(rec.ArrivedUs), r.seq), value)
}

func (r *Recorder) flush(b *store.Batch) error {
	if b.Len() == 0 {
		return nil
	}
	n := uint64(b.Len())
	_, err := r.store.Commit(b)
	b.Reset()
	if err != nil {
		r.dropped.Add(n)
		return err
	}
	r.written.Add(n)
	return nil
}

// Close writes the queued records and closes the store. RequestEnded must not be called any more.
func (r *Recorder) Close() error {
	close(r.stop)
	r.done.Wait()
	r.log.WithFields(logrus.Fields{"written": r.written.Load(), "dropped": r.dropped.Load()}).Info("recording ended")
	if err := r.store.Close(); err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	return nil
}
