package sidecar

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/h1"
	"burdockglade.dev/router/keyrange"
)

// Notice is what an upstream says of itself in the header of a response.
type Notice struct {
	// RateLimit is the number of requests per second that the upstream accepts from all
	// hosts together. It is valid if RateLimited is true.
	RateLimit   float64
	RateLimited bool
	// RateUnreadable is true if the response names a limit that cannot be read.
	RateUnreadable bool
	// Pace says how long work takes at the upstream at the moment, as a multiple of the
	// usual time; 0 if the response does not say it.
	Pace float64
	// LoadUnreadable is true if the response reports a load that cannot be read.
	LoadUnreadable bool
	// Leaving is true if the upstream says that it leaves.
	Leaving bool
}

// noticeReader acts on the notices in the responses of the local upstream. Every response
// that belongs to a request passes it.
type noticeReader struct {
	// decode returns the notice in the header of a response.
	decode  func(http.Header) Notice
	log     *event.Logger
	scope   tally.Scope
	local   *localUpstream
	limiter *admit.PriorityLimiter
	// leaves is called when the upstream has said for the first time that it leaves.
	leaves func()
}

// read processes the notice in a response to a request that was sent at the given time to
// the upstream that is the holder.
func (n *noticeReader) read(sent time.Time, holder keyrange.Holder, resp *h1.Response) {
	now, notice := time.Now(), n.decode(resp.Header)
	if resp.Status == http.StatusMisdirectedRequest {
		// Possibly another upstream that has got the address: what it leaves unsaid or says
		// of its own end is not about the holder.
		if !notice.RateLimited {
			return
		}
		notice.Leaving, notice.Pace = false, 0
	}
	before, leaves, current := n.local.recordNotice(now, holder, notice)
	if !current {
		return
	}
	if notice.RateUnreadable {
		n.scope.Counter("rate_limit_unreadable").Inc(1)
	}
	if notice.Pace > 0 {
		n.limiter.ObservePace(notice.Pace)
		n.scope.Gauge("upstream_pace").Update(notice.Pace)
	}
	if notice.LoadUnreadable && !before.LoadUnreadable {
		n.log.Log(eventLoadUnreadable, event.F("instance", holder.Instance))
	}
	if notice.RateLimited || !notice.RateUnreadable {
		n.limiter.Responded(sent, notice.RateLimit, notice.RateLimited)
	}
	if notice.RateLimited != before.RateLimited || notice.RateLimit != before.RateLimit {
		n.scope.Gauge("rate_limit").Update(notice.RateLimit)
		n.log.Log(eventRateLimit, event.F("instance", holder.Instance), event.F("limited", notice.RateLimited), event.F("per_second", notice.RateLimit),
			event.F("before", before.RateLimit), event.F("sent_ms_ago", now.Sub(sent).Milliseconds()))
	}
	if leaves {
		n.log.Log(eventSaysLeaving, event.F("instance", holder.Instance), event.F("started", holder.Started))
		n.leaves()
	}
}
