package cli

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"ospreypond/internal/store"
)

func newStore(std Streams) *cobra.Command {
	return commandGroup("store", "Check, read, write and repair a durable store",
		newStoreCheck(std), newStoreDump(std), newStoreAppend(std), newStoreCompact(std), newStoreStats(std), newStoreRepair(std))
}

// withStore opens an existing store, calls f, and closes the store. The context of f ends at SIGINT or SIGTERM.
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

func newStoreCheck(std Streams) *cobra.Command {
	return &cobra.Command{Use: "check DIR", Short: "Read a complete store and report its faults", Args: cobra.ExactArgs(1),
		Long: "Read a complete store, verify all checksums and the index against the log, and print a report. Nothing is changed.\n" +
			"The exit status is 1 if there is a fault; what the report lists as notes is repaired when the store is opened.",
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

func newStoreCompact(std Streams) *cobra.Command {
	return &cobra.Command{Use: "compact DIR", Short: "Remove dead records and write the index", Args: cobra.ExactArgs(1),
		Long: "Rewrite the segments whose records are mostly dead, remove records past their retention, and write the index.\n" +
			"The store's figures before and after are printed.",
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
	c := &cobra.Command{Use: "repair DIR --into NEW", Short: "Make a new store from the intact records of a damaged one", Args: cobra.ExactArgs(1),
		Long: "Read the intact records of a damaged store, write them to a new store in the folder --into, and print what was left\n" +
			"out. The damaged store is not changed. A key whose newest record or deletion was lost has its previous value, or is\n" +
			"missing.",
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
	c.Flags().StringVar(&into, "into", "", "the `folder` of the new store, empty or missing")
	return c
}
