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

// Announcement is the body of POST /v1/announce at the router.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Kind        Kind   `json:"kind"`
}

// Renewal is the body of POST /v1/renew at the router.
type Renewal struct {
	// Load is the share of the slots that are taken, 0 to 1.
	Load    float64 `json:"load"`
	Healthy bool    `json:"healthy"`
}

const (
	// routerTimeout bounds one message to the router.
	routerTimeout = time.Second
	// announcePause is the time between attempts while the router does not
	// accept the announcement.
	announcePause = 250 * time.Millisecond
)

// routerClient makes a connection for each message: an idle connection to the
// router could go silent.
var routerClient = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{Timeout: routerTimeout}).DialContext,
}}

// statusError is an answer of the router other than a success.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.body)
}

// announceLoop announces the upstream until the router accepts it, and then
// renews the announcement.
func (u *Upstream) announceLoop() {
	for u.announceUntilAccepted() {
		if !u.renewUntilForgotten() {
			return
		}
	}
}

// announceUntilAccepted returns false when the upstream closes or drains.
func (u *Upstream) announceUntilAccepted() bool {
	for {
		if u.faults.thawed() != nil || u.isDrained() {
			return false
		}
		err := u.Announce(u.ctx)
		if err == nil {
			return true
		}
		u.options.Logf("announcing at %s: %v", u.options.Router, err)
		if !u.pause(announcePause) {
			return false
		}
	}
}

// renewUntilForgotten returns true when the router no longer knows the
// upstream, as after a restart, and false when the upstream closes.
func (u *Upstream) renewUntilForgotten() bool {
	for {
		if !u.pause(u.options.RenewInterval) || u.faults.thawed() != nil {
			return false
		}
		if u.faults.get().NoRenew {
			continue
		}
		err := u.renew(u.ctx)
		var status *statusError
		if errors.As(err, &status) && (status.status == http.StatusNotFound || status.status == http.StatusConflict) && !u.isDrained() {
			u.options.Logf("renewing at %s: %v; announcing again", u.options.Router, err)
			return true
		}
		if err != nil {
			u.options.Logf("renewing at %s: %v", u.options.Router, err)
		}
	}
}

// pause returns false when the upstream closes.
func (u *Upstream) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-u.ctx.Done():
		return false
	}
}

func (u *Upstream) isDrained() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.drained
}

// Announce sends one announcement.
func (u *Upstream) Announce(ctx context.Context) error {
	return u.tellRouter(ctx, "/v1/announce", Announcement{
		Service:     u.options.Service,
		Address:     u.Address(),
		Slots:       u.options.Slots,
		Connections: u.options.Connections,
		Kind:        u.options.Kind,
	})
}

func (u *Upstream) renew(ctx context.Context) error {
	report := Renewal{Load: u.load(), Healthy: true}
	f := u.faults.get()
	if f.ReportLoad != nil {
		report.Load = *f.ReportLoad
	}
	if f.ReportHealthy != nil {
		report.Healthy = *f.ReportHealthy
	}
	return u.tellRouter(ctx, "/v1/renew", report)
}

// Drain tells the router that the upstream is leaving. The upstream goes on
// serving and renewing.
func (u *Upstream) Drain(ctx context.Context) error {
	u.mu.Lock()
	u.drained = true
	u.mu.Unlock()
	return u.tellRouter(ctx, "/v1/drain", nil)
}

// Withdraw tells the router that the upstream takes no more requests.
func (u *Upstream) Withdraw(ctx context.Context) error {
	return u.tellRouter(ctx, "/v1/withdraw", nil)
}

// tellRouter sends one message. It does nothing when there is no router.
func (u *Upstream) tellRouter(ctx context.Context, path string, message any) error {
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
