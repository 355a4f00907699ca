package h1

import (
	"errors"
	"hash/maphash"
	"net/http"
	"slices"

	"burdockglade.dev/router/connpool"
)

// maxFailedIDs is the maximum number of ids that a connection remembers. The connection is
// not reused after that.
const maxFailedIDs = 256

// errUnidentified means that a response has no id although others may have been due.
var errUnidentified = errors.New("received a response without the id of its request")

// errTwoIDs means that a head has several ids: it broke off, and another one follows it.
var errTwoIDs = errors.New("received a response with several ids")

// history is what a connection has carried. It decides to which request a response
// belongs: a faulty server may send an earlier response once more.
type history struct {
	// responses counts the responses received.
	responses int
	// failed are the hashes of the ids of requests that got an error response. Such a
	// request may be sent again under the same id, which then would not tell a copy of
	// the first response from the second one.
	failed []uint64
	// closing is true if the connection must not be reused.
	closing bool
}

var hashSeed = maphash.MakeSeed()

// historyOf returns the history of a connection.
func historyOf(cn *connpool.Conn) *history {
	h, _ := cn.State.(*history)
	if h == nil {
		h = &history{}
		cn.State = h
	}
	return h
}

// mayUse reports whether the response to the request can be identified on a connection
// that has been used before.
func (r *Request) mayUse(cn *connpool.Conn) bool {
	if r.IDHeader == "" {
		return true
	}
	return r.ID != "" && !slices.Contains(historyOf(cn).failed, maphash.String(hashSeed, r.ID))
}

// attribute reports whether a response belongs to the request. If not, it belongs to an
// earlier one. A response without an id can be attributed only if it is the first one on
// its connection.
func (h *history) attribute(r *Request, resp *http.Response) (belongs bool, err error) {
	h.responses++
	if r.IDHeader == "" {
		return true, nil
	}
	if len(resp.Header.Values(r.IDHeader)) > 1 {
		return false, errTwoIDs
	}
	switch id := resp.Header.Get(r.IDHeader); {
	case id == "" && h.responses > 1:
		return false, errUnidentified
	case id != "" && id != r.ID:
		h.closing = true
		return false, nil
	}
	h.record(r.ID, resp.StatusCode)
	return true, nil
}

// record remembers the id of a request that got an error response.
func (h *history) record(id string, status int) {
	if status < http.StatusBadRequest {
		return
	}
	h.failed = append(h.failed, maphash.String(hashSeed, id))
	h.closing = h.closing || len(h.failed) >= maxFailedIDs
}
