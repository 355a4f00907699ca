package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/h1"
	"burdockglade.dev/router/upstream"
)

// Header fields between routers. The values are URL query strings, so that one
// short field carries all parameters: traffic between zones is paid for.
const (
	headerHop     = "Burdock-Hop"
	headerLoad    = "Burdock-Load"
	headerRefusal = "Burdock-Refusal"
)

// Parameters of headerHop and headerLoad.
const (
	paramService    = "s"
	paramCaller     = "c"
	paramRequest    = "i"
	paramLeftMs     = "d"
	paramPriority   = "p"
	paramRepeatable = "r"
	paramKey        = "k"
	paramWait       = "w"
	paramBusy       = "b"
	paramWaiting    = "q"
	paramSlots      = "n"
	paramKind       = "e"
	paramRetryMs    = "a"
	paramArrived    = "u"
	paramDown       = "x"
)

const (
	hopDial = 300 * time.Millisecond
	// hopIdle is the longest time that a connection to another router is kept
	// unused; routers keep idle connections longer.
	hopIdle = 20 * time.Second
)

func newHopClient(address string) *h1.Client {
	return h1.New(h1.Options{
		Address:     address,
		DialTimeout: hopDial,
		IdleTimeout: hopIdle,
		UserTimeout: unackedLimit,
	})
}

// hopParams encodes what the gate of another host has to know of a call.
func hopParams(c *Call, left time.Duration) string {
	v := url.Values{}
	v.Set(paramService, c.Service)
	v.Set(paramCaller, c.Caller)
	v.Set(paramLeftMs, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if c.Priority != 0 {
		v.Set(paramPriority, strconv.Itoa(c.Priority))
	}
	if c.Repeatable {
		v.Set(paramRepeatable, "1")
	}
	if c.Keyed {
		v.Set(paramKey, strconv.Itoa(int(c.Key)))
	}
	if c.MayWait {
		v.Set(paramWait, "1")
	}
	return v.Encode()
}

// sendHop sends a call to the gate of another host.
func sendHop(ctx context.Context, client *h1.Client, names Headers, c *Call) *Result {
	left := time.Until(c.Deadline)
	if left <= 0 {
		return refused(errkind.DeadlinePassed, "the deadline passed before the request was sent")
	}
	header := upstream.EndToEnd(c.Header)
	header.Del(names.DeadlineMs)
	header.Set(headerHop, hopParams(c, left))
	resp, err := client.Do(ctx, &h1.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header,
		Body: c.Body, Stream: c.Stream, Length: c.Length,
	})
	if err != nil {
		return hopFailed(ctx, client, err)
	}
	return hopAnswer(resp)
}

func hopFailed(ctx context.Context, client *h1.Client, err error) *Result {
	var failure *h1.Error
	sent := !errors.As(err, &failure) || failure.Sent
	if ctx.Err() == nil {
		// The other connections took the same path and are as suspect.
		client.CloseIdle()
	}
	switch {
	case sent:
		return &Result{Arrived: true, Down: ctx.Err() == nil, Err: errkind.New(errkind.OutcomeUnknown, "host %s got the request and did not answer: %w", client.Address(), err)}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Result{Down: true, Err: errkind.New(errkind.DeadlinePassed, "the deadline passed before the request was sent")}
	case ctx.Err() != nil:
		return refused(errkind.CallerLeft, "the caller left before the request was sent")
	}
	return &Result{Down: true, Err: errkind.New(errkind.PeerUnreachable, "host %s cannot be reached: %w", client.Address(), err)}
}

// hopAnswer reads the answer of another host's gate.
func hopAnswer(resp *h1.Response) *Result {
	r := &Result{Arrived: true, Status: resp.Status, Header: resp.Header, Body: resp.Body, Length: resp.Length}
	r.Load, r.HasLoad = parseLoad(resp.Header.Get(headerLoad))
	refusal := resp.Header.Get(headerRefusal)
	resp.Header.Del(headerLoad)
	if refusal == "" {
		if !r.HasLoad {
			// Only a router's answer carries a load; anything else stands at the
			// address now and its answer means nothing.
			r.close()
			return &Result{Down: true, Arrived: true, Err: errkind.New(errkind.OutcomeUnknown, "the answer is not a router's")}
		}
		return r
	}
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, keptAnswerBytes))
	r.close()
	return parseRefusal(r, refusal, string(detail))
}

