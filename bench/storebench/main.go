// Command storebench measures ospreypond's durable store beside the plainest one, a file that each commit is appended and
// synced to, on the same work in one run; its earlier figures are in docs/ROADMAP.md. Each
// figure is the median of several rounds in which the engines take turns; each engine's phase runs in a process of its
// own, so that memory is its own too.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"slices"
	"time"

	"github.com/spf13/cobra"
)

var names = []string{"ospreypond", "append"}

type config struct {
	Records int
	Small   int
	Seconds float64
	Rounds  int
	Dir     string
	JSON    string
}

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	c := config{Records: 1_000_000, Small: 100_000, Seconds: 2, Rounds: 3}
	root := &cobra.Command{Use: "storebench", Short: "Measure the durable store beside plain appending", Args: cobra.NoArgs,
		SilenceUsage: true, RunE: func(*cobra.Command, []string) error { return run(c) }}
	f := root.Flags()
	f.IntVar(&c.Records, "records", c.Records, "records in the large store")
	f.IntVar(&c.Small, "small", c.Small, "records in the small store")
	f.Float64Var(&c.Seconds, "seconds", c.Seconds, "how long each measurement of commits takes")
	f.IntVar(&c.Rounds, "rounds", c.Rounds, "rounds; figures are medians over them")
	f.StringVar(&c.Dir, "dir", "", "a `folder` on the disk to measure; a temporary one by default")
	f.StringVar(&c.JSON, "json", "", "write all figures to this `file`")
	root.AddCommand(&cobra.Command{Use: "phase ENGINE PHASE DIR ARGS", Hidden: true, Args: cobra.ExactArgs(4),
		RunE: func(_ *cobra.Command, args []string) error { return child(args) }})
	return root
}

// phaseArgs is what a phase's process is told.
type phaseArgs struct {
	Records int
	Writers int
	Keys    uint64
	Seconds float64
}

// child runs one phase and prints its figures.
func child(args []string) error {
	open := engines[args[0]]
	if open == nil {
		return fmt.Errorf("no engine %q", args[0])
	}
	var a phaseArgs
	if err := json.Unmarshal([]byte(args[3]), &a); err != nil {
		return err
	}
	var f figures
	var err error
	switch args[1] {
	case "commits":
		var e engine
		if e, err = open(args[2]); err != nil {
			return err
		}
		f, err = commits(e, a.Writers, a.Keys, time.Duration(a.Seconds*float64(time.Second)))
		err = errors.Join(err, e.close())
		if err == nil {
			f["disk_mb"] = diskBytes(args[2]) / 1e6
		}
	case "fill":
		f, err = filling(open, args[2], a.Records)
	case "open":
		f, err = opening(open, args[2], a.Records)
	default:
		return fmt.Errorf("no phase %q", args[1])
	}
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(f)
}

func phase(name, what, dir string, a phaseArgs) (figures, error) {
	text, err := json.Marshal(a)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(context.Background(), self, "phase", name, what, dir, string(text))
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("%s, %s: %w", name, what, err)
	}
	var f figures
	return f, json.Unmarshal(out, &f)
}

// results are all figures: by what was measured, then by engine, one a round.
type results map[string]map[string][]float64

func (r results) add(prefix, engine string, f figures) {
	for k, v := range f {
		k = prefix + " " + k
		if r[k] == nil {
			r[k] = map[string][]float64{}
		}
		r[k][engine] = append(r[k][engine], v)
	}
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

// overwrittenKeys is how many keys the commits of an overwriting measurement share.
const overwrittenKeys = 20_000

// run measures all engines, in an order that changes from round to round, and prints the medians.
func run(c config) (err error) {
	base, err := os.MkdirTemp(c.Dir, "storebench")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(base)) }()
	all := results{}
	for round := range c.Rounds {
		order := slices.Concat(names[round%len(names):], names[:round%len(names)])
		if err := measureCommits(all, order, base, c.Seconds); err != nil {
			return err
		}
		if err := measureFilling(all, order, base, []int{c.Small, c.Records}); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "round %d of %d done\n", round+1, c.Rounds)
	}
	print(all)
	if c.JSON == "" {
		return nil
	}
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, text, 0o644)
}

// measureCommits measures commits of new keys and of keys that are there, by the number of writers.
func measureCommits(all results, engines []string, base string, seconds float64) error {
	for _, writers := range []int{1, 8, 64} {
		for _, keys := range []uint64{0, overwrittenKeys} {
			what := fmt.Sprintf("commits, %2d writers", writers)
			if keys > 0 {
				what = fmt.Sprintf("overwriting, %2d writers", writers)
			}
			for _, name := range engines {
				arguments := phaseArgs{Writers: writers, Keys: keys, Seconds: seconds}
				if err := measure(all, what, name, "commits", base, arguments, nil); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// measureFilling measures how long stores of these sizes take to be filled, and to be opened again.
func measureFilling(all results, engines []string, base string, sizes []int) error {
	for _, records := range sizes {
		what := fmt.Sprintf("%d records", records)
		arguments := phaseArgs{Records: records}
		for _, name := range engines {
			open := func(dir string) error {
				f, err := phase(name, "open", dir, arguments)
				all.add(what, name, f)
				return err
			}
			if err := measure(all, what, name, "fill", base, arguments, open); err != nil {
				return err
			}
		}
	}
	return nil
}

// measure runs one phase of an engine in a new folder, and then, if it is given, what goes on there.
func measure(all results, what, name, ph, base string, a phaseArgs, then func(dir string) error) (err error) {
	dir, err := os.MkdirTemp(base, "store")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	f, err := phase(name, ph, dir, a)
	if err != nil {
		return err
	}
	all.add(what, name, f)
	if then != nil {
		return then(dir)
	}
	return nil
}

func print(all results) {
	fmt.Printf("%-44s", "median")
	for _, n := range names {
		fmt.Printf("%14s", n)
	}
	fmt.Println()
	for _, k := range slices.Sorted(maps.Keys(all)) {
		fmt.Printf("%-44s", k)
		for _, n := range names {
			if v := all[k][n]; len(v) > 0 {
				fmt.Printf("%14.4g", median(v))
			} else {
				fmt.Printf("%14s", "")
			}
		}
		fmt.Println()
	}
}
