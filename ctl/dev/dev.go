// Package dev holds the commands of `burdockctl dev`: the stand-ins of the
// platform as processes on loopback addresses, and a bounded load tool.
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
	Load     LoadCmd     `cmd:"" help:"Send bounded load to routers and check every answer."`
}

// output returns where a command prints.
func output(w io.Writer) io.Writer {
	if w == nil {
		return os.Stdout
	}
	return w
}

// TableCmd runs the stand-in for the table service until its context ends.
type TableCmd struct {
	Listen string    `help:"Loopback address to listen at." default:"127.0.0.1:7000"`
	Out    io.Writer `kong:"-"`
}

// Run implements the command.
func (c *TableCmd) Run(ctx context.Context) error {
	server := standin.NewTableServer(table.NewMemory())
	defer server.Close()
	return serve(ctx, c.Listen, server, output(c.Out), "table service")
}

// ObjectsCmd runs the stand-in for the object store until its context ends.
type ObjectsCmd struct {
	Listen string    `help:"Loopback address to listen at." default:"127.0.0.1:7001"`
	Out    io.Writer `kong:"-"`
}

// Run implements the command.
func (c *ObjectsCmd) Run(ctx context.Context) error {
	server := standin.NewObjectServer(object.NewMemory())
	defer server.Close()
	return serve(ctx, c.Listen, server, output(c.Out), "object store")
}

// readHeaderTimeout ends connections that send no request.
const readHeaderTimeout = 10 * time.Second

// serve answers requests until ctx ends.
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

// UpstreamCmd runs a stand-in upstream. When its context ends, it drains,
// withdraws at the router and exits.
type UpstreamCmd struct {
	Name           string        `help:"Name in answers and in the ledger." default:"upstream"`
	Service        string        `help:"Service that the upstream is for." required:""`
	Kind           string        `help:"What the upstream checks." enum:"fenced,deadline,plain" default:"fenced"`
	Listen         string        `help:"Loopback address for requests." default:"127.0.0.1:0"`
	ControlListen  string        `help:"Loopback address for ledger and faults; stays up while requests are refused." default:"127.0.0.1:0"`
	Router         string        `help:"Base URL of the upstream listener of the router beside; none announces nothing."`
	Slots          int           `help:"Requests at work at the same time." default:"16"`
	Connections    int           `help:"Open connections." default:"120"`
	ConnectCost    time.Duration `help:"Time that accepting a connection takes." default:"0s"`
	ProbeCost      time.Duration `help:"Time for which a probe holds a slot." default:"0s"`
	WorkTime       time.Duration `help:"Time that a request takes." default:"0s"`
	WorkJitter     time.Duration `help:"Upper end of an evenly distributed addition to the work time." default:"0s"`
	ColdRequests   int           `help:"Number of requests that are slower after the start." default:"0"`
	ColdTime       time.Duration `help:"Addition to the work time of cold requests." default:"0s"`
	AnswerBytes    int           `help:"Smallest size of an answer." default:"0"`
	IgnoreCancel   bool          `help:"Go on with work whose sender has left."`
	RenewEvery     time.Duration `help:"Interval of renewals at the router." default:"250ms"`
	LedgerUnits    int           `help:"Units of work that the ledger holds." default:"500000"`
	Seed           uint64        `help:"Seed of jitter and of the shares of faults." default:"0"`
	QuietBeforeEnd time.Duration `help:"Time without a request after which a leaving upstream ends." default:"2s"`
	StopTimeout    time.Duration `help:"Longest time that leaving takes." default:"30s"`
	Out            io.Writer     `kong:"-"`
}

// Run implements the command.
func (c *UpstreamCmd) Run(ctx context.Context) error {
	out := output(c.Out)
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
		IgnoreCancel:     c.IgnoreCancel,
		RenewInterval:    c.RenewEvery,
		LedgerUnits:      c.LedgerUnits,
		Seed:             c.Seed,
		Logf: func(format string, args ...any) {
			_, _ = fmt.Fprintf(out, format+"\n", args...)
		},
	}
}
