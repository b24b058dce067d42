package app

import (
	"context"
	"os"
	"reflect"

	"ospreypond/internal/dispatcher/config"
)

// reloadAt reloads the configuration at each signal until ctx ends.
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

// reload reads and checks the complete configuration file and applies it. An invalid file has no effect: it is logged and
// counted as refused.
func (d *dispatcher) reload(getenv func(string) string) {
	cfg := d.current.Load()
	next, err := cfg.Reload(getenv)
	if err != nil {
		d.log.WithError(err).WithField("refused", d.reloads.refuse(err)).Error("new configuration is faulty; the old one stays")
		return
	}
	if !reflect.DeepEqual(cfg.Settings, next.Settings) {
		if err := d.applySettings(next); err != nil {
			d.log.WithError(err).WithField("refused", d.reloads.refuse(err)).Error("new settings are faulty; the old ones stay")
			return
		}
		d.watcher.SetTimes(next.DiscoveryHold(), next.DrainGrace())
		d.watcher.KeepOpen(!next.Policy.ListOnDemand)
		d.log.WithField("classes", len(next.Policy.Classes)).Info("settings changed; open requests keep the previous settings")
	}
	d.watcher.SetAddress(next.Discovery)
	entry := d.log.WithField("discovery", next.Discovery)
	if keys := cfg.NeedRestart(next); len(keys) > 0 {
		entry = entry.WithField("needs_restart", keys)
	}
	entry.WithField("taken", d.reloads.accept()).Info("configuration reloaded")
	d.current.Store(next)
}

// applySettings applies new settings to the running parts. The coordinator gets them before the ingress, so that a decision
// module that has a new class exists before the first request of that class arrives. After an error the running parts
// still have the old settings.
func (d *dispatcher) applySettings(next *config.Config) error {
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
