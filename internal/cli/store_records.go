package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/spf13/cobra"

	"ospreypond/internal/store"
)

// recordLine is one line of 'store dump' and of the input of 'store append'. Key and Value are base64 in JSON. KeyText and
// ValueText replace them if text was requested and the bytes are valid UTF-8.
type recordLine struct {
	Space     string  `json:"space"`
	Key       []byte  `json:"key,omitempty"`
	KeyText   *string `json:"key_text,omitempty"`
	Value     *[]byte `json:"value,omitempty"`
	ValueText *string `json:"value_text,omitempty"`
	Seq       uint64  `json:"seq,omitempty"`
	Delete    bool    `json:"delete,omitempty"`
}

// newRecordLine returns the line of a record. With asText, a key or value that is valid UTF-8 is written as text.
func newRecordLine(space string, key, value []byte, seq uint64, asText bool) recordLine {
	if value == nil {
		value = []byte{} // nil would be written as null, which means that there is no value
	}
	l := recordLine{Space: space, Key: key, Value: &value, Seq: seq}
	if asText && utf8.Valid(key) {
		s := string(key)
		l.Key, l.KeyText = nil, &s
	}
	if asText && utf8.Valid(value) {
		s := string(value)
		l.Value, l.ValueText = nil, &s
	}
	return l
}

func newStoreDump(std Streams) *cobra.Command {
	var text bool
	var only string
	c := &cobra.Command{Use: "dump DIR", Short: "Print a store's records, one JSON object per line", Args: cobra.ExactArgs(1),
		Long: "Print a store's records, one JSON object per line, sorted by space and key:\n" +
			"  {\"space\":\"a\",\"key\":BASE64,\"value\":BASE64,\"seq\":N}\n" +
			"With --text, keys and values that are UTF-8 are printed as \"key_text\" and \"value_text\" instead. 'append' reads both.",
		RunE: func(c *cobra.Command, args []string) error {
			return withStore(c, std, args[0], func(ctx context.Context, s *store.Store) error {
				spaces, err := spacesOf(s, only)
				if err != nil {
					return err
				}
				return dump(ctx, s, spaces, std.Out, text)
			})
		}}
	c.Flags().BoolVar(&text, "text", false, "print keys and values that are UTF-8 as text")
	c.Flags().StringVar(&only, "space", "", "print only the space of this `name`")
	return c
}

// spacesOf returns the space of the given name or, if the name is empty, all spaces sorted by name.
func spacesOf(s *store.Store, name string) ([]*store.Space, error) {
	if name != "" {
		space, err := s.Lookup(name)
		return []*store.Space{space}, err
	}
	spaces := s.Spaces()
	slices.SortFunc(spaces, func(a, b *store.Space) int { return strings.Compare(a.Name(), b.Name()) })
	return spaces, nil
}

// dump writes the records of the spaces as they are in one snapshot of the store.
func dump(ctx context.Context, s *store.Store, spaces []*store.Space, w io.Writer, asText bool) error {
	out := bufio.NewWriter(w)
	encoder := json.NewEncoder(out)
	snapshot := s.Snapshot()
	defer snapshot.Close()
	for _, space := range spaces {
		records := snapshot.Range(space, nil, nil)
		for records.Next() {
			value, err := records.Value()
			if err == nil {
				err = ctx.Err()
			}
			if err == nil {
				err = encoder.Encode(newRecordLine(space.Name(), records.Key(), value, records.Seq(), asText))
			}
			if err != nil {
				return err
			}
		}
		if err := records.Err(); err != nil {
			return err
		}
	}
	return out.Flush()
}

