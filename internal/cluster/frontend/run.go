package frontend

import (
	"context"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/seeds"
	"ospreypond/internal/cluster/transport"
	"ospreypond/internal/cluster/uplink"
)

// Run serves clients until ctx ends, and then shuts down; see Server.Run.
func Run(ctx context.Context, settings *boot.Settings, logger log.Logger) error {
	hangups := seeds.Hangups()
	listeners, err := uplink.Listen(ctx,
		uplink.Endpoint{Address: settings.Listen[boot.ListenFrontend], Purpose: "clients"},
		uplink.Endpoint{Address: settings.Listen[boot.ListenReadiness], Purpose: "readiness probes"})
	if err != nil {
		return err
	}
	client := transport.NewClient(transport.ClientOptions{Logger: logger, Name: settings.NodeName})
	defer client.Close()
	process := NewProcess(ProcessOptions{
		Client:    client,
		Addresses: settings.SeedInternalAddresses(),
		Node:      settings.NodeName,
		Zone:      settings.Zone,
		Bounds:    Bounds{ConfigApply: settings.Bounds.ConfigApply, MaxSkew: settings.Bounds.MaxSkew},
		Logger:    logger,
	})
	stop := uplink.Follow(ctx, uplink.Options{Process: process, Known: process.Known, Settings: settings, Hangups: hangups,
		Logger: logger})
	defer stop()

	_ = level.Info(logger).Log("msg", "frontend is up", "node", settings.NodeName, "clients", settings.Listen[boot.ListenFrontend])
	return NewServer(process.Service, settings.Bounds.Grace, logger).Run(ctx, listeners[0], listeners[1])
}
