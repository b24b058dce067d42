// Command storebench compares ospreypond's durable store with a simple baseline: a file to which each commit is appended and
// synced. Both engines do the same work in one run. Earlier figures are in docs/ROADMAP.md.
//
// Each figure is the median over several rounds, in which the order of the engines changes. Each phase of an engine runs in
// a separate process, so that the measured memory is used by this phase only.
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

// engineNames are the names of the engines, in the order of the printed columns.
var engineNames = []string{"ospreypond", "append"}

// config holds the values of the command's flags.
type config struct {
	Records int     // records in the large store
	Small   int     // records in the small store
	Seconds float64 // duration of each measurement of commits
	Rounds  int
	Dir     string // parent of the stores' folders; empty: the system's temporary folder
	JSON    string // file for all figures; empty: none
}

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

// command returns the command with its flags, and the hidden command that runs one phase.
func command() *cobra.Command {
	c := config{Records: 1_000_000, Small: 100_000, Seconds: 2, Rounds: 3}
	root := &cobra.Command{Use: "storebench", Short: "Compare the durable store with plain appending to a file", Args: cobra.NoArgs,
		SilenceUsage: true, RunE: func(*cobra.Command, []string) error { return run(c) }}
	f := root.Flags()
	f.IntVar(&c.Records, "records", c.Records, "records in the large store")
	f.IntVar(&c.Small, "small", c.Small, "records in the small store")
	f.Float64Var(&c.Seconds, "seconds", c.Seconds, "duration of each measurement of commits, in seconds")
	f.IntVar(&c.Rounds, "rounds", c.Rounds, "number of rounds; the printed figures are medians over the rounds")
	f.StringVar(&c.Dir, "dir", "", "`folder` on the disk to measure; by default the system's folder for temporary files")
	f.StringVar(&c.JSON, "json", "", "write all figures to this `file`")
	root.AddCommand(&cobra.Command{Use: "phase ENGINE PHASE DIR ARGS", Hidden: true, Args: cobra.ExactArgs(4),
		RunE: func(_ *cobra.Command, args []string) error { return runPhase(args) }})
	return root
}

// phaseArgs are the arguments of a phase, which its process receives as JSON.
type phaseArgs struct {
	Records int     // number of records in the store; used by the phases fill and open
	Writers int     // number of concurrent writers; used by the phase commits
	Keys    uint64  // number of keys that the commits overwrite; 0: each commit puts a new key; used by the phase commits
	Seconds float64 // duration of the phase commits
}

// runPhase runs one phase in this process and prints its figures as JSON. args are the engine, the phase, the folder of the
// store, and the JSON of the phaseArgs.
func runPhase(args []string) error {
	open := engines[args[0]]
	if open == nil {
		return fmt.Errorf("unknown engine %q", args[0])
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
		f, err = measureCommitRate(e, a.Writers, a.Keys, time.Duration(a.Seconds*float64(time.Second)))
		err = errors.Join(err, e.close())
		if err == nil {
			f["disk_mb"] = diskBytes(args[2]) / 1e6
		}
	case "fill":
		f, err = measureFill(open, args[2], a.Records)
	case "open":
		f, err = measureOpen(open, args[2], a.Records)
	default:
		return fmt.Errorf("unknown phase %q", args[1])
	}
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(f)
}

// startPhase runs a phase of an engine in a new process and returns its figures.
func startPhase(engine, phase, dir string, a phaseArgs) (figures, error) {
	text, err := json.Marshal(a)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(context.Background(), self, "phase", engine, phase, dir, string(text))
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("engine %s, phase %s: %w", engine, phase, err)
	}
	var f figures
	return f, json.Unmarshal(out, &f)
}

// results are all figures. The first key names the measurement and the figure, the second one the engine; the list has one
// value per round.
type results map[string]map[string][]float64

// add adds the figures of one phase, with names that begin with prefix.
func (r results) add(prefix, engine string, f figures) {
	for k, v := range f {
		k = prefix + " " + k
		if r[k] == nil {
			r[k] = map[string][]float64{}
		}
		r[k][engine] = append(r[k][engine], v)
	}
}

// median returns the median of v, of an even number of values the greater one in the middle, and 0 if there are none.
func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

// overwrittenKeys is the number of different keys that the commits of an overwriting measurement put.
const overwrittenKeys = 20_000

// run measures all engines in every round, in an order that rotates from round to round, and prints the medians.
func run(c config) (err error) {
	base, err := os.MkdirTemp(c.Dir, "storebench")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(base)) }()
	all := results{}
	for round := range c.Rounds {
		order := slices.Concat(engineNames[round%len(engineNames):], engineNames[:round%len(engineNames)])
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

// measureCommits measures the rate and latency of commits for several numbers of concurrent writers, once with new keys and
// once with overwrittenKeys keys.
func measureCommits(all results, engines []string, base string, seconds float64) error {
	for _, writers := range []int{1, 8, 64} {
		for _, keys := range []uint64{0, overwrittenKeys} {
			label := fmt.Sprintf("commits, %2d writers", writers)
			if keys > 0 {
				label = fmt.Sprintf("overwriting, %2d writers", writers)
			}
			for _, name := range engines {
				arguments := phaseArgs{Writers: writers, Keys: keys, Seconds: seconds}
				if err := measure(all, label, name, "commits", base, arguments, nil); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// measureFilling measures how long it takes to fill stores with these numbers of records, and to open them again.
func measureFilling(all results, engines []string, base string, sizes []int) error {
	for _, records := range sizes {
		label := fmt.Sprintf("%d records", records)
		arguments := phaseArgs{Records: records}
		for _, name := range engines {
			open := func(dir string) error {
				f, err := startPhase(name, "open", dir, arguments)
				all.add(label, name, f)
				return err
			}
			if err := measure(all, label, name, "fill", base, arguments, open); err != nil {
				return err
			}
		}
	}
	return nil
}

// measure runs one phase of an engine in a new folder and adds its figures. Then it calls then with the folder, unless then
// is nil, and removes the folder.
func measure(all results, label, name, phase, base string, a phaseArgs, then func(dir string) error) (err error) {
	dir, err := os.MkdirTemp(base, "store")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	f, err := startPhase(name, phase, dir, a)
	if err != nil {
		return err
	}
	all.add(label, name, f)
	if then != nil {
		return then(dir)
	}
	return nil
}

// print prints a table of the medians, with a line per figure and a column per engine.
func print(all results) {
	fmt.Printf("%-44s", "median")
	for _, n := range engineNames {
		fmt.Printf("%14s", n)
	}
	fmt.Println()
	for _, k := range slices.Sorted(maps.Keys(all)) {
		fmt.Printf("%-44s", k)
		for _, n := range engineNames {
			if v := all[k][n]; len(v) > 0 {
				fmt.Printf("%14.4g", median(v))
			} else {
				fmt.Printf("%14s", "")
			}
		}
		fmt.Println()
	}
}