func newStoreAppend(std Streams) *cobra.Command {
	batchSize := 1
	syncEvery := time.Duration(0)
	c := &cobra.Command{Use: "append DIR", Short: "Write records read as JSON lines", Args: cobra.ExactArgs(1),
		Long: "Read lines as 'dump' prints them and write them to a store, which is created if it does not exist. A line with\n" +
			"\"delete\":true deletes its key; \"seq\" is ignored. After each commit, when it is on disk, a line 'ok SEQ' is\n" +
			"printed. An invalid line ends the command with its number; commits that were printed before stay.",
		RunE: func(c *cobra.Command, args []string) (err error) {
			if batchSize < 1 {
				return usageError{fmt.Errorf("--batch: %d is under 1", batchSize)}
			}
			if syncEvery < 0 {
				return usageError{fmt.Errorf("--sync-every: %v is negative", syncEvery)}
			}
			ctx, stop := Interruptible(c.Context())
			defer stop()
			s, err := store.Open(args[0], store.Options{SyncEvery: syncEvery, Log: newLog(std.Err)})
			if err != nil {
				return err
			}
			defer func() { err = errors.Join(err, s.Close()) }()
			a := appender{s: s, batchSize: batchSize, out: std.Out}
			in := bufio.NewScanner(std.In)
			in.Buffer(nil, 2*store.MaxBatch)
			n := 0
			for in.Scan() && ctx.Err() == nil {
				n++
				if len(in.Bytes()) == 0 {
					continue
				}
				if err := a.appendLine(in.Bytes()); err != nil {
					return fmt.Errorf("line %d: %w", n, err)
				}
			}
			if err := in.Err(); err != nil {
				return fmt.Errorf("line %d: %w", n+1, err)
			}
			if err := ctx.Err(); err != nil {
				return err
			}
			return a.flush()
		}}
	c.Flags().IntVar(&batchSize, "batch", batchSize, "how many `lines` make a commit")
	c.Flags().DurationVar(&syncEvery, "sync-every", syncEvery, "sync in the background this often, and before the end, instead of at each commit;\n"+
		"commits printed by 'ok SEQ' may then still be lost in a power failure")
	return c
}

// appender collects records into batches and commits each batch to a store.
type appender struct {
	s         *store.Store
	b         store.Batch
	batchSize int       // records and deletions in a batch
	out       io.Writer // gets a line for each commit
}

// appendLine adds the record or deletion of one line to the batch, and commits the batch when it is full.
func (a *appender) appendLine(text []byte) error {
	var l recordLine
	dec := json.NewDecoder(strings.NewReader(string(text)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("more than one JSON object")
	}
	key := l.Key
	switch {
	case l.Space == "":
		return errors.New("\"space\" is missing")
	case l.Key != nil && l.KeyText != nil:
		return errors.New("\"key\" and \"key_text\" are both given")
	case l.KeyText != nil:
		key = []byte(*l.KeyText)
	}
	sp, err := a.s.Lookup(l.Space)
	if errors.Is(err, store.ErrNotFound) {
		if err = a.flush(); err == nil { // creating a space is a commit itself, so the batch is committed before it
			sp, err = a.s.Space(l.Space, store.Retention{})
		}
	}
	if err != nil {
		return err
	}
	switch {
	case l.Delete && (l.Value != nil || l.ValueText != nil):
		return errors.New("a line with \"delete\" must not have a value")
	case l.Delete:
		a.b.Delete(sp, key)
	case l.Value != nil && l.ValueText != nil:
		return errors.New("\"value\" and \"value_text\" are both given")
	case l.ValueText != nil:
		a.b.Put(sp, key, []byte(*l.ValueText))
	case l.Value != nil:
		a.b.Put(sp, key, *l.Value)
	default:
		return errors.New("\"value\" is missing")
	}
	if a.b.Len() >= a.batchSize {
		return a.flush()
	}
	return nil
}

// flush commits the batch unless it is empty, and prints the sequence number of the commit.
func (a *appender) flush() error {
	if a.b.Len() == 0 {
		return nil
	}
	seq, err := a.s.Commit(&a.b)
	if err != nil {
		return err
	}
	a.b.Reset()
	_, err = fmt.Fprintf(a.out, "ok %d\n", seq)
	return err
}
