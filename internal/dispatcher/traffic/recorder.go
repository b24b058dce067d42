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
	// spaceName is the keyspace of the records, and metaName the one of what goes with them.
	spaceName = "traffic"
	metaName  = "traffic.meta"
	saltKey   = "salt"
	// queueSize is how many requests may wait to be written.
	queueSize = 2048
	// batchMost bounds the records of one commit, and batchEvery is how long the first of them may wait.
	batchMost  = 512
	batchEvery = 100 * time.Millisecond
	// syncEvery is what a power cut may cost.
	syncEvery = time.Second
	// sayEvery bounds how often drops are logged.
	sayEvery = 10 * time.Second
)

// Recorder writes how requests ended. It is a coordinator.Observer.
type Recorder struct {
	s       *store.Store
	space   *store.Space
	salt    []byte
	log     logrus.FieldLogger
	queue   chan Record
	stop    chan struct{}
	done    sync.WaitGroup
	run     uint64 // random: keeps this run's records apart from another's of the same microsecond
	dropped atomic.Uint64
	written atomic.Uint64
}

// Open starts to record in a folder.
func Open(dir string, keep store.Retention, log logrus.FieldLogger) (*Recorder, error) {
	return open(dir, keep, log, store.Options{})
}

func open(dir string, keep store.Retention, log logrus.FieldLogger, opt store.Options) (*Recorder, error) {
	opt.SyncEvery, opt.SegmentBytes, opt.Log = syncEvery, 8<<20, log
	opt.CacheBytes, opt.PassBytesPerS = 256<<10, 8<<20 // next to the dispatcher's own work in little memory
	s, err := store.Open(dir, opt)
	if err != nil {
		return nil, err
	}
	r := &Recorder{s: s, log: log, queue: make(chan Record, queueSize), stop: make(chan struct{})}
	if err := r.prepare(keep); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	r.done.Add(1)
	go r.write()
	return r, nil
}

func (r *Recorder) prepare(keep store.Retention) error {
	meta, err := r.s.Space(metaName, store.Retention{})
	if err != nil {
		return err
	}
	if r.space, err = r.s.Space(spaceName, keep); err != nil {
		return err
	}
	var run [8]byte
	if _, err := rand.Read(run[:]); err != nil {
		return err
	}
	r.run = binary.BigEndian.Uint64(run[:])
	if r.salt, _, err = meta.Get([]byte(saltKey)); !errors.Is(err, store.ErrNotFound) {
		return err
	}
	r.salt = make([]byte, saltSize)
	if _, err := rand.Read(r.salt); err != nil {
		return err
	}
	var b store.Batch
	b.Put(meta, []byte(saltKey), r.salt)
	_, err = r.s.Commit(&b)
	return err
}

// RequestEnded takes in how a request ended. It never waits.
func (r *Recorder) RequestEnded(e coordinator.EndedRequest) {
	// Made here, so that the request's body is not held on to; the hashes are the writer's work.
	select {
	case r.queue <- newRecord(&e):
	default:
		r.dropped.Add(1)
	}
}

// Dropped tells how many requests were not recorded, for lack of time or room.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// write is the goroutine that writes.
func (r *Recorder) write() {
	defer r.done.Done()
	tick := time.NewTicker(batchEvery)
	defer tick.Stop()
	var b store.Batch
	var said time.Time
	var told uint64
	for open := true; open; {
		select {
		case rec := <-r.queue:
			r.add(&b, rec)
			if b.Len() < batchMost {
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
		if n := r.dropped.Load(); n != told && (time.Since(said) >= sayEvery || !open) {
			r.log.WithError(err).WithFields(logrus.Fields{"dropped": n - told, "written": r.written.Load()}).
				Warn("requests were not recorded")
			said, told = time.Now(), n
		}
	}
}

func (r *Recorder) add(b *store.Batch, rec Record) {
	rec.seal(r.salt)
	value, err := json.Marshal(rec)
	if err != nil { // a figure that JSON has no word for
		r.dropped.Add(1)
		return
	}
	r.run++
	b.Put(r.space, recordKey(time.UnixMicro(rec.ArrivedUs), r.run), value)
}

func (r *Recorder) flush(b *store.Batch) error {
	if b.Len() == 0 {
		return nil
	}
	n := uint64(b.Len())
	_, err := r.s.Commit(b)
	b.Reset()
	if err != nil {
		r.dropped.Add(n)
		return err
	}
	r.written.Add(n)
	return nil
}

// Close writes what is waiting and closes the store. Nothing may be recorded any more then.
func (r *Recorder) Close() error {
	close(r.stop)
	r.done.Wait()
	r.log.WithFields(logrus.Fields{"written": r.written.Load(), "dropped": r.dropped.Load()}).Info("recording ended")
	if err := r.s.Close(); err != nil {
		return fmt.Errorf("traffic: %w", err)
	}
	return nil
}
