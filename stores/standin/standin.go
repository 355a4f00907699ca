// Package standin provides stand-ins for the platform, for tests and demos: the
// table service, the object store, an upstream with fencing, and TCP and UDP
// relays, with faults that tests inject. They listen on loopback addresses
// only.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
)

// CheckLoopback returns an error unless address is a loopback IP address with a
// port. The stand-ins have no authentication, so they must not be reachable
// from other machines.
func CheckLoopback(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address %q: want a loopback IP address and a port: %w", address, err)
	}
	if !ap.Addr().IsLoopback() {
		return fmt.Errorf("address %q is not a loopback address", address)
	}
	return nil
}

// listenLoopback listens on a TCP loopback address.
func listenLoopback(address string) (net.Listener, error) {
	if err := CheckLoopback(address); err != nil {
		return nil, err
	}
	return net.Listen("tcp", address)
}

// newRand returns a generator that is determined by seed and stream.
func newRand(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// writeJSON responds with v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// errorResponse is the body of a store's error response.
type errorResponse struct {
	Error string `json:"error"`
}

// writeError responds with the status and the error as JSON.
func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, errorResponse{Error: err.Error()})
}

// readBody reads a body of at most limit bytes. With an error it returns the
// HTTP status to respond with.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, int, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("reading the body: %w", err)
	}
	return body, 0, nil
}

// decodeStrict decodes input that must be exactly one JSON value without
// unknown fields.
func decodeStrict(r io.Reader, into any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("malformed JSON: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("malformed JSON: data after the value")
	}
	return nil
}
