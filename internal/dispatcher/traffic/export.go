package traffic

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"ospreypond/internal/store"
)

// Format is an export format.
type Format string

// The formats. CSV has one line per request; its attempts are one field, hops, of "target;sent_us;took_us;outcome"
// separated by spaces.
const (
	CSV   Format = "csv"
	JSONL Format = "jsonl"
)

// Formats are all formats.
var Formats = []Format{CSV, JSONL}

// Export writes the requests that arrived from one time until another, in order of arrival, and returns their number.
// Zero times do not bound. The store must not be open elsewhere.
func Export(ctx context.Context, dir string, f Format, from, to time.Time, w io.Writer) (int, error) {
	s, err := store.Open(dir, store.Options{Existing: true})
	if err != nil {
		return 0, err
	}
	defer func() { _ = s.Close() }() // nothing was written
	space, err := s.Lookup(spaceName)
	if err != nil {
		return 0, fmt.Errorf("%s holds no recorded traffic: %w", dir, err)
	}
	out, err := newWriter(f, w)
	if err != nil {
		return 0, err
	}
	var lo, hi []byte
	if !from.IsZero() {
		lo = recordKey(from, 0)
	}
	if !to.IsZero() {
		hi = recordKey(to, 0)
	}
	snap := s.Snapshot()
	defer snap.Close()
	it := snap.Range(space, lo, hi)
	defer it.Close()
	n := 0
	for it.Next() {
		if err := ctx.Err(); err != nil {
			return n, err
		}
		value, err := it.Value()
		if err != nil {
			return n, err
		}
		rec, err := parse(it.Key(), value)
		if err != nil {
			return n, err
		}
		if err := out.write(rec); err != nil {
			return n, err
		}
		n++
	}
	if err := it.Err(); err != nil {
		return n, err
	}
	return n, out.flush()
}

type writer interface {
	write(Record) error
	flush() error
}

func newWriter(f Format, w io.Writer) (writer, error) {
	switch f {
	case CSV:
		c := csvWriter{csv.NewWriter(w)}
		return c, c.Write(columns)
	case JSONL:
		return jsonWriter{json.NewEncoder(w)}, nil
	}
	return nil, fmt.Errorf("traffic: no format %q; there are %v", f, Formats)
}

type jsonWriter struct{ *json.Encoder }

func (w jsonWriter) write(r Record) error { return w.Encode(r) }
func (w jsonWriter) flush() error         { return nil }

var columns = []string{"arrived_us", "class", "tenant", "key", "idempotency", "retry", "deadline_us", "work_us", "slots",
	"memory", "body_bytes", "answer", "answered_us", "hops"}

type csvWriter struct{ *csv.Writer }

func (w csvWriter) write(r Record) error {
	number := func(n int64) string { return strconv.FormatInt(n, 10) }
	float := func(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
	attempts := make([]string, len(r.Attempts))
	for i, h := range r.Attempts {
		attempts[i] = fmt.Sprintf("%s;%d;%d;%s", h.Target, h.SentUs, h.TookUs, strings.ReplaceAll(h.Outcome, " ", "_"))
	}
	return w.Write([]string{number(r.ArrivedUs), r.Class, r.Tenant, r.Key, r.Idempotency, strconv.FormatBool(r.Retry),
		number(r.DeadlineUs), number(r.WorkUs), float(r.Slots), float(r.Memory), strconv.Itoa(r.BodyBytes), r.Response,
		number(r.RespondedUs), strings.Join(attempts, " ")})
}

func (w csvWriter) flush() error {
	w.Flush()
	return w.Error()
}
