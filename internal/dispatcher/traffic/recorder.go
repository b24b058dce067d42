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
	// spaceName is the keyspace of the records, and metaName the keyspace of the salt.
	spaceName = "traffic"
	metaName  = "traffic.meta"
	saltKey   = "salt"
	// queueSize is how many records may be queued for writing; further ones are dropped.
	queueSize = 2048
	// maxBatch is the most records in one commit, and batchInterval is the longest time that a record waits for its commit.
	maxBatch      = 512
	batchInterval = 100 * time.Millisecond
	// syncInterval is the interval of syncs to disk: a power failure loses at most the records of this time.
	syncInterval = time.Second
	// dropLogInterval is the minimum interval between log lines about drops.
	dropLogInterval = 10 * time.Second
)

// Recorder records requests and how they ended. It implements coordinator.Observer, and is safe for concurrent use. Close
// must be called.
type Recorder struct {
	store   *store.Store
	space   *store.Space
	salt    []byte
	log     logrus.FieldLogger
	queue   chan Record
	stop    chan struct{}  // closed by Close
	done    sync.WaitGroup // for write
	seq     uint64         // the number in the last record's key; it starts at random, so that runs don't use the same keys
	dropped atomic.Uint64  // number of records
	written atomic.Uint64  // number of records
}

// Open opens or creates the store in dir and starts to record. keep bounds the age and the size of the records kept.
func Open(dir string, keep store.Retention, log logrus.FieldLogger) (*Recorder, error) {
	return open(dir, keep, log, store.Options{})
}

// open is Open with options for the store.
func open(dir string, keep store.Retention, log logrus.FieldLogger, opt store.Options) (*Recorder, error) {
	opt.SyncEvery, opt.SegmentBytes, opt.Log = syncInterval, 8<<20, log
	opt.CacheBytes, opt.PassBytesPerS = 256<<10, 8<<20 // small, as the dispatcher's own work needs the memory and the disk
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

// prepare opens the keyspaces, and reads the salt or creates it.
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
	// The record is made here, so that the queue doesn't retain the request's body. write computes the hashes, which take
	// longer.
	select {
	case r.queue <- newRecord(&e):
	default:
		r.dropped.Add(1)
	}
}

// Dropped returns how many requests were not recorded, because the queue was full or the store failed.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// write commits queued records until Close, and logs at most every dropLogInterval how many were dropped.
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

// add adds a record to a batch.
func (r *Recorder) add(b *store.Batch, rec Record) {
	rec.hashKeys(r.salt)
	value, err := json.Marshal(rec)
	if err != nil { // Slots or Memory is a value that JSON has no form for
		r.dropped.Add(1)
		return
	}
	r.seq++
	b.Put(r.space, recordKey(time.UnixMicro(rec.ArrivedUs), r.seq), value)
}

// flush commits a batch and empties it. After an error it counts the batch's records as dropped.
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

// Close writes the queued records and closes the store. RequestEnded must not be called during or after it.
func (r *Recorder) Close() error {
	close(r.stop)
	r.done.Wait()
	r.log.WithFields(logrus.Fields{"written": r.written.Load(), "dropped": r.dropped.Load()}).Info("recording ended")
	if err := r.store.Close(); err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	return nil
}
