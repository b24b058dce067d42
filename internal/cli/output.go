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

// print writes value as JSON, or calls text, as --output says.
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

// durationText returns a duration given in ms; from a minute on, rounded to seconds.
func durationText(count int64) string {
	span := time.Duration(count) * time.Millisecond
	if span >= time.Minute {
		span = span.Round(time.Second)
	}
	return span.String()
}

const bytesPerKB = 1000

// sizeText returns a size in the largest decimal unit with at least two digits.
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

// faultsError returns the error of a command that found faults; nil if there are none.
func faultsError(faults []string) error {
	if len(faults) == 0 {
		return nil
	}
	return errors.New(strings.Join(faults, "; "))
}

// writef writes formatted text. Errors are ignored: a command whose output is gone has nowhere to report that.
func writef(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// stateWords are the words for states that tables show, by those of messages and of JSON, which programs of other
// releases and scripts know.
var stateWords = map[string]string{"silent": "unresponsive", "sick": "unhealthy"}

// stateWord returns the word that tables show for a state.
func stateWord(state string) string {
	if word, ok := stateWords[state]; ok {
		return word
	}
	return state
}

// memberText returns a member's node, or its address if the node is not known, and whether it is a learner.
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
