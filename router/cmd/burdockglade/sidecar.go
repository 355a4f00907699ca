package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"burdockglade.dev/platform"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/sidecar"
)

type sidecarCommand struct {
	Settings string `short:"s" help:"Settings file (INI). Default: the file that the platform names." placeholder:"FILE"`
}

// Run runs the router beside an upstream.
func (c *sidecarCommand) Run() error {
	// Until it is requested, SIGHUP ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	if path == "" {
		return invalidError{errors.New("no settings file: give --settings")}
	}
	settings, err := sidecar.LoadSettings(path)
	if err != nil {
		return invalidError{err}
	}
	sidecar.LimitMemory(settings)
	logger, closeLog := event.NewAsyncLogger(os.Stdout, log.ParseLevel(settings.Log.Level))
	defer closeLog()
	scope := metrics.New()
	defer func() { _ = scope.Close() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := sidecar.New(platform.Options(settings, logger, scope))
	go s.FollowSettings(ctx, path, reload)
	return s.Run(ctx)
}
