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

// engine is a store under measurement, opened in a folder. put is durable when it returns.
type engine interface {
	put(key, value []byte) error
	load(keys, values [][]byte) error // as fast as it goes; durable at close at the latest
	get(key []byte) (int, error)      // the value's length
	scan() (int, error)               // reads all keys
	close() error
}

// engines open by name.
var engines = map[string]func(dir string) (engine, error){"ospreypond": openOurs, "append": openAppended}

type ours struct {
	s  *store.Store
	sp *store.Space
}

func openOurs(dir string) (engine, error) {
	s, err := store.Open(dir, store.Options{})
	if err != nil {
		return nil, err
	}
	sp, err := s.Space("bench", store.Retention{})
	return ours{s, sp}, err
}

func (o ours) put(key, value []byte) error {
	var b store.Batch
	b.Put(o.sp, key, value)
	_, err := o.s.Commit(&b)
	return err
}

func (o ours) load(keys, values [][]byte) error {
	var b store.Batch
	for i := range keys {
		b.Put(o.sp, keys[i], values[i])
	}
	_, err := o.s.Commit(&b)
	return err
}

func (o ours) get(key []byte) (int, error) {
	v, _, err := o.sp.Get(key)
	return len(v), err
}

func (o ours) scan() (int, error) {
	snap := o.s.Snapshot()
	defer snap.Close()
	it := snap.Range(o.sp, nil, nil)
	n := 0
	for it.Next() {
		n++
	}
	return n, it.Err()
}

func (o ours) close() error { return o.s.Close() }

// appended is the plainest store that keeps the promise: one file, each put appended and synced under one lock, and all of
// it in memory, which opening reads the whole file for.
type appended struct {
	mu   sync.Mutex
	file *os.File
	all  map[string][]byte
}

const lengths = 8 // before each record: the key's and the value's, four bytes each

func openAppended(dir string) (engine, error) {
	f, err := os.OpenFile(filepath.Join(dir, "log"), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	a := &appended{file: f, all: map[string][]byte{}}
	in := bufio.NewReaderSize(f, 1<<20)
	for {
		var head [lengths]byte
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

func record(b, key, value []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(key)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(value)))
	return append(append(b, key...), value...)
}

func (a *appended) put(key, value []byte) error {
	return a.load([][]byte{key}, [][]byte{value})
}

func (a *appended) load(keys, values [][]byte) error {
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

func (a *appended) get(key []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(bytes.Clone(a.all[string(key)])), nil
}

func (a *appended) scan() (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(slices.Sorted(maps.Keys(a.all))), nil
}

func (a *appended) close() error { return a.file.Close() }
