package configuration

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest returns the same number for equal states, in every process. It covers the version, the names and JSON of the
// sections (not whether a section is a list), the earlier services of queues, the queues without a route, and the keys of
// the commands that are remembered. The bytes of a snapshot can't serve for a comparison: gob numbers types in the order in
// which a process encodes or decodes them for the first time.
func (s *State) Digest() uint64 {
	w := &digestWriter{hash: xxhash.New()}
	w.image(s.document.image())
	w.commands(s.accepted)
	w.commands(s.early)
	return w.hash.Sum64()
}

// digestWriter hashes values one after the other. A value of variable length is preceded by its length, so that the same
// bytes divided in another way have another hash.
type digestWriter struct{ hash *xxhash.Digest }

func (w *digestWriter) number(value uint64) {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], value)
	_, _ = w.hash.Write(encoded[:]) // a hash accepts everything
}

func (w *digestWriter) bytes(value []byte) {
	w.number(uint64(len(value)))
	_, _ = w.hash.Write(value)
}

func (w *digestWriter) text(value string) {
	w.number(uint64(len(value)))
	_, _ = w.hash.WriteString(value)
}

func (w *digestWriter) image(i *image) {
	w.number(i.Version)
	w.number(uint64(len(i.Sections)))
	for _, section := range i.Sections {
		w.text(section.Name)
		w.number(uint64(len(section.Items)))
		for _, raw := range section.Items {
			w.bytes(raw)
		}
	}
	w.queues(i.Moved)
	w.queues(i.Dropped)
}

func (w *digestWriter) queues(queues []imageQueue) {
	w.number(uint64(len(queues)))
	for _, queue := range queues {
		w.text(queue.Key)
		w.number(queue.Dropped)
		w.number(uint64(len(queue.Services)))
		for _, service := range queue.Services {
			w.text(service)
		}
	}
}

func (w *digestWriter) commands(keys []commandKey) {
	w.number(uint64(len(keys)))
	for _, key := range keys {
		w.number(key.Base)
		_, _ = w.hash.Write(key.Digest[:])
	}
}
