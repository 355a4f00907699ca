package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdockglade.dev/router/internal/inidoc"
)

const samplePath = "../../docs/burdockglade.sample.ini"

// minimal has only the required keys.
const minimal = `[host]
name = host-1
zone = zone-a
region = region-1
[peers]
secret_file = cluster.secret
[platform]
table_url = http://127.0.0.1:7000
object_url = http://127.0.0.1:7001
[admin]
token_file = admin.token
`

func readSample(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile(samplePath)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a sample file whose defaults differ from those in the code.
func TestSampleShowsTheDefaults(t *testing.T) {
	got, err := Parse(samplePath, readSample(t))
	if err != nil {
		t.Fatal(err)
	}
	want, err := Parse("minimal", []byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(Secret{})); diff != "" {
		t.Errorf("defaults (-) and sample (+) differ:\n%s", diff)
	}
}

// Guards against keys that are missing from the sample file.
func TestSampleListsEveryKey(t *testing.T) {
	doc, problems := inidoc.Parse(samplePath, readSample(t))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	listed := map[string]bool{}
	for _, section := range doc.Sections {
		for _, k := range section.Keys {
			listed[section.Name+"."+k.Name] = true
		}
	}
	for _, k := range keys {
		if !listed[k.section+"."+k.name] {
			t.Errorf("the sample lacks [%s] %s", k.section, k.name)
		}
	}
}

// withLines returns the minimal settings with the lines appended.
func withLines(lines ...string) string {
	return minimal + strings.Join(lines, "\n") + "\n"
}

// Guards against mistakes that are accepted and only show in the behavior of the
// router.
func TestMistakesAreRefused(t *testing.T) {
	const last = 12 // line of the first added line
	cases := []struct {
		name string
		text string
		want []string // parts of the message
	}{
		{"unknown section", withLines("[leases]"), []string{"f.ini:12: [lease", "unknown section", "host, listen"}},
		{"unknown key", withLines("[lease]", "hearbeat = 1s"), []string{"f.ini:13: [lease] hearbeat", "unknown key", "heartbeat, duration"}},
		{"repeated key", withLines("[log]", "level = info", "level = warn"), []string{"f.ini:14: [log] level", "first on line 13"}},
		{"repeated section", withLines("[log]", "[log]"), []string{"f.ini:13: [log]", "first on line 12"}},
		{"bad duration", withLines("[lease]", "heartbeat = 150"), []string{`f.ini:13: [lease] heartbeat: "150"`, "10ms to 10s"}},
		{"out of range", withLines("[lease]", "groups = 17"), []string{`"17"`, "1 to 16"}},
		{"memory below that of a process", strings.Replace(minimal, "zone = zone-a", "memory_mb = 31.9"+"\nzone = zone-a", 1), []string{"[host] memory_mb", "31.9", "0, or a number from 32"}},
		{"memory that is no number", strings.Replace(minimal, "zone = zone-a", "memory_mb = NaN"+"\nzone = zone-a", 1), []string{"[host] memory_mb", "NaN"}},
		{"few descriptors", strings.Replace(minimal, "zone = zone-a", "max_fds = 299"+"\nzone = zone-a", 1), []string{"[host] max_fds", "299", "at least 300"}},
		{"overflow", withLines("[limits]", "max_body_bytes = 99999999999999999999"), []string{"1024 to 1073741824"}},
		{"bad level", withLines("[log]", "level = verbose"), []string{"debug, info, warn, error"}},
		{"host name instead of an IP address", withLines("[listen]", "caller = localhost:80"), []string{"an IP address"}},
		{"port 0", withLines("[listen]", "caller = 127.0.0.1:0"), []string{"1 to 65535"}},
		{"public listener", withLines("[listen]", "hop = 10.0.0.1:8082"), []string{"f.ini:13: [listen] hop", "allow_public = true"}},
		{"public upstream listener", withLines("[listen]", "allow_public = true", "upstream = 10.0.0.1:8081"), []string{"f.ini:14", "loopback", "no authentication"}},
		{"wildcard without advertised address", withLines("[listen]", "allow_public = true", "control = 0.0.0.0:8083"), []string{"[advertise] control", "wildcard"}},
		{"two listeners on one port", withLines("[listen]", "admin = 127.0.0.1:8085"), []string{"metrics", "127.0.0.1:8085", "port of its own"}},
		{"wildcard covers another listener", withLines("[listen]", "allow_public = true", "caller = 0.0.0.0:8081"), []string{"[listen] upstream", "caller uses as 0.0.0.0:8081"}},
		{"repeated seed", strings.Replace(minimal, "[peers]", "[peers]\nseeds = 10.0.0.1:1,10.0.0.1:1", 1), []string{"f.ini:6: [peers] seeds", "distinct"}},
		{"heartbeat not below replace_after", withLines("[lease]", "heartbeat = 250ms"), []string{"f.ini:13", "less than replace_after, which is 250ms"}},
		{"replace_after not below duration", withLines("[lease]", "duration = 250ms"), []string{"f.ini:13: [lease] replace_after: 250ms", "less than duration"}},
		{"drift margin below 1%", withLines("[lease]", "drift_margin = 1ms"), []string{"at least 1% of duration"}},
		{"short renewal deadline", withLines("[lease]", "horizon = 10s", "duration = 600ms"), []string{"f.ini:13: [lease] horizon: 10s", "20 times"}},
		{"quoted value", withLines("[log]", `level = "info"`), []string{"f.ini:13", "without quotes"}},
		{"no section", "name = x\n" + minimal, []string{"f.ini:1: name", "inside a section"}},
		{"key only", withLines("[log]", "level"), []string{"f.ini:13", `malformed line "level"`}},
		{"inline comment", withLines("[log]", "level = info # note"), []string{`"info # note"`}},
		{"URL with a password", strings.Replace(minimal, "http://127.0.0.1:7000", "http://u:p@127.0.0.1:7000", 1), []string{"f.ini:8: [platform] table_url"}},
		{"missing key", strings.Replace(minimal, "zone = zone-a\n", "", 1), []string{"f.ini:1: [host] zone: no value"}},
		{"missing section", strings.Replace(minimal, "[admin]\ntoken_file = admin.token\n", "", 1), []string{"f.ini: [admin] token_file: no value"}},
		{"binary file", "\xff\xfe", []string{"UTF-8"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.ini", []byte(c.text))
			if err == nil {
				t.Fatal("accepted")
			}
			for _, part := range c.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("message lacks %q:\n%v", part, err)
				}
			}
		})
	}
	if got := strings.Count(minimal, "\n") + 1; got != last {
		t.Errorf("added lines start at %d, the cases assume %d", got, last)
	}
}

