// Command burdockglade runs the router beside an upstream.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/node"
	"burdockglade.dev/router/settings"
)

// Exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

type grammar struct {
	Run     runCommand     `cmd:"" help:"Run the router of this host until SIGTERM or SIGINT."`
	Sidecar sidecarCommand `cmd:"" help:"Run the router beside an upstream on the users' platform until SIGTERM or SIGINT."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and exit."`
	Version versionCommand `cmd:"" help:"Print the version and exit."`
}

type runCommand struct {
	Settings string `required:"" short:"s" help:"Settings file (INI)." placeholder:"FILE"`
}

type checkCommand struct {
	Settings string `arg:"" help:"Settings file (INI)." placeholder:"FILE"`
}

type versionCommand struct{}

// invalidError wraps errors in the settings, which have their own exit code.
type invalidError struct {
	err error
}

// Error implements error.
func (e invalidError) Error() string {
	return e.err.Error()
}

// Run runs the router.
func (c *runCommand) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return invalidError{err}
	}
	connguard.LimitMemory(s.Host.MemoryBytes())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	scope := metrics.New()
	defer func() { _ = scope.Close() }()
	n, err := node.New(node.Options{
		Settings: s,
		Log:      event.NewLogger(os.Stderr, log.ParseLevel(s.Log.Level)),
		Metrics:  scope,
	})
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// Run checks the settings.
func (c *checkCommand) Run() error {
	if _, err := settings.Load(c.Settings); err != nil {
		return invalidError{err}
	}
	fmt.Printf("%s: ok\n", c.Settings)
	return nil
}

// Run prints the version that the Go toolchain recorded.
func (versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Printf("burdockglade %s\n", version)
	return nil
}

func main() {
	var g grammar
	ctx := kong.Parse(&g,
		kong.Name("burdockglade"),
		kong.Description("Router for servers that own keys exclusively. One process runs beside each upstream.\n\nExamples:\n  burdockglade check host.ini\n  burdockglade run --settings host.ini"),
		kong.UsageOnError(),
	)
	err := ctx.Run()
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "burdockglade: %v\n", err)
	// The command-line parser wraps the errors of commands.
	var invalid invalidError
	if errors.As(err, &invalid) {
		os.Exit(exitInvalid)
	}
	os.Exit(exitFailed)
}
