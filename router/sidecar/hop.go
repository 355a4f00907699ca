package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/upstream"
)

const (
	hopDialTimeout = 300 * time.Millisecond
	// hopIdleTimeout is the longest time for which a connection to another router is kept
	// unused.
	hopIdleTimeout = 20 * time.Second
)

func newHopClient(address string) *hop.Client {
	return hop.NewClient(connpool.Options{
		Address:     address,
		DialTimeout: hopDialTimeout,
		IdleTimeout: hopIdleTimeout,
		UserTimeout: tcpUserTimeout,
	})
}

// hopFields returns the end-to-end fields in a fixed order, except those named in
// without, which travel in the head.
func hopFields(header http.Header, without ...string) []hop.Field {
	fields := []hop.Field{}
	for name, values := range upstream.EndToEndHeader(header) {
		if slices.Contains(without, name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, hop.Field{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(fields, func(a, b hop.Field) int { return strings.Compare(a.Name, b.Name) })
	return fields
}

func headerFrom(fields []hop.Field) http.Header {
	header := make(http.Header, len(fields)+4)
	for _, f := range fields {
		header[f.Name] = append(header[f.Name], f.Value)
	}
	return header
}

// requestHead encodes a call.
func requestHead(names Headers, c *Call, now time.Time) hop.RequestHead {
	head := hop.RequestHead{
		Method: c.Method, Target: c.Target, Host: c.Host,
		RequestID: c.RequestID, Service: c.Service, Caller: c.Caller,
		RemainingMs: max(int(c.Deadline.Sub(now).Milliseconds()), 1),
		GoalMs:      max(int(c.Goal.Sub(now).Milliseconds()), 0),
		Priority:    c.Priority,
		WaitPolicy:  int(c.WaitPolicy),
		Key:         c.Key,
		Fields:      hopFields(c.Header, names.RequestID, names.DeadlineMs, names.Key, names.Caller, names.ExpectInstance, originField, runField),
		Length:      int64(len(c.Body)),
	}
	if c.Stream != nil {
		head.Length = c.Stream.length
	}
	for flag, set := range map[hop.RequestFlags]bool{hop.Repeatable: c.Repeatable, hop.Keyed: c.Keyed, hop.Large: c.Large} {
		if set {
			head.Flags |= flag
		}
	}
	head.Fields = append(head.Fields, encodeOrigin(c)...)
	if c.ofRun.known {
		head.Fields = append(head.Fields, hop.Field{Name: runField, Value: c.ofRun.encode()})
	}
	// A key that does not decide the host is passed on like any other field.
	if key := c.Header.Get(names.Key); key != "" && !c.Keyed {
		head.Fields = append(head.Fields, hop.Field{Name: names.Key, Value: key})
	}
	return head
}

// sendHop sends a call to the gate of another host.
func sendHop(ctx context.Context, client *hop.Client, names Headers, c *Call) *Result {
	now := time.Now()
	if !c.Deadline.After(now) {
		return errorResult(errkind.DeadlinePassed, "the deadline passed before the request was sent")
	}
	req := &hop.Request{RequestHead: requestHead(names, c, now), Body: c.Body, DeferBody: c.deferBody}
	if c.Stream != nil {
		req.Stream = c.Stream
	}
	resp, err := client.Do(ctx, req)
	if err != nil {
		return hopError(ctx, client, err)
	}
	r := hopResult(resp, names, c)
	r.bodyDeferred = resp.BodyDeferred
	return r
}

func hopError(ctx context.Context, client *hop.Client, err error) *Result {
	var failure *connpool.Error
	sent := !errors.As(err, &failure) || failure.Sent
	if ctx.Err() == nil {
		// The other connections use the same path and are likely to be broken as well.
		client.CloseIdle()
	}
	switch {
	case sent:
		return &Result{Arrived: true, Unreachable: ctx.Err() == nil, Err: unansweredError("host "+client.Address(), err)}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		// With a connection, the request waited there for a slot before its body was wanted.
		return &Result{Unreachable: !failure.Connected, Err: errkind.New(errkind.DeadlinePassed, "the deadline passed before the request was sent or admitted")}
	case ctx.Err() != nil:
		return errorResult(errkind.CallerLeft, "the caller left before the request was sent")
	}
	return &Result{Unreachable: true, Err: errkind.New(errkind.PeerUnreachable, "host %s cannot be reached: %w", client.Address(), err)}
}

// hopResult decodes the response of another host's gate.
func hopResult(resp *hop.Response, names Headers, c *Call) *Result {
	r := &Result{
		Arrived:     resp.Flags&hop.Arrived != 0,
		Unreachable: resp.Flags&hop.Unreachable != 0,
		Load:        fleet.Load{Busy: resp.Busy, Waiting: resp.Waiting, Slots: resp.Slots},
		HasLoad:     true,
	}
	r.Config.Version = resp.Config
	r.Config.Age, r.Config.AgeKnown = resp.Flags.ConfigAge()
	header := headerFrom(resp.Fields)
	r.Leaving = decodeLeaving(header.Get(leavingField))
	header.Del(leavingField)
	kind := decodeKind(resp.Kind, header.Get(kindField))
	header.Del(kindField)
	r.Evacuated = header.Get(evacuatedField)
	header.Del(evacuatedField)
	r.Suspects = header.Get(suspectsField)
	header.Del(suspectsField)
	r.Load.Pace = decodePace(header.Get(paceField))
	header.Del(paceField)
	r.Load.Link = decodeLinkShare(header.Get(linkField))
	header.Del(linkField)
	room := decodeRoom(header.Get(roomField))
	header.Del(roomField)
	if resp.Kind != "" {
		_ = resp.Body.Close()
		r.Err = errkind.New(kind, "%s", resp.Detail)
		r.Err.RetryAfter, r.Err.Room = time.Duration(resp.RetryMs)*time.Millisecond, room
		r.Holder = resp.Holder
		return r
	}
	r.Status, r.Length, r.Body = resp.Status, resp.Length, resp.Body
	r.Header = header
	r.Header.Set(names.RequestID, c.RequestID)
	if resp.Signature != "" {
		r.Header.Set(names.Signature, resp.Signature)
	}
	if r.Length >= 0 && r.Length <= maxBufferedResponse {
		c.chargeResponse(r.Length)
		return bufferBody(r)
	}
	return r
}

// bufferBody reads the body of a response completely. If it breaks off, the caller gets an
// error in place of a part of the response, and its connection stays open.
func bufferBody(r *Result) *Result {
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return &Result{Arrived: true, Load: r.Load, HasLoad: r.HasLoad, Config: r.Config, Evacuated: r.Evacuated, Suspects: r.Suspects,
			Err: errkind.New(errkind.AnswerIncomplete, "the response of the other host was cut: %w", err)}
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r
}

// hopHandler serves calls of other routers.
type hopHandler struct {
	gate    *gate
	link    *linkScheduler
	headers Headers
	// store is this host's own connection to the store.
	store rowstore.Store
	// feeds hold, by table, the rows that this host reads for others.
	feeds map[string]*rowstore.Feed
	// config is the configuration in force.
	config *currentConfig
	// evacuation is nil if zones cannot be evacuated.
	evacuation *zoneEvacuation
	// quarantine is nil if it is switched off.
	quarantine *quarantineDriver
	// applyRow applies the row of a key map that another host has written.
	applyRow func(rowstore.Row)
	// leases returns the next reading of the leases of a service.
	leases func(ctx context.Context, service string) (leaseReading, error)
}

// serve passes a call on to the local upstream or to the store. A panic ends only this
// call, whose outcome is then unknown.
func (h *hopHandler) serve(ctx context.Context, req *hop.Request) (resp *hop.Response) {
	defer func() {
		if v := recover(); v != nil {
			logPanic(h.gate.log, req.RequestID, v)
			resp = &hop.Response{ResponseHead: hop.ResponseHead{
				Kind: string(errkind.OutcomeUnknown), Flags: hop.Arrived, Detail: "panic in the router of " + h.gate.host}}
		}
	}()
	return h.dispatch(ctx, req)
}

// logPanic logs a recovered panic with its stack.
func logPanic(log *event.Logger, request string, v any) {
	log.Log(eventPanic, event.F("request", request), event.F("panic", fmt.Sprint(v)), event.F("stack", string(debug.Stack())))
}

func (h *hopHandler) dispatch(ctx context.Context, req *hop.Request) *hop.Response {
	if req.Flags&hop.StoreCall != 0 {
		return h.serveStore(ctx, req)
	}
	c := h.decodeCall(req, time.Now())
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	r, transfer := h.link.serve(ctx, h.gate, c)
	r.reported = req.Reported
	resp := &hop.Response{ResponseHead: h.responseHead(r), Body: r.Body}
	if resp.Body == nil {
		cancel()
		return resp
	}
	resp.Body = &cancelOnClose{ReadCloser: r.Body, cancel: cancel}
	if transfer != nil {
		resp.Turns = transfer
	}
	return resp
}

// cancelOnClose is a response body that cancels the context of its call when it is
// closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (b *cancelOnClose) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// decodeCall decodes a call. Its remaining times count from now, the moment of its
// arrival.
func (h *hopHandler) decodeCall(req *hop.Request, now time.Time) *Call {
	header := headerFrom(req.Fields)
	c := &Call{
		Method: req.Method, Target: req.Target, Host: req.Host, Header: header, Origin: takeOrigin(header),
		Body:      req.Body,
		RequestID: req.RequestID, Service: req.Service, Caller: req.Caller,
		Deadline:   now.Add(time.Duration(req.RemainingMs) * time.Millisecond),
		Goal:       now.Add(time.Duration(req.GoalMs) * time.Millisecond),
		Priority:   req.Priority,
		Repeatable: req.Flags&hop.Repeatable != 0,
		Large:      req.Flags&hop.Large != 0,
		Keyed:      req.Flags&hop.Keyed != 0,
		WaitPolicy: admit.WaitPolicy(req.WaitPolicy),
		Key:        req.Key,
		charge:     req.ChargeResponse,
	}
	c.ofRun = takeCallOfRun(c.Header)
	if req.BodyDeferred() {
		c.deferred = req
	}
	if req.Stream != nil {
		c.Stream = &bodyStream{src: req.Stream, length: req.Length}
	}
	if c.RequestID != "" {
		c.Header.Set(h.headers.RequestID, c.RequestID)
	}
	if c.Keyed {
		c.Header.Set(h.headers.Key, formatKey(c.Key))
	}
	return c
}

func (h *hopHandler) responseHead(r *Result) hop.ResponseHead {
	version, age := h.config.confirmed(time.Now())
	head := hop.ResponseHead{Busy: r.Load.Busy, Waiting: r.Load.Waiting, Slots: r.Load.Slots, Config: version}
	head.Flags = head.Flags.WithConfigAge(age)
	if r.Arrived {
		head.Flags |= hop.Arrived
	}
	if r.Unreachable {
		head.Flags |= hop.Unreachable
	}
	if r.Err != nil {
		head.Kind, head.Fields = encodeKind(r.Err.Kind)
		head.Fields = append(head.Fields, encodeRoom(r.Err)...)
		head.Detail = r.Err.Detail
		head.RetryMs = int(r.Err.RetryAfter.Milliseconds())
		head.Holder = r.Holder
	} else {
		head.Status, head.Length = r.Status, r.Length
		head.Signature = r.Header.Get(h.headers.Signature)
		head.Fields = hopFields(r.Header, h.headers.RequestID, h.headers.Signature, h.headers.Load, leavingField, kindField, evacuatedField, paceField, linkField, suspectsField, roomField)
	}
	if r.Load.Pace != 0 {
		head.Fields = append(head.Fields, hop.Field{Name: paceField, Value: strconv.Itoa(r.Load.Pace)})
	}
	if r.Leaving != nil {
		head.Fields = append(head.Fields, hop.Field{Name: leavingField, Value: encodeLeaving(*r.Leaving)})
	}
	if report := h.evacuation.report(); report != "" {
		head.Fields = append(head.Fields, hop.Field{Name: evacuatedField, Value: report})
	}
	if report := h.quarantine.report(r); report != "" {
		head.Fields = append(head.Fields, hop.Field{Name: suspectsField, Value: report})
	}
	if share := h.link.share(time.Now()); share != "" {
		head.Fields = append(head.Fields, hop.Field{Name: linkField, Value: share})
	}
	return head
}

// leavingField is the field of a response between routers that names the life of the
// upstream that leaves. Routers of earlier versions ignore it, whereas they reject a head
// with another number of members.
const leavingField = "Burdock-Leaving"

// kindField is the field of a response between routers that names an error kind which
// routers of earlier versions do not know. They take an unknown kind for internal, whose
// outcome is unknown, so that the head names a known one.
const kindField = "Burdock-Kind"

// earlierKinds maps kinds that routers of earlier versions do not know to known ones with
// the same status and outcome.
var earlierKinds = map[errkind.Kind]errkind.Kind{
	errkind.RegionUnavailable: errkind.NoOwner,
	errkind.Quarantined:       errkind.Overloaded,
	errkind.CallsRefused:      errkind.Overloaded,
}

// encodeKind returns the kind for the head of a response and its further fields.
func encodeKind(kind errkind.Kind) (inHead string, fields []hop.Field) {
	if earlier, ok := earlierKinds[kind]; ok {
		return string(earlier), []hop.Field{{Name: kindField, Value: string(kind)}}
	}
	return string(kind), nil
}

// decodeKind returns the kind of a response with the kind in its head and the value of
// kindField, which is empty if there is none.
func decodeKind(inHead, named string) errkind.Kind {
	if kind := errkind.Kind(named); earlierKinds[kind] != "" {
		return kind
	}
	return errkind.Kind(inHead)
}

func encodeLeaving(of fleet.Incarnation) string {
	return strconv.FormatInt(of.Started, 10) + " " + of.Instance
}

// decodeLeaving returns nil if the value is not one of encodeLeaving.
func decodeLeaving(value string) *fleet.Incarnation {
	started, instance, _ := strings.Cut(value, " ")
	at, err := strconv.ParseInt(started, 10, 64)
	if err != nil || instance == "" {
		return nil
	}
	return &fleet.Incarnation{Instance: instance, Started: at}
}
