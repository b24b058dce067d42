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

// disabledFile holds the runners that operators took out, under $TMPDIR: a process that takes over at an upgrade
// starts with them, since a runner stays disabled until it is enabled, whatever process serves.
const disabledFile = "ospreypond-bans.json"

// operator carries out the console's calls on the running parts. Each call returns at once: the module is
// told through the coordinator's inbox from a goroutine of its own.
type operator struct {
	server *ingress.Server
	table  *routetable.Table
	news   func(policy.Event)
	// reloads counts the files read at SIGHUP.
	reloads *reloads
	peers   *peers
	dir     string // where the disabled runners are kept for the next process
	log     logrus.FieldLogger
}

func (o *operator) Ready() (bool, string)     { return o.server.Ready() }
func (o *operator) Drain()                    { o.server.Drain() }
func (o *operator) Undrain()                  { o.server.Undrain() }
func (o *operator) GivenUp() map[string]int64 { return o.server.GiveUps().Counts() }
func (o *operator) Reloads() string           { return o.reloads.String() }
func (o *operator) Fleet() any                { return o.peers.look() }

func (o *operator) Disable(id string) error {
	changed, err := o.table.Disable(id)
	return o.tell(changed, err)
}

func (o *operator) Enable(id string) error {
	changed, err := o.table.Enable(id, time.Now())
	return o.tell(changed, err)
}

func (o *operator) tell(changed []policy.Member, err error) error {
	if errors.Is(err, maintenance.ErrUnknown) {
		return console.ErrUnknown // it says what is at fault; the console names the id
	}
	if err != nil {
		return err
	}
	if err := saveDisabled(o.dir, o.table.Disabled()); err != nil {
		o.log.WithError(err).Error("the runners taken out could not be kept for the next process")
	}
	if len(changed) > 0 {
		go o.news(policy.Event{Kind: policy.ListChanged, Members: changed})
	}
	return nil
}

// saveDisabled replaces the file whole and durably, so that a process that reads it meanwhile sees the old list or
// the new.
func saveDisabled(dir string, ids []string) error {
	text, err := json.Marshal(ids)
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(dir, disabledFile), text, 0o600, renameio.WithTempDir(dir))
}

// loadDisabled reads what a process before this one kept; no file: none is disabled.
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
