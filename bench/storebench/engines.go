package main

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/pebble/v2"
	"go.etcd.io/bbolt"

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

// engines open by name. bbolt commits either one by one or in batches of whoever waits.
var engines = map[string]func(dir string) (engine, error){
	"ospreypond":  openOurs,
	"pebble":      openPebble,
	"bbolt":       func(dir string) (engine, error) { return openBolt(dir, false) },
	"bbolt-batch": func(dir string) (engine, error) { return openBolt(dir, true) },
}

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

type peb struct{ d *pebble.DB }

type quiet struct{}

func (quiet) Infof(string, ...any)      {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Fatalf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }

func openPebble(dir string) (engine, error) {
	d, err := pebble.Open(dir, &pebble.Options{Logger: quiet{}})
	return peb{d}, err
}

func (p peb) put(key, value []byte) error { return p.d.Set(key, value, pebble.Sync) }

func (p peb) load(keys, values [][]byte) error {
	b := p.d.NewBatch()
	for i := range keys {
		if err := b.Set(keys[i], values[i], nil); err != nil {
			return err
		}
	}
	return b.Commit(pebble.NoSync)
}

func (p peb) get(key []byte) (int, error) {
	v, c, err := p.d.Get(key)
	if err != nil {
		return 0, err
	}
	n := len(bytes.Clone(v)) // the others copy too
	return n, c.Close()
}

func (p peb) scan() (int, error) {
	it, err := p.d.NewIter(nil)
	if err != nil {
		return 0, err
	}
	n := 0
	for it.First(); it.Valid(); it.Next() {
		n++
	}
	return n, errors.Join(it.Error(), it.Close())
}

func (p peb) close() error { return p.d.Close() }

type bolt struct {
	d     *bbolt.DB
	batch bool
}

var bucket = []byte("bench")

func openBolt(dir string, batch bool) (engine, error) {
	d, err := bbolt.Open(filepath.Join(dir, "bolt.db"), 0o600, &bbolt.Options{FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, err
	}
	if d.View(func(tx *bbolt.Tx) error {
		if tx.Bucket(bucket) == nil {
			return errors.New("none")
		}
		return nil
	}) != nil {
		err = d.Update(func(tx *bbolt.Tx) error {
			_, err := tx.CreateBucket(bucket)
			return err
		})
	}
	return bolt{d, batch}, err
}

func (b bolt) put(key, value []byte) error {
	f := func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, value) }
	if b.batch {
		return b.d.Batch(f)
	}
	return b.d.Update(f)
}

func (b bolt) load(keys, values [][]byte) error {
	return b.d.Update(func(tx *bbolt.Tx) error {
		for i := range keys {
			if err := tx.Bucket(bucket).Put(keys[i], values[i]); err != nil {
				return err
			}
		}
		return nil
	})
}

func (b bolt) get(key []byte) (int, error) {
	n := 0
	return n, b.d.View(func(tx *bbolt.Tx) error {
		n = len(bytes.Clone(tx.Bucket(bucket).Get(key)))
		return nil
	})
}

func (b bolt) scan() (int, error) {
	n := 0
	return n, b.d.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucket).Cursor()
		for k, _ := c.First(); k != nil; k, _ = c.Next() {
			n++
		}
		return nil
	})
}

func (b bolt) close() error { return b.d.Close() }
