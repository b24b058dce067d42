package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// print writes value as JSON if --output is json; otherwise it calls text, which writes the form for people.
func (f *clusterFlags) print(value any, text func(w io.Writer)) error {
	if f.output == formJSON {
		return printJSON(f.commands.std.Out, value)
	}
	text(f.commands.std.Out)
	return nil
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable writes rows in aligned columns; the first row is the header.
func printTable(w io.Writer, rows [][]string) {
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		writef(columns, "%s\n", strings.Join(row, "\t"))
	}
	_ = columns.Flush()
}

// durationText formats a duration given in milliseconds. A duration of a minute or more is rounded to seconds.
func durationText(ms int64) string {
	span := time.Duration(ms) * time.Millisecond
	if span >= time.Minute {
		span = span.Round(time.Second)
	}
	return span.String()
}

const bytesPerKB = 1000

// sizeText formats a size in the largest decimal unit (B, kB or MB) in which it has at least two digits.
func sizeText(bytes int64) string {
	switch {
	case bytes < 10*bytesPerKB:
		return fmt.Sprintf("%d B", bytes)
	case bytes < 10*bytesPerKB*bytesPerKB:
		return fmt.Sprintf("%d kB", bytes/bytesPerKB)
	default:
		return fmt.Sprintf("%d MB", bytes/bytesPerKB/bytesPerKB)
	}
}

// faultsError returns an error that lists the faults that a command found, or nil if there are none.
func faultsError(faults []string) error {
	if len(faults) == 0 {
		return nil
	}
	return errors.New(strings.Join(faults, "; "))
}

// writef writes formatted text. It ignores errors, because a command whose output is closed cannot report them anywhere.
func writef(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// stateWords maps states, as messages and JSON name them, to the words that tables show. The names in messages and JSON
// must not change, because other releases and scripts know them.
var stateWords = map[string]string{"silent": "unresponsive", "sick": "unhealthy"}

// stateWord returns the word that tables show for a state. A state without an entry in stateWords is shown unchanged.
func stateWord(state string) string {
	if word, ok := stateWords[state]; ok {
		return word
	}
	return state
}

// memberText returns a member's node name, or its address if the node is not known, followed by " (learner)" for a learner.
func memberText(node, address string, isLearner bool) string {
	name := node
	if name == "" {
		name = address
	}
	if isLearner {
		name += " (learner)"
	}
	return name
}