func parseRefusal(r *Result, refusal, detail string) *Result {
	out := &Result{Arrived: true, Load: r.Load, HasLoad: r.HasLoad}
	v, err := url.ParseQuery(refusal)
	if err != nil || v.Get(paramKind) == "" {
		out.Err = errkind.New(errkind.OutcomeUnknown, "unreadable refusal %q", refusal)
		return out
	}
	out.Arrived = v.Has(paramArrived)
	out.Down = v.Has(paramDown)
	out.Err = errkind.New(errkind.Kind(v.Get(paramKind)), "%s", detail)
	if ms, err := strconv.Atoi(v.Get(paramRetryMs)); err == nil {
		out.Err.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return out
}

func parseLoad(header string) (fleet.Load, bool) {
	v, err := url.ParseQuery(header)
	if err != nil || !v.Has(paramSlots) {
		return fleet.Load{}, false
	}
	number := func(name string) int {
		n, err := strconv.Atoi(v.Get(name))
		if err != nil {
			return 0 // left out when 0
		}
		return n
	}
	return fleet.Load{Busy: number(paramBusy), Waiting: number(paramWaiting), Slots: number(paramSlots)}, true
}

func formatLoad(l fleet.Load) string {
	v := url.Values{paramSlots: {strconv.Itoa(l.Slots)}}
	if l.Busy > 0 {
		v.Set(paramBusy, strconv.Itoa(l.Busy))
	}
	if l.Waiting > 0 {
		v.Set(paramWaiting, strconv.Itoa(l.Waiting))
	}
	return v.Encode()
}

// hopHandler takes calls from other routers.
type hopHandler struct {
	gate    *gate
	headers Headers
}

// ServeHTTP passes a call on to the local upstream.
func (h *hopHandler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	c, err := h.parse(req)
	if err != nil {
		writeRefusal(w, &Result{Err: errkind.New(errkind.BadRequest, "%w", err)})
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), c.Deadline)
	defer cancel()
	r := h.gate.serve(ctx, c)
	defer r.close()
	if r.Err != nil {
		writeRefusal(w, r)
		return
	}
	w.Header().Set(headerLoad, formatLoad(r.Load))
	writeAnswer(w, r)
}

// parse reads a call. The time that is left counts from its arrival.
func (h *hopHandler) parse(req *http.Request) (*Call, error) {
	v, err := url.ParseQuery(req.Header.Get(headerHop))
	if err != nil {
		return nil, fmt.Errorf("parameters: %w", err)
	}
	leftMs, err := strconv.Atoi(v.Get(paramLeftMs))
	if err != nil {
		return nil, fmt.Errorf("time left: %w", err)
	}
	c := &Call{
		Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header,
		RequestID:  req.Header.Get(h.headers.RequestID),
		Service:    v.Get(paramService),
		Caller:     v.Get(paramCaller),
		Deadline:   time.Now().Add(time.Duration(leftMs) * time.Millisecond),
		Repeatable: v.Has(paramRepeatable),
		MayWait:    v.Has(paramWait),
	}
	if p := v.Get(paramPriority); p != "" {
		if c.Priority, err = strconv.Atoi(p); err != nil {
			return nil, fmt.Errorf("priority: %w", err)
		}
	}
	if k := v.Get(paramKey); k != "" {
		key, err := strconv.ParseUint(k, 10, 16)
		if err != nil {
			return nil, fmt.Errorf("key: %w", err)
		}
		c.Keyed, c.Key = true, uint16(key)
	}
	return c, readBody(req, c)
}

// writeRefusal answers another router. The status matters to no caller.
func writeRefusal(w http.ResponseWriter, r *Result) {
	v := url.Values{paramKind: {string(r.Err.Kind)}}
	if r.Err.RetryAfter > 0 {
		v.Set(paramRetryMs, strconv.FormatInt(r.Err.RetryAfter.Milliseconds(), 10))
	}
	if r.Arrived {
		v.Set(paramArrived, "1")
	}
	if r.Down {
		v.Set(paramDown, "1")
	}
	w.Header().Set(headerRefusal, v.Encode())
	if r.HasLoad {
		w.Header().Set(headerLoad, formatLoad(r.Load))
	}
	w.Header()["Date"] = nil
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, r.Err.Detail) // the other router may be gone
}

// writeAnswer passes an upstream's answer on. An answer that breaks off ends
// its connection, so that it cannot be taken for whole.
func writeAnswer(w http.ResponseWriter, r *Result) {
	header := w.Header()
	for name, values := range upstream.EndToEnd(r.Header) {
		header[name] = values
	}
	if header.Get("Date") == "" {
		header["Date"] = nil
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	if r.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.WriteHeader(r.Status)
	if r.Body == nil {
		return
	}
	n, err := io.Copy(w, r.Body)
	if err != nil || (r.Length >= 0 && n < r.Length) {
		panic(http.ErrAbortHandler)
	}
}

// readBody reads a body of up to keptBodyBytes whole, so that it can be sent
// again; a longer one becomes a stream.
func readBody(req *http.Request, c *Call) error {
	if req.ContentLength == 0 || req.Body == nil {
		return nil
	}
	if req.ContentLength > keptBodyBytes {
		c.Stream, c.Length = req.Body, req.ContentLength
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(req.Body, keptBodyBytes+1))
	if err != nil {
		return fmt.Errorf("reading the body: %w", err)
	}
	if len(head) <= keptBodyBytes {
		c.Body = head
		return nil
	}
	c.Stream, c.Length = joinReader(head, req.Body), -1
	return nil
}
