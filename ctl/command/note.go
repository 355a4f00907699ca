package command

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"burdockglade.dev/router/admin"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/note"
)

// NoteCmd groups the commands for release notes.
type NoteCmd struct {
	Publish NotePublishCmd `cmd:"" help:"Publish a release note."`
	Show    NoteShowCmd    `cmd:"" help:"Show the configuration in force, or an earlier note."`
	Diff    NoteDiffCmd    `cmd:"" help:"Show what a note would change."`
	Status  NoteStatusCmd  `cmd:"" help:"Show which version each host has in force."`
	Check   NoteCheckCmd   `cmd:"" help:"Check the text of a note without a router."`
}

// stdin is the file name that stands for the standard input.
const stdin = "-"

// readNote reads and parses a note. It returns its text as well.
func readNote(e *Env, file string) ([]byte, note.Note, error) {
	var text []byte
	var err error
	if file == stdin {
		text, err = io.ReadAll(e.In)
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, note.Note{}, &usageError{fmt.Errorf("reading the note: %w", err)}
	}
	n, err := note.Parse(file, text)
	return text, n, err
}

// NotePublishCmd publishes a release note.
type NotePublishCmd struct {
	File      string `arg:"" help:"File with the note; - reads standard input and needs --yes."`
	PublishID string `name:"publish-id" help:"Publish id of an earlier call with the same note, to repeat that call." placeholder:"ID"`
}

// Help implements kong.HelpProvider.
func (NotePublishCmd) Help() string {
	return `Shows what the note changes, asks, and publishes it. The publish id is
printed before the note is sent. If the response is lost (exit code 4), repeat
the command with --publish-id: the note takes effect at most once, and the
repeated call returns the result of the first.

Examples:

    burdockctl note publish market.ini
    burdockctl --yes note publish market.ini
    burdockctl note publish market.ini --publish-id 4TQ2KZ5O7M3XGJ6WB2A4CDE5FG`
}

// Run publishes the note.
func (c *NotePublishCmd) Run(e *Env) error {
	if c.File == stdin && !e.Grammar.Yes {
		return &usageError{errors.New("a note from standard input needs --yes")}
	}
	if c.PublishID != "" && !note.ValidPublishID(c.PublishID) {
		return &usageError{errors.New("--publish-id: want 8 to 64 letters, digits and hyphens")}
	}
	text, _, err := readNote(e, c.File)
	if err != nil {
		return err
	}
	client, err := e.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := c.preview(e, client, text); err != nil {
		return err
	}
	if err := e.Confirm("Publish this note?"); err != nil {
		return err
	}
	return c.publish(e, client, text)
}

// preview shows the changes. With --publish-id the note may already be in force, so
// a conflict is ignored here and is decided by the publication.
func (c *NotePublishCmd) preview(e *Env, client *admin.Client, text []byte) error {
	diff, err := client.DiffNote(e.Context, text)
	if c.PublishID != "" && errkind.Is(err, errkind.NoteConflict) {
		e.progressf("The version in force is newer than the note's base; the earlier call may have taken effect.\n")
		return nil
	}
	if err != nil {
		return err
	}
	writeDiff(e.Err, diff)
	return nil
}

// publish publishes the note. If the outcome is unknown, the error names the command
// that repeats the call.
func (c *NotePublishCmd) publish(e *Env, client *admin.Client, text []byte) error {
	id := c.PublishID
	if id == "" {
		id = rand.Text()
	}
	e.progressf("publish id: %s\n", id)
	result, err := client.PublishNote(e.Context, id, text)
	if ExitCode(err) == ExitUnknown {
		return fmt.Errorf("%w\nRepeat with the same publish id: burdockctl note publish %s --publish-id %s", err, c.File, id)
	}
	if err != nil {
		return err
	}
	return e.Print(result, func(w io.Writer) {
		row(w, "published version", result.Version, "publish id", result.PublishID)
	})
}

// NoteShowCmd shows the configuration in force or an earlier note.
type NoteShowCmd struct {
	Version int64 `arg:"" optional:"" help:"Version whose note is shown; without it, the configuration in force."`
}

// Help implements kong.HelpProvider.
func (NoteShowCmd) Help() string {
	return `Examples:

    burdockctl note show
    burdockctl note show 41
    burdockctl -o json note show`
}

// Run shows the configuration or the note.
func (c *NoteShowCmd) Run(e *Env) error {
	client, err := e.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	if c.Version != 0 {
		v, err := client.NoteVersion(e.Context, c.Version)
		if err != nil {
			return err
		}
		return e.Print(v, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "# version %d, publish id %s\n%s", v.Version, v.PublishID, v.Text)
		})
	}
	config, err := client.Note(e.Context)
	if err != nil {
		return err
	}
	return e.Print(config, func(w io.Writer) { writeConfig(w, config) })
}

func writeConfig(w io.Writer, c note.Config) {
	row(w, "version", c.Version)
	row(w, "publish id", c.PublishID)
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		_, _ = fmt.Fprintf(w, "\nservice %s\n", name)
		for _, key := range note.KeyNames() {
			row(w, "  "+key, c.Services[name].Value(key))
		}
	}
}

