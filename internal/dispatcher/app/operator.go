package app

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/console"
	"ospreypond/internal/dispatcher/ingress"
	"ospreypond/internal/dispatcher/maintenance"
	"ospreypond/internal/dispatcher/routetable"
	"ospreypond/policy"
)

// disabledFile has the runners that operators disabled, under $TMPDIR: the next process at an upgrade starts with
// them, as a runner stays disabled until it is enabled, whatever process serves. Its name and form are read by other
// versions.
const disabledFile = "ospreypond-bans.json"

// operator carries out the console's calls. No call waits for the coordinator: the module is notified from a
// goroutine.
type operator struct {
	server  *ingress.Server
	table   *routetable.Table
	notify  func(policy.Event)
	reloads *reloads
	peers   *peers
	dir     string // of disabledFile
	log     logrus.FieldLogger
}

func (o *operator) Ready() (bool, string)     { return o.server.Ready() }
func (o *operator) Drain()                    { o.server.Drain() }
func (o *operator) Undrain()                  { o.server.Undrain() }
func (o *operator) GivenUp() map[string]int64 { return o.server.GiveUps().Counts() }
func (o *operator) Reloads() string           { return o.reloads.String() }
func (o *operator) Fleet() any                { return o.peers.view() }

func (o *operator) Disable(id string) error {
	changed, err := o.table.Disable(id)
	return o.apply(changed, err)
}

func (o *operator) Enable(id string) error {
	changed, err := o.table.Enable(id, time.Now())
	return o.apply(changed, err)
}

// apply saves the disabled runners and notifies the module of the changed members.
func (o *operator) apply(changed []policy.Member, err error) error {
	if errors.Is(err, maintenance.ErrUnknownRunner) {
		return console.ErrUnknownRunner // the console adds the id
	}
	if err != nil {
		return err
	}
	if err := saveDisabled(o.dir, o.table.Disabled()); err != nil {
		o.log.WithError(err).Error("the runners taken out could not be kept for the next process")
	}
	if len(changed) > 0 {
		go o.notify(policy.Event{Kind: policy.ListChanged, Members: changed})
	}
	return nil
}

// saveDisabled replaces the file atomically and durably, so that a process reads either the old list or the new one.
func saveDisabled(dir string, ids []string) error {
	text, err := json.Marshal(ids)
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(dir, disabledFile), text, 0o600, renameio.WithTempDir(dir))
}

// loadDisabled reads what the process before this one saved; without a file none is disabled.
func loadDisabled(dir string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(dir, disabledFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var ids []string
	if err := json.Unmarshal(text, &ids); err != nil {
		return nil, fmt.Errorf("%s: %w", disabledFile, err)
	}
	return ids, nil
}
