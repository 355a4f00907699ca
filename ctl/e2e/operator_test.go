package e2e

import (
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"burdockglade.dev/router/admin"
	"burdockglade.dev/router/errkind"
)

// operator returns a client of a host's administration API.
func (c *cluster) operator(h *host) *admin.Client {
	c.t.Helper()
	client, err := admin.NewClient(admin.ClientOptions{BaseURL: "http://" + h.admin, Token: adminToken})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(client.Close)
	return client
}

func (c *cluster) host(name string) *host {
	c.t.Helper()
	i := slices.IndexFunc(c.hosts, func(h *host) bool { return h.name == name })
	if i < 0 {
		c.t.Fatalf("no host %q", name)
	}
	return c.hosts[i]
}

// groupWithStandby waits for a group that has shards and a standby.
func (c *cluster) groupWithStandby(operator *admin.Client, service string) admin.Group {
	c.t.Helper()
	var found admin.Group
	eventually(c.t, "a group with shards and a standby", func() bool {
		owners, err := operator.Owners(c.t.Context(), service)
		i := slices.IndexFunc(owners.Groups, func(g admin.Group) bool { return g.Standby != "" && len(g.Shards) > 0 })
		if err != nil || i < 0 {
			return false
		}
		found = owners.Groups[i]
		return true
	})
	return found
}

// Guards against two owners of a key after a wrong declaration: a takeover of a
// group whose hosts respond is refused. If both hosts are lost, the declaration
// must restore the keys without waiting for the renewal deadline.
func TestDeclareLost(t *testing.T) {
	c := threeHosts(t, "orders")
	c.awaitSpread("orders", 60)
	g := c.groupWithStandby(c.operator(c.hosts[0]), "orders")
	survivor := c.hosts[slices.IndexFunc(c.hosts, func(h *host) bool { return h.name != g.Holder && h.name != g.Standby })]
	operator := c.operator(survivor)

	if _, err := operator.TakeOver(t.Context(), "orders", g.ID); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("takeover of a group whose hosts respond: %v", err)
	}
	// Both routers get the signal before the test waits for the end of either:
	// otherwise the standby could take over and hand on the journal in between.
	c.host(g.Holder).router.signal(syscall.SIGKILL)
	c.host(g.Standby).router.signal(syscall.SIGKILL)
	c.host(g.Holder).kill()
	c.host(g.Standby).kill()
	takeover, err := operator.TakeOver(t.Context(), "orders", g.ID)
	if err != nil || takeover.Holder != survivor.name || takeover.Generation <= g.Generation {
		t.Fatalf("takeover of a lost group: %+v, %v", takeover, err)
	}
	eventually(t, "the group's keys are served", func() bool {
		owners, err := operator.Owners(t.Context(), "orders")
		return err == nil && slices.ContainsFunc(owners.Groups, func(o admin.Group) bool {
			return o.ID == g.ID && o.Holder == survivor.name
		})
	})
}

// Guards against moves to the current holder, which would close shards
// needlessly, and against refusals that do not name the operator's mistake.
func TestMoveToTheHolderAndOfUnknownService(t *testing.T) {
	c := threeHosts(t, "orders")
	c.awaitSpread("orders", 60)
	operator := c.operator(c.hosts[0])
	if _, err := operator.Move(t.Context(), admin.MoveRequest{Service: "nope", Key: "k", Target: "h1"}); !errkind.Is(err, errkind.UnknownService) {
		t.Errorf("move in an unknown service: %v", err)
	}
	eventually(t, "the key is at h2", func() bool {
		_, err := operator.Move(t.Context(), admin.MoveRequest{Service: "orders", Key: "k", Target: "h2"})
		return err == nil
	})
	eventually(t, "a repeated move changes nothing", func() bool {
		before, err := c.request(http.MethodGet, c.hosts[0], "/orders/k", "")
		if err != nil || before.header.Get("Burdock-Owner") != "h2" {
			return false
		}
		moved, err := operator.Move(t.Context(), admin.MoveRequest{Service: "orders", Key: "k", Target: "h2"})
		if err != nil {
			return false
		}
		after, err := c.request(http.MethodGet, c.hosts[0], "/orders/k", "")
		return err == nil && moved.Source == "h2" && moved.TargetGroup == before.echo.Group && after.echo.Group == before.echo.Group
	})
}

// Guards against groups whose holder and standby are lost with one zone: a standby
// in its holder's zone is replaced once a host in another zone joins.
func TestStandbysAreInAnotherZone(t *testing.T) {
	c := newCluster(t)
	c.publish("first-note", twoServices)
	c.addHost("h1", "z1", "orders")
	c.addHost("h2", "z1", "orders")
	c.awaitServed(c.hosts[0], "/orders/k")
	operator := c.operator(c.hosts[0])
	g := c.groupWithStandby(operator, "orders")
	if g.Holder == g.Standby {
		t.Fatalf("holder and standby of %s are one host", g.ID)
	}
	c.addHost("h3", "z2", "orders")
	eventually(t, "every group has holder and standby in two zones", func() bool {
		owners, err := operator.Owners(t.Context(), "orders")
		return err == nil && len(owners.Groups) == 6 && !slices.ContainsFunc(owners.Groups, func(g admin.Group) bool {
			return (g.Holder == "h3") == (g.Standby == "h3")
		})
	})
}

