package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
)

// writeSettings writes a settings file with the address of the store and the bound of
// drains.
func writeSettings(t *testing.T, path, store string, drainMs int) {
	t.Helper()
	text := "[host]\nname = h\nzone = z\nregion = r\nservice = s\n[listen]\n"
	for _, key := range []string{"caller", "hop", "ready", "control", "metrics"} {
		text += key + " = 127.0.0.1:1\n"
	}
	text += fmt.Sprintf("[upstream]\naddress = 127.0.0.1:2\n[store]\naddress = %s\n[terms]\ndrain_ms = %d\n", store, drainMs)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against a host that stays at an address which the store has left, so that it gets
// no configuration any more, with a notice of the changed settings and without.
func TestChangedSettingsMoveStore(t *testing.T) {
	for _, notice := range []bool{true, false} {
		t.Run(fmt.Sprintf("notice %v", notice), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "settings.ini")
				writeSettings(t, path, "127.0.0.1:3", 2000)
				settings, err := LoadSettings(path)
				if err != nil {
					t.Fatal(err)
				}
				var lines bytes.Buffer
				var store []string
				s := &Sidecar{settings: settings, log: event.NewLogger(&lines, log.InfoLevel)}
				s.opts.SetStoreAddress = func(address string) { store = append(store, address) }
				notices := make(chan os.Signal, 1)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go s.FollowSettings(ctx, path, notices)
				changed := func() {
					if notice {
						notices <- syscall.SIGHUP
						synctest.Wait()
						return
					}
					time.Sleep(2 * settingsPollInterval)
					synctest.Wait()
				}
				time.Sleep(10 * settingsPollInterval)
				synctest.Wait()
				if lines.Len() > 0 || len(store) > 0 {
					t.Errorf("without a change: store %v, log %s", store, &lines)
				}
				writeSettings(t, path, "127.0.0.1:4", 2000)
				changed()
				if err := os.WriteFile(path, []byte("[store]\naddress = 127"), 0o600); err != nil {
					t.Fatal(err)
				}
				changed()
				if !notice { // a file that is being written
					writeSettings(t, path, "127.0.0.1:55", 2000)
					time.Sleep(settingsPollInterval)
					synctest.Wait()
				}
				writeSettings(t, path, "127.0.0.1:5", 1000)
				changed()
				if got := strings.Join(store, " "); got != "127.0.0.1:4 127.0.0.1:5" {
					t.Errorf("addresses of the store: %s", got)
				}
				for _, want := range []string{`"restart_needed":false`, `"event":1804`, `"restart_needed":true`} {
					if !strings.Contains(lines.String(), want) {
						t.Errorf("no %s in\n%s", want, &lines)
					}
				}
			})
		})
	}
}
