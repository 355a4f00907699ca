// Command burdockctl operates burdockglade routers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"burdockglade.dev/ctl/command"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var grammar command.Grammar
	streams := command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	return command.Run(ctx, &grammar, &grammar, os.Args[1:], streams)
}