// Guards against a check that stops at the first mistake.
func TestAllMistakesAreReported(t *testing.T) {
	text := "[host]\nname = A\nzone = z\n[lease]\nheartbeat = x\ngroups = 0\n[nope]\n[peers]\nseeds = 10.0.0.1:1, 10.0.0.1:1\n"
	_, err := Parse("f.ini", []byte(text))
	var problems Problems
	if !errors.As(err, &problems) {
		t.Fatalf("got %v", err)
	}
	var got []string
	for _, p := range problems {
		got = append(got, fmt.Sprintf("%d %s.%s", p.Line, p.Section, p.Key))
	}
	want := []string{
		"0 platform.table_url", "0 platform.object_url", "0 admin.token_file",
		"1 host.region", "2 host.name", "5 lease.heartbeat", "6 lease.groups",
		"7 nope.", "8 peers.secret_file", "9 peers.seeds",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

// Guards against the rejection of wildcard listeners with advertised addresses, the
// usual settings of a cluster.
func TestWildcardWithAdvertisedAddress(t *testing.T) {
	text := withLines("[listen]", "allow_public = true", "hop = 0.0.0.0:8082", "control = [::]:8083",
		"[advertise]", "hop = 10.0.0.7:8082", "control = 10.0.0.7:8083")
	s, err := Parse("f.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.Advertise.Control != "10.0.0.7:8083" || s.Listen.Control != "[::]:8083" {
		t.Errorf("got %+v %+v", s.Listen, s.Advertise)
	}
}

// Guards against an advertised address that differs from the listener's address
// although it is not set.
func TestAdvertisedAddressFollowsTheListener(t *testing.T) {
	s, err := Parse("f.ini", []byte(withLines("[listen]", "hop = 127.0.0.2:9000")))
	if err != nil {
		t.Fatal(err)
	}
	if s.Advertise.Hop != "127.0.0.2:9000" {
		t.Errorf("advertised %s", s.Advertise.Hop)
	}
}

const (
	testSecret = "0123456789abcdef0123"
	testToken  = "fedcba9876543210fedc"
)

// writeHost writes a settings file and its secret files and returns its path.
func writeHost(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	write(t, filepath.Join(dir, "cluster.secret"), testSecret+"\n", 0o600)
	write(t, filepath.Join(dir, "admin.token"), testToken+"\n", 0o400)
	path := filepath.Join(dir, "f.ini")
	write(t, path, string(readSample(t)), 0o644)
	return path
}

func write(t *testing.T, path, content string, mode os.FileMode) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), mode); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(path, mode); err != nil {
		t.Fatal(err)
	}
}

