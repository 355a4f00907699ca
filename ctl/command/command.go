// Package command holds the commands of burdockctl, apart from the process, so
// that they can be tested.
//
// A program with further commands embeds Grammar in a struct of its own and
// passes that struct to Run.
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
	ExitConflict = 3 // another change came first
	ExitUnknown  = 4 // router or store unreachable, or outcome unknown
	ExitTimeout  = 5 // the awaited state was not reached in time
)

const description = `Operates burdockglade routers through their administration API.

Exit codes: 0 done; 1 refused, failed or not confirmed; 2 wrong arguments or
invalid input; 3 conflict with another change; 4 router or store unreachable, or
outcome unknown; 5 wait timed out.`

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

// exitRequest carries the exit code of a help flag out of the parser.
type exitRequest int

// Run parses the arguments and runs one command. The grammar is a pointer to a
// struct that is or embeds base. It returns the exit code.
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
		return fail(s, fmt.Errorf("command line: %w", err))
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return fail(s, &usageError{err})
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	return fail(s, parsed.Run(&Env{Context: ctx, Streams: s, Grammar: base}))
}

// fail prints the error, if any, and returns its exit code.
func fail(s Streams, err error) int {
	if err != nil {
		_, _ = fmt.Fprintf(s.Err, "burdockctl: %v\n", err)
	}
	return ExitCode(err)
}

// usageError is a fault of the arguments.
type usageError struct{ error }

func (e *usageError) Unwrap() error { return e.error }

// ErrTimeout means that the awaited state was not reached in time.
var ErrTimeout = errors.New("wait timed out")

// ErrNotConfirmed means that the operator did not answer yes.
var ErrNotConfirmed = errors.New("not confirmed")

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var usage *usageError
	var problems settings.Problems
	var kinded *errkind.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrTimeout):
		return ExitTimeout
	case errors.As(err, &usage), errors.As(err, &problems):
		return ExitUsage
	case !errors.As(err, &kinded):
		return ExitFailed
	}
	switch kinded.Kind {
	case errkind.BadRequest, errkind.TooLarge, errkind.NoteInvalid:
		return ExitUsage
	case errkind.NoteConflict, errkind.Conflict:
		return ExitConflict
	case errkind.PeerUnreachable, errkind.StoreUnavailable:
		return ExitUnknown
	}
	if errkind.ResponseOf(kinded.Kind).Outcome == errkind.Unknown {
		return ExitUnknown
	}
	return ExitFailed
}

// Client returns a client of the administration API.
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

// Confirm asks the operator unless --yes is given.
func (e *Env) Confirm(question string) error {
	if e.Grammar.Yes {
		return nil
	}
	e.notef("%s [y/N] ", question)
	answer, err := bufio.NewReader(e.In).ReadString('\n')
	if err != nil && answer == "" {
		e.notef("\n")
		return fmt.Errorf("%w: no answer; use --yes without a terminal", ErrNotConfirmed)
	}
	answer = strings.ToLower(strings.TrimSpace(answer))
	if answer != "y" && answer != "yes" {
		return ErrNotConfirmed
	}
	return nil
}

// notef writes progress.
func (e *Env) notef(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Err, format, args...)
}

// Print writes a result: as JSON, or as the table that fill writes with cells
// separated by tabs.
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
