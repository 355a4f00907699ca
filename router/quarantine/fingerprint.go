// Package quarantine finds requests that crash each upstream that runs them, from the
// crashes at which they were in progress, and decides which requests are refused until a
// trial shows that they no longer do. It takes the time as an argument and is not safe for
// concurrent use.
package quarantine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxBodyBytes is the number of bytes of a body that count for its fingerprint.
const MaxBodyBytes = 64 << 10

// Fingerprint identifies requests that do the same.
type Fingerprint struct {
	// Head is the hash of service, method, host and target.
	Head uint64
	// Body is the hash of the first MaxBodyBytes of the body.
	Body uint64
}

var separator = []byte{0}

// HashHead returns Fingerprint.Head. target is the path and query.
func HashHead(service, method, host, target string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{service, method, strings.ToLower(host), target} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write(separator)
	}
	return d.Sum64()
}

// HashBody returns Fingerprint.Body.
func HashBody(body []byte) uint64 {
	return xxhash.Sum64(body[:min(len(body), MaxBodyBytes)])
}

// Incarnation identifies one life of an upstream's process, and thereby its crash.
type Incarnation uint64

// IncarnationOf returns the identifier of an incarnation that started at the given time in
// Unix milliseconds.
func IncarnationOf(host, instance string, started int64) Incarnation {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{host, instance} {
		_, _ = d.WriteString(part)
		_, _ = d.Write(separator)
	}
	for shift := 0; shift < 64; shift += 8 {
		_, _ = d.Write([]byte{byte(started >> shift)})
	}
	return Incarnation(d.Sum64())
}

// Request is a request that was in progress at a crash.
type Request struct {
	Fingerprint
	Service string
	// Path has no query. It is empty if only other hosts have seen the request.
	Path string
}

// maxPath bounds the path that is kept, in bytes.
const maxPath = 200

// bounded returns the request with a short path that keeps no longer string in memory.
func (r Request) bounded() Request {
	r.Service, r.Path = strings.Clone(r.Service), strings.Clone(r.Path[:min(len(r.Path), maxPath)])
	return r
}
