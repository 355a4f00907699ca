package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Announcement is the body of POST /v1/announce, which registers an upstream at
// its router.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Kind        Kind   `json:"kind"`
}

// Renewal is the body of POST /v1/renew, which keeps the registration alive.
type Renewal struct {
	// Load is the share of occupied slots, 0 to 1.
	Load    float64 `json:"load"`
	Healthy bool    `json:"healthy"`
}

const (
	// routerTimeout limits one request to the router.
	routerTimeout = time.Second
	// announceRetryInterval is the delay between attempts until the router
	// accepts the announcement.
	announceRetryInterval = 250 * time.Millisecond
)

// routerClient opens a new connection for each request, because an idle
// connection to the router could become unresponsive.
var routerClient = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{Timeout: routerTimeout}).DialContext,
}}

// statusError is a response of the router with a status other than 2xx.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.body)
}

// announceLoop announces the upstream until the router accepts it, and then
// renews the announcement, until the upstream closes.
func (u *Upstream) announceLoop() {
	for u.announceUntilAccepted() {
		if !u.renewUntilUnknown() {
			return
		}
	}
}

// announceUntilAccepted returns false if the upstream closes or drains first.
func (u *Upstream) announceUntilAccepted() bool {
	for {
		if u.faults.awaitUnfrozen() != nil || u.isDraining() {
			return false
		}
		err := u.Announce(u.ctx)
		if err == nil {
			return true
		}
		u.options.Logf("announcing at %s: %v", u.options.Router, err)
		if !u.sleep(announceRetryInterval) {
			return false
		}
	}
}

// renewUntilUnknown renews the announcement. It returns true when the router
// does not know the upstream any more, as after a restart, and false when the
// upstream closes.
func (u *Upstream) renewUntilUnknown() bool {
	for {
		if !u.sleep(u.options.RenewInterval) || u.faults.awaitUnfrozen() != nil {
			return false
		}
		if u.faults.get().NoRenew {
			continue
		}
		err := u.renew(u.ctx)
		var status *statusError
		if errors.As(err, &status) && (status.status == http.StatusNotFound || status.status == http.StatusConflict) && !u.isDraining() {
			u.options.Logf("renewing at %s: %v; announcing again", u.options.Router, err)
			return true
		}
		if err != nil {
			u.options.Logf("renewing at %s: %v", u.options.Router, err)
		}
	}
}

// sleep waits for the duration d. It returns false if the upstream closes
// first.
func (u *Upstream) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-u.ctx.Done():
		return false
	}
}

func (u *Upstream) isDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

// Announce sends one announcement to the router.
func (u *Upstream) Announce(ctx context.Context) error {
	return u.postToRouter(ctx, "/v1/announce", Announcement{
		Service:     u.options.Service,
		Address:     u.Address(),
		Slots:       u.options.Slots,
		Connections: u.options.Connections,
		Kind:        u.options.Kind,
	})
}

// renew sends one renewal to the router.
func (u *Upstream) renew(ctx context.Context) error {
	report := Renewal{Load: u.load(), Healthy: true}
	f := u.faults.get()
	if f.ReportLoad != nil {
		report.Load = *f.ReportLoad
	}
	if f.ReportHealthy != nil {
		report.Healthy = *f.ReportHealthy
	}
	return u.postToRouter(ctx, "/v1/renew", report)
}

// Drain notifies the router that the upstream is about to stop. The upstream
// continues to serve and to renew.
func (u *Upstream) Drain(ctx context.Context) error {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	return u.postToRouter(ctx, "/v1/drain", nil)
}

// Withdraw notifies the router that the upstream accepts no more requests.
func (u *Upstream) Withdraw(ctx context.Context) error {
	return u.postToRouter(ctx, "/v1/withdraw", nil)
}

// postToRouter sends one request to the router. It does nothing if no router is
// configured.
func (u *Upstream) postToRouter(ctx context.Context, path string, message any) error {
	if u.options.Router == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, routerTimeout)
	defer cancel()
	var body []byte
	if message != nil {
		var err error
		if body, err = json.Marshal(message); err != nil {
			return err
		}
	}
	url := strings.TrimSuffix(u.options.Router, "/") + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := routerClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return &statusError{status: resp.StatusCode, body: strings.TrimSpace(string(text))}
	}
	return nil
}
