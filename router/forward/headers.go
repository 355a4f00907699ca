package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between routers.
const (
	headerAuthorization  = "Burdock-Hop-Token"
	headerAttempt        = "Burdock-Attempt"
	headerDeadline       = "Burdock-Deadline" // remaining milliseconds
	headerBeliefGroup    = "Burdock-Group"
	headerBeliefGen      = "Burdock-Generation"
	headerHopRegion      = "Burdock-Hop-Region" // of the entry
	headerHopTenant      = "Burdock-Hop-Tenant"
	headerHopIdempotency = "Burdock-Hop-Idempotency-Key"
	headerRefusal        = "Burdock-Refusal" // set on refusals of the owner's router
	internalHeaderPrefix = "Burdock-"
	headerConnection     = "Connection"
	headerExpect         = "Expect"
	expectContinue       = "100-continue"
)

// hopByHop lists headers that belong to one connection and are not passed on.
var hopByHop = []string{
	headerConnection, "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", headerExpect,
}

// endToEnd returns a copy of the headers without those of one connection and
// without the product's own, so that neither a caller nor an upstream can set
// them for another host.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, value := range in.Values(headerConnection) {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, internalHeaderPrefix) {
			delete(out, name)
		}
	}
	return out
}
