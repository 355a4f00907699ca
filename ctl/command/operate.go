package command

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"time"

	"burdockglade.dev/router/admin"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/settings"
)

// OwnersCmd shows the groups of services.
type OwnersCmd struct {
	Service string `help:"Only this service." short:"s" placeholder:"NAME"`
	Shards  bool   `help:"Show every shard."`
}

// Help implements kong.HelpProvider.
func (OwnersCmd) Help() string {
	return `Examples:

    burdockctl owners --service market
    burdockctl owners --service market --shards

(gone) marks a process that has exited or was replaced.`
}

// Run shows the groups.
func (c *OwnersCmd) Run(e *Env) error {
	client, err := e.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	owners, err := client.Owners(e.Context, c.Service)
	if err != nil {
		return err
	}
	return e.Print(owners, func(w io.Writer) { c.write(w, owners) })
}

func (c *OwnersCmd) write(w io.Writer, owners admin.Owners) {
	row(w, "SERVICE", "GROUP", "HOLDER", "STANDBY", "GENERATION", "SHARDS", "SHARE", "JOURNAL")
	for _, g := range owners.Groups {
		share := 0.0
		for _, s := range g.Shards {
			share += s.Fraction()
		}
		row(w, g.Service, g.ID, processName(g.Holder, g.HolderGone), processName(g.Standby, g.StandbyGone), g.Generation, len(g.Shards), fmt.Sprintf("%.2f%%", 100*share), journalState(g.JournalComplete))
		if !c.Shards {
			continue
		}
		for _, s := range g.Shards {
			row(w, "", "", s)
		}
	}
}

func journalState(complete bool) string {
	if complete {
		return "complete"
	}
	return "incomplete"
}

// MembersCmd shows the hosts.
type MembersCmd struct{}

// Help implements kong.HelpProvider.
func (MembersCmd) Help() string {
	return `Example:

    burdockctl -o json members`
}

// Run shows the hosts.
func (MembersCmd) Run(e *Env) error {
	client, err := e.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	members, err := client.Members(e.Context)
	if err != nil {
		return err
	}
	return e.Print(members, func(w io.Writer) {
		row(w, "HOST", "ZONE", "REGION", "SERVICE", "CONTROL", "NOTE", "LEAVING", "HEARD")
		for _, m := range members.Members {
			row(w, m.Host, m.Zone, m.Region, orNone(m.Service), m.ControlAddr, m.NoteVersion, yesNo(m.Leaving), ago(m.LastSeenMillis))
		}
	})
}

// MoveCmd moves a shard.
type MoveCmd struct {
	Service string `required:"" help:"Service of the shard." short:"s" placeholder:"NAME"`
	Shard   string `help:"Shard as first-last, as \"owners --shards\" shows it." xor:"what" required:"" placeholder:"RANGE"`
	Key     string `help:"Key whose shard moves." xor:"what" required:"" placeholder:"KEY"`
	Target  string `required:"" help:"Host that gets the shard." short:"t" placeholder:"HOST"`
}

// Help implements kong.HelpProvider.
func (MoveCmd) Help() string {
	return `Exit code 4 means that the move may have happened; "owners" shows it.

Examples:

    burdockctl move --service market --key stall-17 --target host-4
    burdockctl move -s market --shard 0000000000000000-03ffffffffffffff -t host-4`
}

// Run moves the shard.
func (c *MoveCmd) Run(e *Env) error {
	request := admin.MoveRequest{Service: c.Service, Key: c.Key, Target: c.Target}
	what := fmt.Sprintf("the shard of key %q", c.Key)
	if c.Shard != "" {
		shard, err := keyspace.ParseShard(c.Shard)
		if err != nil {
			return &usageError{err}
		}
		request.Shard = &shard
		what = "shard " + shard.String()
	}
	client, err := e.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := e.Confirm(fmt.Sprintf("Move %s of %s to %s?", what, c.Service, c.Target)); err != nil {
		return err
	}
	moved, err := client.Move(e.Context, request)
	if err != nil {
		return err
	}
	return e.Print(moved, func(w io.Writer) {
		if moved.Source == moved.Target {
			row(w, "shard", moved.Shard, "is already at", moved.Target)
			return
		}
		row(w, "moved", moved.Shard, "from", moved.Source, "to", moved.Target)
	})
}

