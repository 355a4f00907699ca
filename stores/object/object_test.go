package object_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/stores/object"
	"burdockglade.dev/stores/standin"
)

// callTimeout is far longer than a loopback call takes; no test waits for it.
const callTimeout = 30 * time.Second

// newServer starts an object store stand-in that is closed when the test ends.
func newServer(t *testing.T) (*standin.ObjectServer, *httptest.Server) {
	t.Helper()
	server := standin.NewObjectServer(object.NewMemory())
	web := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		web.CloseClientConnections()
		web.Close()
	})
	return server, web
}

func newClient(t *testing.T, url string) *object.Client {
	t.Helper()
	client, err := object.NewClient(object.ClientOptions{BaseURL: url, Timeout: callTimeout})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// forEachStore runs test against the in-memory store and against the client with
// a server.
func forEachStore(t *testing.T, test func(t *testing.T, s object.Store)) {
	t.Run("memory", func(t *testing.T) { test(t, object.NewMemory()) })
	t.Run("client", func(t *testing.T) {
		_, web := newServer(t)
		test(t, newClient(t, web.URL))
	})
}

// Guards against an object that changes after it was written, and against a retried
// write that fails.
func TestObjectsAreImmutable(t *testing.T) {
	forEachStore(t, func(t *testing.T, s object.Store) {
		for name, content := range map[string]string{"notes/1": "text", "empty": "", "a.b_c-D/e/f": "\x00\xff"} {
			buffer := []byte(content)
			for range 2 {
				if err := s.Put(t.Context(), name, buffer); err != nil {
					t.Fatalf("put %q: %v", name, err)
				}
			}
			if len(buffer) > 0 {
				buffer[0]++
			}
			if err := s.Put(t.Context(), name, []byte("other")); !errors.Is(err, object.ErrExists) {
				t.Errorf("put of different content: %v, want exists", err)
			}
			got, err := s.Get(t.Context(), name)
			if err != nil || string(got) != content {
				t.Errorf("get %q: %q, %v", name, got, err)
			}
		}
		if _, err := s.Get(t.Context(), "notes/2"); !errors.Is(err, object.ErrNotFound) {
			t.Errorf("get of an absent object: %v, want not found", err)
		}
	})
}

// Guards against names and sizes that only one of the stores rejects.
func TestInvalidObjects(t *testing.T) {
	forEachStore(t, func(t *testing.T, s object.Store) {
		for _, name := range []string{"", "/", "a/", "/a", "a//b", ".", "a/../b", "a b", "a?b", "a%2F", "ä", strings.Repeat("a", object.MaxNameBytes+1)} {
			if err := s.Put(t.Context(), name, nil); !errors.Is(err, object.ErrInvalid) {
				t.Errorf("put %q: %v, want invalid", name, err)
			}
			if _, err := s.Get(t.Context(), name); !errors.Is(err, object.ErrInvalid) {
				t.Errorf("get %q: %v, want invalid", name, err)
			}
		}
		largest := bytes.Repeat([]byte("x"), object.MaxContentBytes)
		if err := s.Put(t.Context(), "largest", largest); err != nil {
			t.Errorf("put of the largest object: %v", err)
		}
		if got, err := s.Get(t.Context(), "largest"); err != nil || !bytes.Equal(got, largest) {
			t.Errorf("get of the largest object: %d bytes, %v", len(got), err)
		}
		if err := s.Put(t.Context(), "larger", append(largest, 'x')); !errors.Is(err, object.ErrInvalid) {
			t.Errorf("put of a larger object: %v, want invalid", err)
		}
	})
}

// Guards against a request that is sent although its context is cancelled.
func TestCancelledObjectCalls(t *testing.T) {
	forEachStore(t, func(t *testing.T, s object.Store) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := s.Put(ctx, "a", nil); !errors.Is(err, object.ErrUnavailable) || !errors.Is(err, context.Canceled) {
			t.Errorf("put: %v, want unavailable and cancelled", err)
		}
		if _, err := s.Get(t.Context(), "a"); !errors.Is(err, object.ErrNotFound) {
			t.Errorf("get: %v, want not found", err)
		}
	})
}

// Guards against an outage or a lost response that is taken for a success, an
// absent object or a conflict.
func TestObjectFaults(t *testing.T) {
	server, web := newServer(t)
	client := newClient(t, web.URL)
	for name, f := range map[string]standin.ClassFaults{
		"outage":        {Outage: true},
		"lost request":  {LoseRequestShare: 1},
		"lost response": {LoseResponseShare: 1},
	} {
		if err := server.SetFaults(standin.Faults{Read: f, Write: f}); err != nil {
			t.Fatal(err)
		}
		if err := client.Put(t.Context(), "a", []byte("x")); !errors.Is(err, object.ErrUnavailable) {
			t.Errorf("%s: put: %v, want unavailable", name, err)
		}
		if _, err := client.Get(t.Context(), "a"); !errors.Is(err, object.ErrUnavailable) {
			t.Errorf("%s: get: %v, want unavailable", name, err)
		}
	}
	if err := server.SetFaults(standin.Faults{}); err != nil {
		t.Fatal(err)
	}
	if err := client.Put(t.Context(), "a", []byte("x")); err != nil {
		t.Errorf("put after a lost response: %v", err)
	}
	web.Close()
	if err := client.Put(t.Context(), "a", []byte("x")); !errors.Is(err, object.ErrUnavailable) {
		t.Errorf("put without a server: %v, want unavailable", err)
	}
}

// Guards against responses of another server that are taken for an absent object.
func TestMalformedObjectResponses(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
	}{{404, "404 page not found"}, {404, "{}"}, {409, "x"}, {302, ""}, {500, `{"error":"x"}`}, {503, "down"}, {204, ""}} {
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		client := newClient(t, web.URL)
		if _, err := client.Get(t.Context(), "a"); !errors.Is(err, object.ErrUnavailable) {
			t.Errorf("%d %q: get: %v, want unavailable", c.status, c.body, err)
		}
		if err := client.Put(t.Context(), "a", nil); !errors.Is(err, object.ErrUnavailable) {
			t.Errorf("%d %q: put: %v, want unavailable", c.status, c.body, err)
		}
		web.Close()
	}
}
