package e2e

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// exitInvalid is the exit code of a process whose settings are not valid.
const exitInvalid = 2

// Guards against a process that is ended by the notice of changed settings because it is
// still starting.
func TestNoticeOfChangedSettingsDuringStart(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings.ini")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, "sidecar", binaries.router, "sidecar", "--settings", settings)
	// The process is reading its settings once the pipe can be opened.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	// The signal is delivered before the process that got it reads on.
	if _, err := pipe.WriteString("[host]\nname = only\n"); err != nil {
		t.Error(err)
	}
	if err := pipe.Close(); err != nil {
		t.Error(err)
	}
	<-p.done
	if got := p.cmd.ProcessState.ExitCode(); got != exitInvalid {
		t.Errorf("exit code %d (%v), want %d", got, p.cmd.ProcessState, exitInvalid)
	}
}