// NoteDiffCmd shows what a note would change.
type NoteDiffCmd struct {
	File string `arg:"" help:"File with the note; - reads standard input."`
}

// Help implements kong.HelpProvider.
func (NoteDiffCmd) Help() string {
	return `Example:

    burdockctl note diff market.ini`
}

// Run shows the difference.
func (c *NoteDiffCmd) Run(e *Env) error {
	text, _, err := readNote(e, c.File)
	if err != nil {
		return err
	}
	client, err := e.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	diff, err := client.DiffNote(e.Context, text)
	if err != nil {
		return err
	}
	return e.Print(diff, func(w io.Writer) { writeDiff(w, diff) })
}

// writeDiff writes one line for each changed key.
func writeDiff(w io.Writer, d admin.NoteDiff) {
	_, _ = fmt.Fprintf(w, "changes to version %d:\n", d.Base)
	if d.IsZero() {
		_, _ = fmt.Fprintln(w, "  none")
	}
	for _, s := range d.Added {
		_, _ = fmt.Fprintf(w, "+ service %s\n", s.Service)
		for _, k := range s.Keys {
			_, _ = fmt.Fprintf(w, "    %s = %s\n", k.Key, k.New)
		}
	}
	for _, s := range d.Changed {
		_, _ = fmt.Fprintf(w, "~ service %s\n", s.Service)
		for _, k := range s.Keys {
			_, _ = fmt.Fprintf(w, "    %s = %s (was %s)\n", k.Key, k.New, k.Old)
		}
	}
	for _, name := range d.Withdrawn {
		_, _ = fmt.Fprintf(w, "- service %s\n", name)
	}
}

// NoteStatusCmd shows which version each host has in force.
type NoteStatusCmd struct {
	Wait    bool          `help:"Wait until every known host has the version in force."`
	For     int64         `help:"Version to wait for; default the highest that the router knows." placeholder:"VERSION"`
	Timeout time.Duration `help:"How long to wait." default:"1m"`
}

// Help implements kong.HelpProvider.
func (NoteStatusCmd) Help() string {
	return `Exit code 5 means that the wait timed out before every host had the version in
force.

Examples:

    burdockctl note status
    burdockctl note status --wait --for 42 --timeout 30s`
}

// statusInterval is the interval at which a wait polls the status.
const statusInterval = 500 * time.Millisecond

// Run shows the status; with --wait, after the wait has ended.
func (c *NoteStatusCmd) Run(e *Env) error {
	client, err := e.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	status, err := client.NoteStatus(e.Context)
	if err == nil && c.Wait {
		status, err = c.wait(e, client, status)
	}
	if err != nil && !errors.Is(err, ErrTimeout) {
		return err
	}
	printErr := e.Print(status, func(w io.Writer) { writeStatus(w, status) })
	return errors.Join(err, printErr)
}

// wait polls the status until the version is in force on every host. It returns the
// latest status, and ErrTimeout after the timeout.
func (c *NoteStatusCmd) wait(e *Env, client *admin.Client, status admin.NoteStatus) (admin.NoteStatus, error) {
	version := c.For
	if version == 0 {
		version = status.Version
	}
	deadline := time.Now().Add(c.Timeout)
	for !status.InForce(version) {
		if time.Until(deadline) < statusInterval {
			return status, fmt.Errorf("%w: version %d is not in force on every host", ErrTimeout, version)
		}
		select {
		case <-e.Context.Done():
			return status, e.Context.Err()
		case <-time.After(statusInterval):
		}
		next, err := client.NoteStatus(e.Context)
		if err != nil {
			return status, err
		}
		status = next
	}
	return status, nil
}

func writeStatus(w io.Writer, s admin.NoteStatus) {
	row(w, "version", s.Version, "publish id", s.PublishID)
	_, _ = fmt.Fprintln(w)
	row(w, "HOST", "VERSION", "LAGS", "HEARD")
	for _, h := range s.Hosts {
		row(w, h.Host, h.Version, yesNo(h.Lags), ago(h.LastSeenMillis))
	}
}

// NoteCheckCmd checks the text of a note.
type NoteCheckCmd struct {
	File  string `arg:"" help:"File with the note; - reads standard input."`
	Print bool   `help:"Print the note in canonical form."`
}

// Help implements kong.HelpProvider.
func (NoteCheckCmd) Help() string {
	return `Checks everything that can be checked without the configuration in force;
"note diff" checks the rest.

Example:

    burdockctl note check market.ini`
}

// Run checks the note.
func (c *NoteCheckCmd) Run(e *Env) error {
	_, n, err := readNote(e, c.File)
	if err != nil {
		return err
	}
	if c.Print {
		_, err := e.Out.Write(note.Render(n))
		return err
	}
	result := map[string]any{"valid": true, "base": n.Base, "changes": len(n.Changes)}
	return e.Print(result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: valid, %d changes to version %d\n", c.File, len(n.Changes), n.Base)
	})
}
