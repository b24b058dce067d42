package frontend

import (
	"context"
	"os"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/seeds"
	"ospreypond/internal/cluster/transport"
)

// Run serves clients until ctx ends, then stops in order.
func Run(ctx context.Context, settings *boot.Settings, logger log.Logger) error {
	hangups := seeds.Hangups()
	clients, err := listen(ctx, settings.Listen[boot.ListenFrontend])
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	readiness, err := listen(ctx, settings.Listen[boot.ListenReadiness])
	if err != nil {
		clients.Close()
		return errors.Wrap(err, "listen for the question of readiness")
	}
	client := transport.NewClient(transport.ClientOptions{Logger: logger, Name: settings.NodeName})
	defer client.Close()

	// The directory goes on until the last request is answered, which is after ctx has ended.
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	process := NewProcess(ProcessOptions{
		Client:    client,
		Addresses: settings.SeedInternalAddresses(),
		Node:      settings.NodeName,
		Zone:      settings.Zone,
		Bounds:    Bounds{ConfigApply: settings.Bounds.ConfigApply, MaxSkew: settings.Bounds.MaxSkew},
		Logger:    logger,
	})
	go process.Run(serving)
	follower := seeds.NewFollower(seeds.Options{Path: os.Getenv(boot.Variable), Seeds: settings.SeedInternalAddresses(),
		Directory: process.Known, Logger: logger})
	go follower.Run(serving, hangups)

	level.Info(logger).Log("msg", "frontend is up", "node", settings.NodeName, "clients", settings.Listen[boot.ListenFrontend])
	return NewServer(process.Service, settings.Bounds.Grace, logger).Run(ctx, clients, readiness)
}
