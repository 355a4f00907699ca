// Package dev implements the commands of `burdockctl dev`: stand-ins of the platform
// services on loopback addresses, a demo and a load tool with fixed limits.
package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"burdockglade.dev/stores/object"
	"burdockglade.dev/stores/standin"
	"burdockglade.dev/stores/table"
)

// Cmd is the grammar of `burdockctl dev`.
type Cmd struct {
	Table    TableCmd    `cmd:"" help:"Run the stand-in for the table service."`
	Objects  ObjectsCmd  `cmd:"" help:"Run the stand-in for the object store."`
	Upstream UpstreamCmd `cmd:"" help:"Run a stand-in upstream."`
	Demo     DemoCmd     `cmd:"" help:"Run a whole system in one process."`
	Load     LoadCmd     `cmd:"" help:"Send limited load to routers and check every response."`
}

// outputOrStdout returns w, or the standard output if w is nil.
func outputOrStdout(w io.Writer) io.Writer {
	if w == nil {
		return os.Stdout
	}
	return w
}

// TableCmd runs the stand-in for the table service until its context is done.
type TableCmd struct {
	Listen string    `help:"Loopback address to listen at." default:"127.0.0.1:7000"`
	Out    io.Writer `kong:"-"`
}

// Run implements the command.
func (c *TableCmd) Run(ctx context.Context) error {
	server := standin.NewTableServer(table.NewMemory())
	defer server.Close()
	return serve(ctx, c.Listen, server, outputOrStdout(c.Out), "table service")
}

// ObjectsCmd runs the stand-in for the object store until its context is done.
type ObjectsCmd struct {
	Listen string    `help:"Loopback address to listen at." default:"127.0.0.1:7001"`
	Out    io.Writer `kong:"-"`
}

// Run implements the command.
func (c *ObjectsCmd) Run(ctx context.Context) error {
	server := standin.NewObjectServer(object.NewMemory())
	defer server.Close()
	return serve(ctx, c.Listen, server, outputOrStdout(c.Out), "object store")
}

// readHeaderTimeout closes connections that send no request.
const readHeaderTimeout = 10 * time.Second

// serve serves requests on a loopback address until ctx is done.
func serve(ctx context.Context, address string, h http.Handler, out io.Writer, what string) error {
	if err := standin.CheckLoopback(address); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_, _ = fmt.Fprintf(out, "%s stand-in listens at http://%s\n", what, listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// UpstreamCmd runs a stand-in upstream. When its context is done, it drains,
// withdraws from the router and exits.
type UpstreamCmd struct {
	Name           string        `help:"Name in responses and in the ledger." default:"upstream"`
	Service        string        `help:"Service that the upstream is for." required:""`
	Kind           string        `help:"What the upstream checks." enum:"fenced,deadline,plain" default:"fenced"`
	Listen         string        `help:"Loopback address for requests." default:"127.0.0.1:0"`
	ControlListen  string        `help:"Loopback address for ledger and faults; stays up while requests are refused." default:"127.0.0.1:0"`
	Router         string        `help:"Base URL of the upstream listener of the local router; if empty, the upstream does not announce itself."`
	Slots          int           `help:"Number of requests that run concurrently." default:"16"`
	Connections    int           `help:"Limit of open connections." default:"120"`
	ConnectCost    time.Duration `help:"Time that accepting a connection takes." default:"0s"`
	ProbeCost      time.Duration `help:"Time for which a probe holds a slot." default:"0s"`
	WorkTime       time.Duration `help:"Time that a request takes." default:"0s"`
	WorkJitter     time.Duration `help:"Upper limit of a uniformly distributed addition to the work time." default:"0s"`
	ColdRequests   int           `help:"Number of requests that are slower after the start." default:"0"`
	ColdTime       time.Duration `help:"Addition to the work time of cold requests." default:"0s"`
	AnswerBytes    int           `help:"Minimum size of a response in bytes." default:"0"`
	CallRouter     string        `help:"Base URL of the caller listener, on a loopback IP, of the router through which running requests call other services."`
	IgnoreCancel   bool          `help:"Continue work whose caller has disconnected."`
	RenewEvery     time.Duration `help:"Interval of renewals at the router." default:"250ms"`
	LedgerUnits    int           `help:"Units of work that the ledger holds." default:"500000"`
	Seed           uint64        `help:"Seed of jitter and of the shares of faults." default:"0"`
	QuietBeforeEnd time.Duration `help:"Time without a request after which a draining upstream exits." default:"2s"`
	StopTimeout    time.Duration `help:"Time limit for the drain." default:"30s"`
	Out            io.Writer     `kong:"-"`
}

// Run implements the command.
func (c *UpstreamCmd) Run(ctx context.Context) error {
	out := outputOrStdout(c.Out)
	upstream, err := standin.StartUpstream(c.options(out))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "upstream %s of service %s listens at http://%s, control at %s\n",
		c.Name, c.Service, upstream.Address(), upstream.ControlURL())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.StopTimeout)
	defer cancel()
	_, _ = fmt.Fprintf(out, "upstream %s is leaving\n", c.Name)
	return upstream.Stop(stopCtx, c.QuietBeforeEnd)
}

func (c *UpstreamCmd) options(out io.Writer) standin.UpstreamOptions {
	return standin.UpstreamOptions{
		Name:             c.Name,
		Service:          c.Service,
		Kind:             standin.Kind(c.Kind),
		Address:          c.Listen,
		ControlAddress:   c.ControlListen,
		Router:           c.Router,
		Slots:            c.Slots,
		Connections:      c.Connections,
		AcceptTime:       c.ConnectCost,
		ProbeTime:        c.ProbeCost,
		WorkTime:         c.WorkTime,
		WorkJitter:       c.WorkJitter,
		ColdRequests:     c.ColdRequests,
		ColdTime:         c.ColdTime,
		MinResponseBytes: c.AnswerBytes,
		CallRouter:       c.CallRouter,
		IgnoreCancel:     c.IgnoreCancel,
		RenewInterval:    c.RenewEvery,
		LedgerUnits:      c.LedgerUnits,
		Seed:             c.Seed,
		Logf: func(format string, args ...any) {
			_, _ = fmt.Fprintf(out, format+"\n", args...)
		},
	}
}
