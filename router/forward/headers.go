package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of requests between routers.
const (
	headerHopToken        = "Burdock-Hop-Token"
	headerAttempt         = "Burdock-Attempt"
	headerDeadline        = "Burdock-Deadline" // remaining milliseconds
	headerKnownGroup      = "Burdock-Group"
	headerKnownGeneration = "Burdock-Generation"
	headerHopRegion       = "Burdock-Hop-Region" // of the entry
	headerHopTenant       = "Burdock-Hop-Tenant"
	headerHopIdempotency  = "Burdock-Hop-Idempotency-Key"
	internalHeaderPrefix  = "Burdock-"
	headerConnection      = "Connection"
	headerExpect          = "Expect"
	expectContinue        = "100-continue"
)

// HeaderRefusal is set on refusals of the owner's router to the kind of error.
const HeaderRefusal = "Burdock-Refusal"

// hopByHopHeaders lists the headers that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = []string{
	headerConnection, "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", headerExpect,
}

// endToEndHeaders returns a copy of in without hop-by-hop headers and without the
// router's internal headers, so that neither a caller nor an upstream can forge
// the latter.
func endToEndHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, value := range in.Values(headerConnection) {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, internalHeaderPrefix) {
			delete(out, name)
		}
	}
	return out
}
