package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runCommand runs a command of the program with in as standard input, and returns its outputs and its exit status.
func runCommand(in string, args ...string) (out, errs string, status int) {
	var o, e bytes.Buffer
	cmd := exec.CommandContext(context.Background(), program, args...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(in), &o, &e
	_ = cmd.Run()
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// record is one line of the output of 'store dump'.
type record struct {
	Space string
	Key   []byte
	Value []byte
	Seq   uint64
}

// dump returns the records of the store in a directory by their keys, and requires that 'store dump' prints them in key
// order.
func dump(t *testing.T, dir string) map[string]record {
	t.Helper()
	out, errs, status := runCommand("", "store", "dump", dir)
	require.Zero(t, status, errs)
	all := map[string]record{}
	last := ""
	for l := range strings.Lines(out) {
		var r record
		require.NoError(t, json.Unmarshal([]byte(l), &r))
		require.Less(t, last, string(r.Key), "in key order")
		last = string(r.Key)
		all[last] = r
	}
	return all
}

// dumpOfKilled is dump for a program that may have been killed before it created the store. If there is no store, it
// requires that no record was acknowledged (acked is 0).
func dumpOfKilled(t *testing.T, dir string, acked int) map[string]record {
	t.Helper()
	if _, errs, status := runCommand("", "store", "dump", dir); status != 0 && strings.Contains(errs, "there is none") {
		require.Zero(t, acked, errs)
		return nil
	}
	return dump(t, dir)
}

// killRounds returns the number of times that the appending program is killed: 8, or STORE_KILLS for a longer run.
func killRounds(t *testing.T) int {
	t.Helper()
	if s := os.Getenv("STORE_KILLS"); s != "" {
		n, err := strconv.Atoi(s)
		require.NoError(t, err)
		return n
	}
	return 8
}

// SIGKILL ends 'store append' at random moments. Afterwards the store has every record that the program acknowledged with
// "ok", and no record that was never sent.
func TestEveryOkOfAppendSurvivesSIGKILL(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	rnd := rand.New(rand.NewPCG(1, 2))
	acked := map[string]string{} // values by key, of the acknowledged batches
	sent := map[string]string{}
	n := 0
	for round := range killRounds(t) {
		args := []string{"store", "append", dir}
		batch := 1 + rnd.IntN(3)
		args = append(args, "--batch", fmt.Sprint(batch))
		cmd := exec.CommandContext(context.Background(), program, args...)
		in, err := cmd.StdinPipe()
		require.NoError(t, err)
		out, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		keys, done := make(chan [2]string, 1<<20), make(chan struct{})
		go func() {
			defer close(done)
			oks := bufio.NewScanner(out)
			for oks.Scan() {
				if !strings.HasPrefix(oks.Text(), "ok ") {
					continue
				}
				for range batch {
					kv := <-keys
					acked[kv[0]] = kv[1]
				}
			}
		}()
		kill := time.AfterFunc(time.Duration(20+rnd.IntN(250))*time.Millisecond, func() { _ = cmd.Process.Kill() })
		for err == nil {
			n++
			key, value := fmt.Sprintf("k%07d", n), fmt.Sprintf("%d-%s", n, strings.Repeat("v", rnd.IntN(2000)))
			sent[key] = value
			keys <- [2]string{key, value}
			_, err = fmt.Fprintf(in, "{\"space\":\"a\",\"key_text\":%q,\"value_text\":%q}\n", key, value)
		}
		_ = in.Close()
		<-done
		_ = cmd.Wait()
		kill.Stop()
		got := dumpOfKilled(t, dir, len(acked))
		for k, v := range acked {
			require.Equal(t, v, string(got[k].Value), "round %d, key %s", round, k)
		}
		for k, r := range got {
			require.Equal(t, sent[k], string(r.Value), "round %d, key %s", round, k)
		}
	}
	require.Greater(t, len(acked), 100)
	out, errs, status := runCommand("", "store", "check", dir)
	require.Zero(t, status, out+errs)
}

func TestStoreCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	out, errs, status := runCommand("{\"space\":\"b\",\"key_text\":\"x\",\"value_text\":\"1\"}\n{\"space\":\"b\",\"key\":\"AP8=\",\"value\":\"\"}\n",
		"store", "append", dir, "--batch", "2")
	require.Zero(t, status, errs)
	require.Regexp(t, `^ok \d+\n$`, out)
	out, _, _ = runCommand("", "store", "dump", dir)
	copied := filepath.Join(t.TempDir(), "copy")
	_, errs, status = runCommand(out, "store", "append", copied)
	require.Zero(t, status, errs)
	second, _, _ := runCommand("", "store", "dump", copied, "--space", "b")
	require.Equal(t, 2, strings.Count(second, "\n"))
	for _, line := range []string{"nonsense", `{"key_text":"x","value_text":""}`, `{"space":"b","key_text":"x"}`,
		`{"space":"b","key":"?","value":""}`, `{"space":"b","key_text":"x","value_text":"1","colour":1}`,
		`{"space":"b","key_text":"x","value_text":"1"}{}`} {
		_, errs, status = runCommand("\n"+line+"\n", "store", "append", dir)
		assert.Equal(t, 1, status, line)
		assert.Contains(t, errs, "line 2: ", line)
	}
	for _, args := range [][]string{{"store"}, {"store", "dump"}, {"store", "nonsense"}, {"nonsense"}, {"store", "dump", dir, "--x"},
		{"store", "append", dir, "--batch", "0"}, {"store", "repair", dir}, {"traffic", "export", dir, "--format", "x"},
		{"traffic", "export", dir, "--from", "noon"}, {"serve", "more"}} {
		out, errs, status = runCommand("", args...)
		assert.Equal(t, 2, status, args)
		assert.Empty(t, out)
		assert.Contains(t, errs, "--help")
	}
	for _, args := range [][]string{{"store", "dump", dir + "none"}, {"store", "check", dir + "none"}, {"traffic", "export", dir}} {
		out, errs, status = runCommand("", args...)
		assert.Equal(t, 1, status, args)
		assert.Empty(t, out)
		assert.Contains(t, errs, dir)
	}
	assert.NoDirExists(t, dir+"none")
	for _, args := range [][]string{{"version"}, {"store", "stats", dir}, {"store", "compact", dir}, {"store", "check", dir},
		{"--help"}, {"store", "--help"}, {"completion", "bash"}} {
		out, errs, status = runCommand("", args...)
		assert.Zero(t, status, args)
		assert.NotEmpty(t, out)
		assert.Empty(t, errs)
	}
	// A flipped bit in the middle of a segment: check reports its file and offset, and repair copies the store without it.
	segments, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	require.NoError(t, err)
	b, err := os.ReadFile(segments[0])
	require.NoError(t, err)
	b[70] ^= 1
	require.NoError(t, os.WriteFile(segments[0], b, 0o600))
	out, errs, status = runCommand("", "store", "check", dir)
	assert.Equal(t, 1, status)
	assert.Contains(t, errs, filepath.Base(segments[0])+": offset 64")
	assert.Contains(t, out, "faults")
	repaired := filepath.Join(t.TempDir(), "repaired")
	out, errs, status = runCommand("", "store", "repair", dir, "--into", repaired)
	assert.Zero(t, status, errs)
	assert.Contains(t, out, filepath.Base(segments[0]))
	_, errs, status = runCommand("", "store", "check", repaired)
	assert.Zero(t, status, errs)
}

// A recording has the class, the attempts and the outcome of each request. It has keys only as salted hashes of 16
// characters: no file contains a key in clear text.
func TestRecordedTraffic(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "traffic")
	p := startWith(t, []string{"serve", "--record", dir}, newRunner(t, "r1", "z", serveDone))
	const good = 20
	for n := range good {
		require.Equal(t, http.StatusOK, p.send(background, "/safe", fmt.Sprint("good", n), clientTimeout, func(r *http.Request) {
			r.Header.Set("X-Route-Key", "secret-route")
			r.Header.Set("Idempotency-Key", "secret-key")
		}).status)
	}
	_, errs, status := runCommand("", "traffic", "export", dir)
	assert.Equal(t, 1, status, "an export must fail while the program records")
	assert.Contains(t, errs, "locked by another process")
	p.stop()
	require.NoError(t, <-p.exit)

	out, errs, status := runCommand("", "traffic", "export", dir)
	require.Zero(t, status, errs)
	rows, err := csv.NewReader(strings.NewReader(out)).ReadAll()
	require.NoError(t, err)
	require.Len(t, rows, good+1)
	column := map[string]int{}
	for i, name := range rows[0] {
		column[name] = i
	}
	for _, r := range rows[1:] {
		assert.Equal(t, "safe", r[column["class"]])
		assert.Equal(t, "served", r[column["answer"]])
		assert.Regexp(t, `^r1;\d+;\d+;ok$`, r[column["hops"]])
		assert.Len(t, r[column["key"]], 16)
		assert.Len(t, r[column["idempotency"]], 16)
		assert.NotEqual(t, r[column["key"]], r[column["idempotency"]])
	}
	lines, _, _ := runCommand("", "traffic", "export", dir, "--format", "jsonl")
	assert.Equal(t, good, strings.Count(lines, "\n"))
	later, _, _ := runCommand("", "traffic", "export", dir, "--format", "jsonl", "--from", "2999-01-01T00:00:00Z")
	assert.Empty(t, later)
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	for _, name := range files {
		f, err := os.Open(name)
		require.NoError(t, err)
		b, err := io.ReadAll(f)
		require.NoError(t, err)
		require.NoError(t, f.Close())
		assert.NotContains(t, string(b), "secret", name)
	}
}