// Guards against a sample file that does not load together with its two secret
// files.
func TestLoadReadsSecrets(t *testing.T) {
	s, err := Load(writeHost(t))
	if err != nil {
		t.Fatal(err)
	}
	if s.Peers.Secret.Reveal() != testSecret || s.Admin.Token.Reveal() != testToken {
		t.Error("secrets differ from their files")
	}
}

// Guards against secrets in log lines and dumps.
func TestSecretsAreRedacted(t *testing.T) {
	s, err := Load(writeHost(t))
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	output := fmt.Sprintf("%v %+v %#v %s %q %x", s, s, s, s.Peers.Secret, s.Peers.Secret, s.Admin.Token) + string(encoded)
	for _, secret := range []string{testSecret, testToken, fmt.Sprintf("%x", testToken)} {
		if strings.Contains(output, secret) {
			t.Errorf("a secret is shown in %s", output)
		}
	}
}

// Guards against secret files that other users can read, and against secrets that
// are empty or too short.
func TestUnsafeSecretFilesAreRefused(t *testing.T) {
	cases := []struct {
		name    string
		change  func(t *testing.T, path string)
		message string
	}{
		{"group-readable", func(t *testing.T, path string) { write(t, path, testSecret, 0o640) }, "permissions 0640"},
		{"world-readable", func(t *testing.T, path string) { write(t, path, testSecret, 0o604) }, "permissions 0604"},
		{"empty", func(t *testing.T, path string) { write(t, path, " \n", 0o600) }, "0 bytes"},
		{"short", func(t *testing.T, path string) { write(t, path, "0123456789abcde\n", 0o600) }, "15 bytes"},
		{"missing", func(t *testing.T, path string) { _ = os.Remove(path) }, "no such file"},
		{"directory", func(t *testing.T, path string) { _ = os.Remove(path); _ = os.Mkdir(path, 0o700) }, "not a regular file"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := writeHost(t)
			c.change(t, filepath.Join(filepath.Dir(path), "cluster.secret"))
			_, err := Load(path)
			if err == nil || !strings.Contains(err.Error(), c.message) || !strings.Contains(err.Error(), "[peers] secret_file") {
				t.Fatalf("got %v, want %q", err, c.message)
			}
			if strings.Contains(err.Error(), testSecret) {
				t.Error("the message shows the secret")
			}
		})
	}
}

// Guards against panics on malformed input, and against accepted settings that
// violate the assumptions of other packages.
func FuzzParse(f *testing.F) {
	f.Add(readSample(f))
	f.Add([]byte(minimal))
	f.Add([]byte(withLines("[listen]", "allow_public = true", "hop = [::]:1")))
	f.Add([]byte("[a\n=\n]\n[host]\nname==\n\"\"\"\n"))
	f.Add([]byte("[DEFAULT]\r\nx = %(y)s\\\r\n`"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err != nil {
			if err.Error() == "" {
				t.Error("an error without text")
			}
			return
		}
		if s.Host.Name == "" || s.Advertise.Hop == "" || s.Lease.Duration <= s.Lease.ReplaceAfter {
			t.Errorf("accepted %+v", s)
		}
	})
}
