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

// Format is a format of exported traffic.
type Format string

// The formats.
const (
	// CSV has a line of column names and then one line per request. The column hops has all attempts, separated by
	// spaces, each as "target;sent_us;took_us;outcome".
	CSV Format = "csv"
	// JSONL has one Record in JSON per line.
	JSONL Format = "jsonl"
)

// Formats has all formats.
var Formats = []Format{CSV, JSONL}

// Export writes the recorded requests of the store in dir that arrived at from or later and before to, in order of
// arrival, and returns their number. A zero time sets no bound. The store must not be open in another process.
func Export(ctx context.Context, dir string, f Format, from, to time.Time, w io.Writer) (int, error) {
	s, err := store.Open(dir, store.Options{Existing: true})
	if err != nil {
		return 0, err
	}
	defer func() { _ = s.Close() }() // the error is ignored, as the export commits no data
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

// writer writes records in one format.
type writer interface {
	write(Record) error
	flush() error
}

// newWriter returns a writer for a format. For CSV it writes the line of column names.
func newWriter(f Format, w io.Writer) (writer, error) {
	switch f {
	case CSV:
		c := csvWriter{csv.NewWriter(w)}
		return c, c.Write(columns)
	case JSONL:
		return jsonWriter{json.NewEncoder(w)}, nil
	}
	return nil, fmt.Errorf("traffic: unknown format %q; the formats are %v", f, Formats)
}

// jsonWriter writes JSONL.
type jsonWriter struct{ *json.Encoder }

func (w jsonWriter) write(r Record) error { return w.Encode(r) }
func (w jsonWriter) flush() error         { return nil }

// columns are the names of the CSV columns, part of the export's format.
var columns = []string{"arrived_us", "class", "tenant", "key", "idempotency", "retry", "deadline_us", "work_us", "slots",
	"memory", "body_bytes", "answer", "answered_us", "hops"}

// csvWriter writes CSV.
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
