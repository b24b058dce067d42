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

func newStore(std Streams) *cobra.Command {
	return group("store", "Look after a durable store",
		newStoreCheck(std), newStoreDump(std), newStoreAppend(std), newStoreCompact(std), newStoreStats(std), newStoreRepair(std))
}

// line is a record as dump prints and append reads it. Key and value are base64; KeyText and ValueText are the same
// as text, where they are UTF-8.
type line struct {
	Space     string  `json:"space"`
	Key       []byte  `json:"key,omitempty"`
	KeyText   *string `json:"key_text,omitempty"`
	Value     *[]byte `json:"value,omitempty"`
	ValueText *string `json:"value_text,omitempty"`
	Seq       uint64  `json:"seq,omitempty"`
	Delete    bool    `json:"delete,omitempty"`
}

// withStore opens a store that is there, has f work on it until it is done or interrupted, and closes it.
func withStore(c *cobra.Command, std Streams, dir string, f func(context.Context, *store.Store) error) (err error) {
	ctx, stop := Interruptible(c.Context())
	defer stop()
	s, err := store.Open(dir, store.Options{Existing: true, Log: newLog(std.Err)})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	return f(ctx, s)
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func newStoreCheck(std Streams) *cobra.Command {
	return &cobra.Command{Use: "check DIR", Short: "Read a whole store and tell what is wrong with it", Args: cobra.ExactArgs(1),
		Long: "Read a whole store, compare all of it with its checksums and the index with the log, and print a report.\n" +
			"Nothing is changed. The exit status is 1 if there is a fault; notes are put right at the next opening.",
		RunE: func(c *cobra.Command, args []string) error {
			ctx, stop := Interruptible(c.Context())
			defer stop()
			r, err := store.Check(ctx, args[0], nil)
			if err != nil {
				return err
			}
			if err := printJSON(std.Out, r); err != nil {
				return err
			}
			return r.Err()
		}}
}

func newStoreDump(std Streams) *cobra.Command {
	var text bool
	var only string
	c := &cobra.Command{Use: "dump DIR", Short: "Print a store's records, one JSON object a line", Args: cobra.ExactArgs(1),
		Long: "Print a store's records, one JSON object a line, by space and in the order of the keys:\n" +
			"  {\"space\":\"a\",\"key\":BASE64,\"value\":BASE64,\"seq\":N}\n" +
			"With --text, what is UTF-8 comes as \"key_text\" and \"value_text\" instead. 'append' reads either.",
		RunE: func(c *cobra.Command, args []string) error {
			return withStore(c, std, args[0], func(ctx context.Context, s *store.Store) error {
				out := bufio.NewWriter(std.Out)
				enc := json.NewEncoder(out)
				snap := s.Snapshot()
				defer snap.Close()
				spaces := s.Spaces()
				slices.SortFunc(spaces, func(a, b *store.Space) int { return strings.Compare(a.Name(), b.Name()) })
				if only != "" {
					sp, err := s.Lookup(only)
					if err != nil {
						return err
					}
					spaces = []*store.Space{sp}
				}
				for _, sp := range spaces {
					it := snap.Range(sp, nil, nil)
					for it.Next() {
						value, err := it.Value()
						if err == nil {
							err = ctx.Err()
						}
						if err == nil {
							err = enc.Encode(newLine(sp.Name(), it.Key(), value, it.Seq(), text))
						}
						if err != nil {
							return err
						}
					}
					if err := it.Err(); err != nil {
						return err
					}
				}
				return out.Flush()
			})
		}}
	c.Flags().BoolVar(&text, "text", false, "print keys and values that are UTF-8 as text")
	c.Flags().StringVar(&only, "space", "", "print only the space of this `name`")
	return c
}

func newLine(space string, key, value []byte, seq uint64, text bool) line {
	if value == nil {
		value = []byte{} // null would stand for no value
	}
	l := line{Space: space, Key: key, Value: &value, Seq: seq}
	if text && utf8.Valid(key) {
		s := string(key)
		l.Key, l.KeyText = nil, &s
	}
	if text && utf8.Valid(value) {
		s := string(value)
		l.Value, l.ValueText = nil, &s
	}
	return l
}

func newStoreAppend(std Streams) *cobra.Command {
	batch := 1
	every := time.Duration(0)
	c := &cobra.Command{Use: "append DIR", Short: "Write records that are read as JSON lines", Args: cobra.ExactArgs(1),
		Long: "Read lines as 'dump' prints them and write them to a store, which is made if it is not there. A line with\n" +
			"\"delete\":true deletes its key; \"seq\" is not looked at. After each commit, when it is on disk, a line 'ok SEQ' is\n" +
			"printed. A line that cannot be used ends the command with its number; all commits told of before stay.",
		RunE: func(c *cobra.Command, args []string) (err error) {
			if batch < 1 {
				return usageError{fmt.Errorf("--batch: %d is under 1", batch)}
			}
			if every < 0 {
				return usageError{fmt.Errorf("--sync-every: %v is negative", every)}
			}
			ctx, stop := Interruptible(c.Context())
			defer stop()
			s, err := store.Open(args[0], store.Options{SyncEvery: every, Log: newLog(std.Err)})
			if err != nil {
				return err
			}
			defer func() { err = errors.Join(err, s.Close()) }()
			a := appender{s: s, most: batch, out: std.Out}
			in := bufio.NewScanner(std.In)
			in.Buffer(nil, 2*store.MaxBatch)
			n := 0
			for in.Scan() && ctx.Err() == nil {
				n++
				if len(in.Bytes()) == 0 {
					continue
				}
				if err := a.line(in.Bytes()); err != nil {
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
	c.Flags().IntVar(&batch, "batch", batch, "how many `lines` to a commit")
	c.Flags().DurationVar(&every, "sync-every", every, "sync in the background this often, and before the end, instead of at each commit;\n"+
		"'ok SEQ' tells then what a power cut may still take")
	return c
}

type appender struct {
	s    *store.Store
	b    store.Batch
	most int
	out  io.Writer
}

func (a *appender) line(text []byte) error {
	var l line
	dec := json.NewDecoder(strings.NewReader(string(text)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("more than one object")
	}
	key := l.Key
	switch {
	case l.Space == "":
		return errors.New("\"space\" is missing")
	case l.Key != nil && l.KeyText != nil:
		return errors.New("both \"key\" and \"key_text\"")
	case l.KeyText != nil:
		key = []byte(*l.KeyText)
	}
	sp, err := a.s.Lookup(l.Space)
	if errors.Is(err, store.ErrNotFound) {
		if err = a.flush(); err == nil { // naming a space is a commit of its own
			sp, err = a.s.Space(l.Space, store.Retention{})
		}
	}
	if err != nil {
		return err
	}
	switch {
	case l.Delete && (l.Value != nil || l.ValueText != nil):
		return errors.New("a value to delete")
	case l.Delete:
		a.b.Delete(sp, key)
	case l.Value != nil && l.ValueText != nil:
		return errors.New("both \"value\" and \"value_text\"")
	case l.ValueText != nil:
		a.b.Put(sp, key, []byte(*l.ValueText))
	case l.Value != nil:
		a.b.Put(sp, key, *l.Value)
	default:
		return errors.New("\"value\" is missing")
	}
	if a.b.Len() >= a.most {
		return a.flush()
	}
	return nil
}

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

func newStoreCompact(std Streams) *cobra.Command {
	return &cobra.Command{Use: "compact DIR", Short: "Drop what is dead and write the index down", Args: cobra.ExactArgs(1),
		Long: "Rewrite the segments that are mostly dead, drop what is too old, and write the index down. The store's figures\n" +
			"before and after are printed.",
		RunE: func(c *cobra.Command, args []string) error {
			return withStore(c, std, args[0], func(ctx context.Context, s *store.Store) error {
				before := s.Stats()
				if err := s.Compact(ctx); err != nil {
					return err
				}
				return printJSON(std.Out, map[string]store.Stats{"before": before, "after": s.Stats()})
			})
		}}
}

func newStoreStats(std Streams) *cobra.Command {
	return &cobra.Command{Use: "stats DIR", Short: "Print a store's figures", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return withStore(c, std, args[0], func(_ context.Context, s *store.Store) error {
				type space struct {
					Name      string `json:"name"`
					KeepAge   string `json:"keep_age,omitempty"`
					KeepBytes int64  `json:"keep_bytes,omitempty"`
				}
				out := struct {
					store.Stats
					Spaces []space `json:"spaces"`
				}{s.Stats(), []space{}}
				for _, sp := range s.Spaces() {
					r := sp.Retention()
					v := space{Name: sp.Name(), KeepBytes: r.Bytes}
					if r.Age > 0 {
						v.KeepAge = r.Age.String()
					}
					out.Spaces = append(out.Spaces, v)
				}
				slices.SortFunc(out.Spaces, func(a, b space) int { return strings.Compare(a.Name, b.Name) })
				return printJSON(std.Out, out)
			})
		}}
}

func newStoreRepair(std Streams) *cobra.Command {
	var into string
	c := &cobra.Command{Use: "repair DIR --into NEW", Short: "Make a new store of what is good in a damaged one", Args: cobra.ExactArgs(1),
		Long: "Read what is good in a damaged store, write it to a new store in the folder given by --into, and print what had to\n" +
			"be left out. The damaged store stays as it is. A key whose newest record or deletion was lost has the state\n" +
			"before it, or is missing.",
		RunE: func(c *cobra.Command, args []string) error {
			if into == "" {
				return usageError{errors.New("--into is missing")}
			}
			ctx, stop := Interruptible(c.Context())
			defer stop()
			r, err := store.Repair(ctx, args[0], into, store.Options{Log: newLog(std.Err)})
			if err != nil {
				return err
			}
			return printJSON(std.Out, r)
		}}
	c.Flags().StringVar(&into, "into", "", "the `folder` of the new store, empty or not there")
	return c
}
