package app

import (
	"context"
	"os"
	"reflect"

	"ospreypond/internal/dispatcher/config"
)

// reloadAt reloads the configuration at each signal, until ctx ends: the complete file is read and checked, and an
// invalid one changes nothing.
func (d *dispatcher) reloadAt(ctx context.Context, signals <-chan os.Signal, getenv func(string) string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		d.reload(getenv)
	}
}

func (d *dispatcher) reload(getenv func(string) string) {
	cfg := d.inForce.Load()
	next, err := cfg.Reload(getenv)
	if err != nil {
		d.log.WithError(err).WithField("refused", d.reloads.refuse(err)).Error("new configuration is faulty; the old one stays")
		return
	}
	if !reflect.DeepEqual(cfg.Settings, next.Settings) {
		if err := d.retune(next); err != nil {
			d.log.WithError(err).WithField("refused", d.reloads.refuse(err)).Error("new settings are faulty; the old ones stay")
			return
		}
		d.watcher.SetTimes(next.DiscoveryHold(), next.DrainGrace())
		d.watcher.KeepOpen(!next.Policy.ListOnDemand)
		d.log.WithField("classes", len(next.Policy.Classes)).Info("settings changed; requests under way keep theirs")
	}
	d.watcher.SetAddress(next.Discovery)
	entry := d.log.WithField("discovery", next.Discovery)
	if keys := cfg.NeedRestart(next); len(keys) > 0 {
		entry = entry.WithField("needs_restart", keys)
	}
	entry.WithField("taken", d.reloads.accept()).Info("configuration reloaded")
	d.inForce.Store(next)
}

// retune applies new settings: to the coordinator before the ingress, so that a request of a new class is decided on by
// a module that has it. After an error nothing has changed.
func (d *dispatcher) retune(next *config.Config) error {
	if err := d.peers.checkConfig(next); err != nil {
		return err
	}
	if err := d.coord.UpdateSettings(next.Policy); err != nil {
		return err
	}
	d.egress.UpdateSettings(next)
	d.server.UpdateSettings(&next.Policy)
	return nil
}
