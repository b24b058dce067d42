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

// disabledFile is the name of the file in $TMPDIR that lists the runners that operators have disabled, as a JSON array. The
// next process reads it at its start, because a runner stays disabled until an operator enables it, also after an upgrade.
// Other versions read the file, so its name and format must not change.
const disabledFile = "ospreypond-bans.json"

// operator implements console.Operations. No call waits for the coordinator: a separate goroutine notifies the decision
// module of changed runners.
type operator struct {
	server  *ingress.Server
	table   *routetable.Table
	notify  func(policy.Event) // passes an event to the decision module; may block
	reloads *reloads
	peers   *peers
	dir     string // folder of disabledFile
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

// apply saves the list of disabled runners and notifies the decision module of the changed members.
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

// saveDisabled replaces disabledFile atomically and durably, so that a process reads either the old or the new list.
func saveDisabled(dir string, ids []string) error {
	text, err := json.Marshal(ids)
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(dir, disabledFile), text, 0o600, renameio.WithTempDir(dir))
}

// loadDisabled returns the runners that the previous process saved as disabled; none if there is no file.
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
