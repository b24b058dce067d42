package app

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/ingress"
	"ospreypond/internal/dispatcher/lifecycle"
	"ospreypond/internal/dispatcher/routetable"
	"ospreypond/policy"
)

// A process loads the disabled runners that the previous one saved. Without a file no runner is disabled. The error of a
// corrupt file names the file.
func TestDisabledRunnersPassToTheNextProcess(t *testing.T) {
	dir := t.TempDir()
	ids, err := loadDisabled(dir)
	require.NoError(t, err)
	assert.Empty(t, ids)
	require.NoError(t, saveDisabled(dir, []string{"s-1", "s-2"}))
	require.NoError(t, saveDisabled(dir, []string{"s-2"}))
	ids, err = loadDisabled(dir)
	require.NoError(t, err)
	assert.Equal(t, []string{"s-2"}, ids)
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	assert.Len(t, files, 1, "no temporary file is left")

	require.NoError(t, os.WriteFile(filepath.Join(dir, disabledFile), []byte(`["s-`), 0o600))
	_, err = loadDisabled(dir)
	assert.ErrorContains(t, err, disabledFile)
}

// During an upgrade in place the new process can listen at the clients' address while the old one still does.
func TestTwoProcessesListenAtOneAddress(t *testing.T) {
	first, err := listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = first.Close() })
	second, err := listen(context.Background(), first.Addr().String())
	require.NoError(t, err, "the second process listens while the first still does")
	t.Cleanup(func() { _ = second.Close() })
}

// Guards against a console call that waits for a busy coordinator. While the coordinator's inbox is full, every call returns
// within the callers' timeout, and the decision module is notified of the changes later.
func TestCallsDoNotWaitForTheCoordinator(t *testing.T) {
	table := routetable.New()
	table.Apply(&routetable.List{Full: true, Hosts: []routetable.Host{{Host: "s-1", Dial: "127.0.0.1:1", Health: "SERVING"}}})
	stuck := make(chan policy.Event) // stands for a full inbox: the test reads it only at the end
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := ingress.New(nil, lifecycle.New(nil), &policy.Settings{}, 10, 1<<20, log)
	o := &operator{server: server, table: table, notify: func(e policy.Event) { stuck <- e }, dir: t.TempDir(), log: log}
	for _, call := range []func() error{
		func() error { return o.Disable("s-1") },
		func() error { return o.Enable("s-1") },
		func() error { o.Drain(); return nil },
		func() error { o.Undrain(); return nil },
		func() error { _, _ = o.Ready(); _ = o.GivenUp(); return nil },
	} {
		done := make(chan error, 1)
		go func() { done <- call() }()
		select {
		case err := <-done:
			require.NoError(t, err)
		case <-time.After(time.Second): // the callers' timeout
			t.Fatal("a call waited for the coordinator")
		}
	}
	for range 2 { // the module is notified of both changes
		select {
		case e := <-stuck:
			assert.Equal(t, policy.ListChanged, e.Kind)
		case <-time.After(5 * time.Second):
			t.Fatal("the module was never notified")
		}
	}
}