// DrainCmd drains and stops a host.
type DrainCmd struct {
	Host string `arg:"" help:"Host that leaves."`
}

// Help implements kong.HelpProvider.
func (DrainCmd) Help() string {
	return `The host moves its shards away, finishes its requests and stops. The command
returns once the drain has begun; "members" and "owners" show its progress.

Example:

    burdockctl drain host-4`
}

// Run drains the host.
func (c *DrainCmd) Run(e *Env) error {
	client, err := e.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := e.Confirm(fmt.Sprintf("Drain and stop host %s?", c.Host)); err != nil {
		return err
	}
	drained, err := client.Drain(e.Context, c.Host)
	if err != nil {
		return err
	}
	return e.Print(drained, func(w io.Writer) {
		row(w, "draining", drained.Host, "shards left", drained.ShardsLeft)
	})
}

// TakeoverCmd takes a group over without waiting for the renewal deadline.
type TakeoverCmd struct {
	Service     string `arg:"" help:"Service of the group."`
	Group       string `arg:"" help:"Id of the group, as \"owners\" shows it."`
	DeclareLost bool   `help:"Declares that the hosts of holder and standby are switched off." required:""`
}

// Help implements kong.HelpProvider.
func (TakeoverCmd) Help() string {
	return `Use it only when the hosts of the group's holder and standby are switched off
and stay off. A holder that still runs would serve the same keys at the same time.

Example:

    burdockctl takeover market g-3f1c --declare-lost`
}

// Run takes the group over.
func (c *TakeoverCmd) Run(e *Env) error {
	if !c.DeclareLost {
		return &usageError{errors.New("takeover needs --declare-lost")}
	}
	client, err := e.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	question := fmt.Sprintf("Are the hosts of holder and standby of group %s of %s switched off?", c.Group, c.Service)
	if err := e.Confirm(question); err != nil {
		return err
	}
	takeover, err := client.TakeOver(e.Context, c.Service, c.Group)
	if err != nil {
		return err
	}
	return e.Print(takeover, func(w io.Writer) {
		row(w, "taken over", takeover.Group, "holder", takeover.Holder, "generation", takeover.Generation)
	})
}

// SettingsCmd groups the commands for settings files.
type SettingsCmd struct {
	Check SettingsCheckCmd `cmd:"" help:"Check a settings file and the secrets that it names."`
}

// SettingsCheckCmd checks a settings file.
type SettingsCheckCmd struct {
	File string `arg:"" help:"Settings file."`
}

// Help implements kong.HelpProvider.
func (SettingsCheckCmd) Help() string {
	return `Prints every mistake with file, line, key, what was found and what is
allowed. Exit code 2 means that there are mistakes.

Example:

    burdockctl settings check /etc/burdockglade.ini`
}

// Run checks the file.
func (c *SettingsCheckCmd) Run(e *Env) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return &usageError{err}
	}
	result := map[string]any{"valid": true, "host": s.Host.Name}
	return e.Print(result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: valid, host %s\n", c.File, s.Host.Name)
	})
}

// VersionCmd shows the version of the binary.
type VersionCmd struct{}

// Run shows the version.
func (VersionCmd) Run(e *Env) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	result := map[string]string{"version": version, "go": runtime.Version()}
	return e.Print(result, func(w io.Writer) {
		row(w, "burdockctl", version, runtime.Version())
	})
}

// processName returns the name of a host with a suffix if its process has exited or
// was replaced. The suffix contains no space, so that scripts can split the columns.
func processName(host string, gone bool) string {
	if gone {
		return host + "(gone)"
	}
	return orNone(host)
}

func orNone(name string) string {
	if name == "" {
		return "-"
	}
	return name
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

// ago formats the time since a host was last heard from; negative values mean never.
func ago(millis int64) string {
	if millis < 0 {
		return "never"
	}
	return (time.Duration(millis) * time.Millisecond).String() + " ago"
}
