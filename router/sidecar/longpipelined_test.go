package sidecar

import (
	"net/http"
	"strconv"
	"testing"
)

// Guards against long responses to pipelined requests that break off because the context of
// the request ends as soon as the head of its response is there.
func TestLongPipelinedResponsesAreComplete(t *testing.T) {
	t.Parallel()
	const bodyBytes = 500_000
	c := newCluster(t, "plain", "keyed")
	c.waitReady()
	body := make([]byte, bodyBytes)
	c.hosts[0].upstream.setHandler(func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
		w.Header().Set(testHeaders.Signature, "signed")
		w.Header().Set("Content-Length", strconv.Itoa(bodyBytes))
		_, _ = w.Write(body) // the router may have closed the connection
		return true
	})
	for _, host := range c.hosts {
		p := newPipeline(t, host)
		p.send(getRequest("/look/1", "a") + getRequest("/look/2", "b") + getRequest("/look/3", "c"))
		for _, id := range []string{"a", "b", "c"} {
			resp := p.next()
			if resp.status != http.StatusOK || len(resp.body) != bodyBytes || resp.header.Get("Request-Id") != id {
				t.Fatalf("response %d to %q with %d bytes, want %d bytes to %q", resp.status, resp.header.Get("Request-Id"), len(resp.body), bodyBytes, id)
			}
		}
	}
}
