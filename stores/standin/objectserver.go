package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"burdockglade.dev/stores/object"
)

// ObjectServer is a stand-in for the object store.
//
//	PUT /v1/objects/{name}             content -> 201, or 200 if it already exists
//	GET /v1/objects/{name}             -> content
//	GET /v1/counters                   -> Counters
//	GET /v1/faults, PUT /v1/faults     Faults
type ObjectServer struct {
	storeServer
	objects *object.Memory
}

// NewObjectServer returns a stand-in that serves the objects.
func NewObjectServer(objects *object.Memory) *ObjectServer {
	return &ObjectServer{storeServer: newStoreServer(), objects: objects}
}

// ServeHTTP implements http.Handler.
func (s *ObjectServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.EscapedPath()
	name, isObject := strings.CutPrefix(path, "/v1/objects/")
	switch {
	case path == "/v1/faults":
		s.faults.serveFaults(w, r)
	case path == "/v1/counters" && r.Method == http.MethodGet:
		writeJSON(w, http.StatusOK, s.Counters())
	case isObject && r.Method == http.MethodPut:
		s.servePut(w, r, name)
	case isObject && r.Method == http.MethodGet:
		s.serveGet(w, r, name)
	default:
		s.rejectInvalid(w, http.StatusBadRequest, fmt.Errorf("unknown operation: %s %s", r.Method, path))
	}
}

func (s *ObjectServer) servePut(w http.ResponseWriter, r *http.Request, name string) {
	s.count(func(c *Counters) { c.Writes++ })
	content, status, err := readBody(w, r, object.MaxContentBytes)
	if err != nil {
		s.rejectInvalid(w, status, err)
		return
	}
	loseResponse, ok := s.applyFaults(w, classWrite)
	if !ok {
		return
	}
	// The write takes effect even if its sender has disconnected.
	added, err := s.objects.Add(context.WithoutCancel(r.Context()), name, content)
	s.countPut(added, err)
	s.abortIfResponseLost(loseResponse)
	switch {
	case err != nil:
		s.writeStoreError(w, err)
	case added:
		w.WriteHeader(http.StatusCreated)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (s *ObjectServer) countPut(added bool, err error) {
	s.count(func(c *Counters) {
		switch {
		case added:
			c.Applied++
		case errors.Is(err, object.ErrExists):
			c.Conflicts++
		}
	})
}

func (s *ObjectServer) serveGet(w http.ResponseWriter, r *http.Request, name string) {
	s.count(func(c *Counters) { c.Reads++ })
	loseResponse, ok := s.applyFaults(w, classRead)
	if !ok {
		return
	}
	content, err := s.objects.Get(context.WithoutCancel(r.Context()), name)
	s.abortIfResponseLost(loseResponse)
	if err != nil {
		s.writeStoreError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content)
}

// writeStoreError responds with the status that belongs to an error of the
// object store.
func (s *ObjectServer) writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, object.ErrNotFound):
		writeError(w, http.StatusNotFound, err)
	case errors.Is(err, object.ErrExists):
		writeError(w, http.StatusConflict, err)
	case errors.Is(err, object.ErrInvalid):
		s.rejectInvalid(w, http.StatusBadRequest, err)
	default:
		writeError(w, http.StatusInternalServerError, err)
	}
}
