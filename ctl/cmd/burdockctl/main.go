// Command burdockctl operates burdockglade routers and runs the stand-ins of
// the platform for development.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"burdockglade.dev/ctl/command"
	"burdockglade.dev/ctl/dev"
)

// grammar is the operator's command line with the commands for development.
type grammar struct {
	command.Grammar

	Dev dev.Cmd `cmd:"" help:"Stand-ins of the platform, a demo and a load tool."`
}

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var g grammar
	streams := command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	return command.Run(ctx, &g, &g.Grammar, os.Args[1:], streams)
}
