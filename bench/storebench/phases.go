package main

import (
	"encoding/binary"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cespare/xxhash/v2"
)

// figures are the measured values of one phase, by name. The names contain the unit.
type figures map[string]float64

const (
	valueSize = 200 // bytes
	keySize   = 16  // bytes
)

// key returns the key of record n, which is the same for all engines. It begins with a hash of n, so that the keys of
// consecutive records are in no order.
func key(n uint64) []byte {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	k := binary.BigEndian.AppendUint64(make([]byte, 0, keySize), xxhash.Sum64(b[:]))
	return binary.BigEndian.AppendUint64(k, n)
}

// value returns a random value.
func value(rnd *rand.Rand) []byte {
	b := make([]byte, valueSize)
	for i := 0; i < valueSize; i += 8 {
		binary.LittleEndian.PutUint64(b[i:], rnd.Uint64())
	}
	return b
}

// measureCommitRate measures how fast concurrent writers put records, one durable commit per record, for a duration. If keys
// is 0, each commit puts a new key; otherwise the commits put random ones of that many keys.
func measureCommitRate(e engine, writers int, keys uint64, duration time.Duration) (figures, error) {
	var mu sync.Mutex
	all := hdrhistogram.New(1, int64(time.Minute), 3)
	var failed error
	var wg sync.WaitGroup
	began := time.Now()
	for w := range writers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(w), 5))
			own := hdrhistogram.New(1, int64(time.Minute), 3)
			var err error
			for n := uint64(w) << 40; err == nil && time.Since(began) < duration; n++ {
				k := n
				if keys > 0 {
					k = rnd.Uint64N(keys)
				}
				at := time.Now()
				err = e.put(key(k), value(rnd))
				_ = own.RecordValue(int64(time.Since(at)))
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
			if err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	took := time.Since(began).Seconds()
	return figures{"per_s": float64(all.TotalCount()) / took, "p50_us": float64(all.ValueAtQuantile(50)) / 1e3,
		"p99_us": float64(all.ValueAtQuantile(99)) / 1e3, "max_us": float64(all.Max()) / 1e3}, failed
}

// load stores that many records in batches.
func load(e engine, records int) error {
	rnd := rand.New(rand.NewPCG(1, 1))
	const batch = 5000
	for n := 0; n < records; n += batch {
		var keys, values [][]byte
		for i := n; i < min(n+batch, records); i++ {
			keys, values = append(keys, key(uint64(i))), append(values, value(rnd))
		}
		if err := e.load(keys, values); err != nil {
			return err
		}
	}
	return nil
}

// heap returns the size of the live heap in bytes. It collects garbage twice, because objects with finalizers and the
// objects of a sync.Pool survive the first collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// resident returns the resident memory of the process in bytes, or 0 if it can't be read.
func resident() float64 {
	b, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb * 1024
		}
	}
	return 0
}

// diskBytes returns the total size of the files in a folder, in bytes.
func diskBytes(dir string) float64 {
	var n int64
	_ = filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err == nil && d.Type().IsRegular() {
			if info, err := d.Info(); err == nil {
				n += info.Size()
			}
		}
		return nil
	})
	return float64(n)
}

// measureFill measures the time to load records into a new store and to close it, and the memory and disk space that the
// records take.
func measureFill(open func(string) (engine, error), dir string, records int) (figures, error) {
	before := heap()
	e, err := open(dir)
	if err != nil {
		return nil, err
	}
	at := time.Now()
	if err := load(e, records); err != nil {
		return nil, err
	}
	f := figures{"load_s": time.Since(at).Seconds(), "heap_b_per_record": (heap() - before) / float64(records),
		"rss_mb": resident() / 1e6}
	at = time.Now()
	if err := e.close(); err != nil {
		return nil, err
	}
	f["close_s"] = time.Since(at).Seconds()
	f["disk_b_per_record"] = diskBytes(dir) / float64(records)
	return f, nil
}

// measureOpen measures the time to open a filled store and to read from it, and the memory that this takes.
func measureOpen(open func(string) (engine, error), dir string, records int) (figures, error) {
	before := heap()
	at := time.Now()
	e, err := open(dir)
	if err != nil {
		return nil, err
	}
	f := figures{"open_ms": time.Since(at).Seconds() * 1e3}
	if _, err := e.get(key(7)); err != nil {
		return nil, err
	}
	f["open_and_get_ms"] = time.Since(at).Seconds() * 1e3
	f["open_heap_b_per_record"] = (heap() - before) / float64(records)
	f["open_rss_mb"] = resident() / 1e6
	at = time.Now()
	n, err := e.scan()
	if err != nil || n != records {
		return nil, fmt.Errorf("scan: %d keys instead of %d: %w", n, records, err)
	}
	f["scan_keys_ms"] = time.Since(at).Seconds() * 1e3
	const gets = 100_000
	rnd := rand.New(rand.NewPCG(3, 3))
	at = time.Now()
	for range gets {
		if n, err := e.get(key(rnd.Uint64N(uint64(records)))); err != nil || n != valueSize {
			return nil, fmt.Errorf("get: value of %d bytes: %w", n, err)
		}
	}
	f["get_us"] = time.Since(at).Seconds() * 1e6 / gets
	f["after_reads_rss_mb"] = resident() / 1e6
	return f, e.close()
}
