// Command burdockctl is the operator's command.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"burdockglade.dev/ctl/dev"
)

type grammar struct {
	Dev dev.Cmd `cmd:"" help:"Stand-ins of the platform for development and tests."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var g grammar
	parsed := kong.Parse(&g, kong.Name("burdockctl"), kong.UsageOnError())
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "burdockctl: %v\n", err)
		os.Exit(1)
	}
}