// Guards against keys that are unserved although a host could serve them: a host
// whose upstream is down must be neither holder nor standby of a group, even if it
// was the standby of a host that fails next.
func TestHostWithoutUpstreamGetsNoGroups(t *testing.T) {
	c := threeHosts(t, "orders")
	c.awaitSpread("orders", 60)
	h1, h2, h3 := c.hosts[0], c.hosts[1], c.hosts[2]
	operator := c.operator(h1)
	h3.upstream.kill()
	// A group without a standby is taken over only after the renewal deadline, so
	// every group must have a standby before its holder is lost.
	eventually(t, "the host without an upstream has no role", func() bool {
		owners, err := operator.Owners(t.Context(), "orders")
		return err == nil && !slices.ContainsFunc(owners.Groups, func(g admin.Group) bool {
			return len(g.Shards) > 0 && (g.Holder == h3.name || g.Standby == h3.name || g.Standby == "")
		})
	})
	h2.kill()
	for _, path := range []string{"/orders/a", "/orders/b", "/orders/c", "/orders/d", "/orders/e", "/orders/f"} {
		if owner := c.awaitServed(h3, path); owner != h1.name {
			t.Errorf("%s is served by %s", path, owner)
		}
	}
}

// Guards against a takeover that assigns keys to a host that has no upstream for
// them.
func TestTakeoverNeedsAnUpstream(t *testing.T) {
	c := newCluster(t)
	c.publish("first-note", twoServices)
	h1 := c.addHost("h1", "z1", "orders")
	h2 := c.addHost("h2", "z2", "designs")
	c.awaitServed(h2, "/orders/k")
	// Before its upstream has announced itself, h2 refuses with another error kind.
	c.awaitServed(h2, "/designs/k")
	var group string
	eventually(t, "h2 knows the group", func() bool {
		owners, err := c.operator(h2).Owners(t.Context(), "orders")
		if err != nil || len(owners.Groups) == 0 {
			return false
		}
		group = owners.Groups[0].ID
		return true
	})
	h1.kill()
	if _, err := c.operator(h2).TakeOver(t.Context(), "orders", group); !errkind.Is(err, errkind.UnknownService) {
		t.Errorf("takeover by a host of another service: %v", err)
	}
}

// Guards against a stopped cluster that cannot be restored before the renewal
// deadline: groups of exited processes are marked, and declaring them lost
// restores their keys.
func TestStoppedClusterComesBack(t *testing.T) {
	c := newCluster(t)
	c.publish("first-note", twoServices)
	h := c.addHost("h1", "z1", "orders")
	c.awaitServed(h, "/orders/k")
	h.router.stop(t)
	c.startRouter(h)
	operator := c.operator(h)
	var lost []string
	eventually(t, "the groups of the exited process are marked", func() bool {
		owners, err := operator.Owners(t.Context(), "orders")
		lost = nil
		for _, g := range owners.Groups {
			if g.HolderGone && len(g.Shards) > 0 {
				lost = append(lost, g.ID)
			}
		}
		return err == nil && len(lost) > 0
	})
	for _, id := range lost {
		// The takeover is refused until the upstream has announced itself again.
		eventually(t, "takeover of "+id, func() bool {
			_, err := operator.TakeOver(t.Context(), "orders", id)
			return err == nil
		})
	}
	if owner := c.awaitServed(h, "/orders/k"); owner != h.name {
		t.Errorf("the key is served by %s", owner)
	}
}

// Guards against a supervisor that restarts a router with invalid settings
// forever: both "check" and "run" must exit with the documented code.
func TestInvalidSettingsHaveTheirExitCode(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(file, []byte("[host]\nname = h1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"check", file}, {"run", "--settings", file}} {
		out, err := exec.Command(binaries.router, args...).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || !strings.Contains(string(out), "token_file") {
			t.Errorf("%v: %v\n%s", args, err, out)
		}
	}
}

// Guards against a healthy standby that is replaced by a lost host of another
// zone, whose member row remains for some time.
func TestLostHostIsNotChosenAsStandby(t *testing.T) {
	c := threeHosts(t, "orders")
	c.awaitSpread("orders", 60)
	operator := c.operator(c.hosts[0])
	c.hosts[1].kill()
	paired := func(owners admin.Owners) bool {
		return len(owners.Groups) > 0 && !slices.ContainsFunc(owners.Groups, func(g admin.Group) bool {
			return len(g.Shards) > 0 && (g.Holder == "h2" || g.Standby == "h2" || g.Standby == "")
		})
	}
	eventually(t, "the lost host has no role", func() bool {
		owners, err := operator.Owners(t.Context(), "orders")
		return err == nil && paired(owners)
	})
	// 12 s cover two evaluations of the standbys and the end of the suspicion of
	// the lost host.
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for end := time.After(12 * time.Second); ; {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		if owners, err := operator.Owners(t.Context(), "orders"); err == nil && !paired(owners) {
			t.Fatalf("the lost host has a role again: %+v", owners.Groups)
		}
	}
}
