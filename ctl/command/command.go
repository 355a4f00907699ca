// Package command implements the commands of burdockctl. It does not depend on the
// process's streams and exit, so that tests can run the commands.
//
// A program with additional commands embeds Grammar in its own struct and passes
// that struct to Run.
package command

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"burdockglade.dev/router/admin"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/settings"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // refused, failed or not confirmed
	ExitUsage    = 2 // wrong arguments or invalid input
	ExitConflict = 3 // conflict with another change
	ExitRefused  = 3 // explain: the request would be refused
	ExitUnknown  = 4 // router or store unreachable, or outcome unknown
	ExitTimeout  = 5 // the wait timed out
)

const description = `Operates burdockglade routers through their administration API.

Exit codes: 0 done; 1 refused, failed or not confirmed; 2 wrong arguments or
invalid input; 3 conflict with another change, or explain: the request would be
refused; 4 router or store unreachable, or outcome unknown; 5 wait timed out.`

// Grammar is the command line of burdockctl.
type Grammar struct {
	Admin     string `help:"Address of a router's administration API." default:"http://127.0.0.1:8084" env:"BURDOCK_ADMIN" placeholder:"URL"`
	TokenFile string `help:"File with the bearer token, readable by its owner only." env:"BURDOCK_TOKEN_FILE" placeholder:"PATH"`
	Output    string `help:"Form of the output: table or json." enum:"table,json" default:"table" short:"o"`
	Yes       bool   `help:"Do not ask for confirmation." short:"y"`

	Note     NoteCmd     `cmd:"" help:"Release notes: publish, show, diff, status, check."`
	Owners   OwnersCmd   `cmd:"" help:"Show who owns the shards of a service."`
	Members  MembersCmd  `cmd:"" help:"Show the hosts that the router knows."`
	Move     MoveCmd     `cmd:"" help:"Move a shard to another host."`
	Drain    DrainCmd    `cmd:"" help:"Make a host move its shards away and stop."`
	Takeover TakeoverCmd `cmd:"" help:"Take over a group whose holder and standby are switched off."`
	Explain  ExplainCmd  `cmd:"" help:"Explain where a sidecar would send a request."`
	Settings SettingsCmd `cmd:"" help:"Settings of a router process."`
	Version  VersionCmd  `cmd:"" help:"Show the version of burdockctl."`
}

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer // results
	Err io.Writer // errors, questions and progress
}

// Env is passed to the Run method of every command.
type Env struct {
	Context context.Context
	Streams
	Grammar *Grammar
}

// exitRequest is the panic value that carries the exit code of a help flag out of
// the parser.
type exitRequest int

// Run parses the arguments, runs one command and returns the exit code. The grammar
// is a pointer to base or to a struct that embeds base.
func Run(ctx context.Context, grammar any, base *Grammar, args []string, s Streams) (code int) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case exitRequest:
			code = int(v)
		default:
			panic(v)
		}
	}()
	parser, err := kong.New(grammar,
		kong.Name("burdockctl"),
		kong.Description(description),
		kong.Writers(s.Out, s.Err),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		return reportError(s, fmt.Errorf("command line: %w", err))
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return reportError(s, &usageError{err})
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	return reportError(s, parsed.Run(&Env{Context: ctx, Streams: s, Grammar: base}))
}

// reportError prints the error, if any, and returns its exit code.
func reportError(s Streams, err error) int {
	if err != nil {
		_, _ = fmt.Fprintf(s.Err, "burdockctl: %v\n", err)
	}
	return ExitCode(err)
}

// usageError is an error caused by wrong arguments or invalid input.
type usageError struct{ error }

func (e *usageError) Unwrap() error { return e.error }

// ErrTimeout is returned if a wait timed out.
var ErrTimeout = errors.New("wait timed out")

// ErrNotConfirmed is returned if the operator did not confirm with yes.
var ErrNotConfirmed = errors.New("not confirmed")

// ExitCode returns the exit code for an error, or ExitOK for nil.
func ExitCode(err error) int {
	var usage *usageError
	var problems settings.Problems
	var kindErr *errkind.Error
	var refused *refusedError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrTimeout):
		return ExitTimeout
	case errors.As(err, &refused):
		return ExitRefused
	case errors.As(err, &usage), errors.As(err, &problems):
		return ExitUsage
	case !errors.As(err, &kindErr):
		return ExitFailed
	}
	switch kindErr.Kind {
	case errkind.BadRequest, errkind.TooLarge, errkind.NoteInvalid:
		return ExitUsage
	case errkind.NoteConflict, errkind.Conflict:
		return ExitConflict
	case errkind.PeerUnreachable, errkind.StoreUnavailable:
		return ExitUnknown
	}
	if errkind.ResponseOf(kindErr.Kind).Outcome == errkind.Unknown {
		return ExitUnknown
	}
	return ExitFailed
}

// Client returns a client of the administration API at --admin. The caller closes
// it.
func (e *Env) Client() (*admin.Client, error) {
	if e.Grammar.TokenFile == "" {
		return nil, &usageError{errors.New("no token: set --token-file or BURDOCK_TOKEN_FILE")}
	}
	token, err := settings.ReadSecretFile(e.Grammar.TokenFile)
	if err != nil {
		return nil, &usageError{fmt.Errorf("token file %w", err)}
	}
	c, err := admin.NewClient(admin.ClientOptions{BaseURL: e.Grammar.Admin, Token: token.Reveal()})
	if err != nil {
		return nil, &usageError{fmt.Errorf("--admin: %w", err)}
	}
	return c, nil
}

// Confirm asks the operator to confirm, unless --yes is set. It returns
// ErrNotConfirmed if the reply is not yes.
func (e *Env) Confirm(question string) error {
	if e.Grammar.Yes {
		return nil
	}
	e.progressf("%s [y/N] ", question)
	reply, err := bufio.NewReader(e.In).ReadString('\n')
	if err != nil && reply == "" {
		e.progressf("\n")
		return fmt.Errorf("%w: no reply; use --yes without a terminal", ErrNotConfirmed)
	}
	reply = strings.ToLower(strings.TrimSpace(reply))
	if reply != "y" && reply != "yes" {
		return ErrNotConfirmed
	}
	return nil
}

// progressf writes questions and progress to the error stream.
func (e *Env) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Err, format, args...)
}

// Print writes a result as JSON or as a table, depending on --output. fill writes
// the table with cells separated by tabs.
func (e *Env) Print(result any, fill func(w io.Writer)) error {
	if e.Grammar.Output == "json" {
		encoder := json.NewEncoder(e.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	table := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fill(table)
	return table.Flush()
}

// row writes one row of a table.
func row(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = io.WriteString(w, "\t")
		}
		_, _ = fmt.Fprint(w, cell)
	}
	_, _ = io.WriteString(w, "\n")
}
