package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"golang.org/x/sys/unix"

	"ospreypond/internal/store"
)

// engine is an open store under measurement. A record is durable when put returns.
type engine interface {
	put(key, value []byte) error
	load(keys, values [][]byte) error // stores many records at once; they are durable after close at the latest
	get(key []byte) (int, error)      // returns the value's length; 0 if there is no such key
	scan() (int, error)               // reads all keys and returns their number
	close() error
}

// engines contains the function that opens each engine in a folder, by the engine's name.
var engines = map[string]func(dir string) (engine, error){"ospreypond": openDurableStore, "append": openAppendFile}

// durableStore is the engine of package store, with one space.
type durableStore struct {
	s  *store.Store
	sp *store.Space
}

func openDurableStore(dir string) (engine, error) {
	s, err := store.Open(dir, store.Options{})
	if err != nil {
		return nil, err
	}
	sp, err := s.Space("bench", store.Retention{})
	return durableStore{s, sp}, err
}

func (o durableStore) put(key, value []byte) error {
	var b store.Batch
	b.Put(o.sp, key, value)
	_, err := o.s.Commit(&b)
	return err
}

func (o durableStore) load(keys, values [][]byte) error {
	var b store.Batch
	for i := range keys {
		b.Put(o.sp, keys[i], values[i])
	}
	_, err := o.s.Commit(&b)
	return err
}

func (o durableStore) get(key []byte) (int, error) {
	v, _, err := o.sp.Get(key)
	return len(v), err
}

func (o durableStore) scan() (int, error) {
	snap := o.s.Snapshot()
	defer snap.Close()
	it := snap.Range(o.sp, nil, nil)
	n := 0
	for it.Next() {
		n++
	}
	return n, it.Err()
}

func (o durableStore) close() error { return o.s.Close() }

// appendFile is the simplest durable store, as a baseline. Each put appends its record to one file and syncs it, under one
// mutex. All records are also in memory; opening reads the whole file.
type appendFile struct {
	mu   sync.Mutex
	file *os.File
	all  map[string][]byte
}

const headerBytes = 8 // size in bytes of the header of a record: the lengths of key and value, four bytes each

func openAppendFile(dir string) (engine, error) {
	f, err := os.OpenFile(filepath.Join(dir, "log"), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	a := &appendFile{file: f, all: map[string][]byte{}}
	in := bufio.NewReaderSize(f, 1<<20)
	for {
		var head [headerBytes]byte
		if _, err := io.ReadFull(in, head[:]); errors.Is(err, io.EOF) {
			return a, nil
		} else if err != nil {
			return nil, err
		}
		key := make([]byte, binary.LittleEndian.Uint32(head[:]))
		value := make([]byte, binary.LittleEndian.Uint32(head[4:]))
		if _, err := io.ReadFull(in, key); err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(in, value); err != nil {
			return nil, err
		}
		a.all[string(key)] = value
	}
}

// record appends the encoded record to b.
func record(b, key, value []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(key)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(value)))
	return append(append(b, key...), value...)
}

func (a *appendFile) put(key, value []byte) error {
	return a.load([][]byte{key}, [][]byte{value})
}

func (a *appendFile) load(keys, values [][]byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	var b []byte
	for i := range keys {
		b = record(b, keys[i], values[i])
	}
	if _, err := a.file.Write(b); err != nil {
		return err
	}
	for i := range keys {
		a.all[string(keys[i])] = values[i]
	}
	return unix.Fdatasync(int(a.file.Fd()))
}

func (a *appendFile) get(key []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(bytes.Clone(a.all[string(key)])), nil
}

func (a *appendFile) scan() (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(slices.Sorted(maps.Keys(a.all))), nil
}

func (a *appendFile) close() error { return a.file.Close() }
