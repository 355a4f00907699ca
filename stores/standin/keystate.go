package standin

import (
	"errors"
	"net/http"
	"sync"
)

const (
	// maxStateBytes bounds the state of one key; an append drops the oldest
	// bytes beyond it.
	maxStateBytes = 64 << 10
	// maxKeys bounds the keys that have state.
	maxKeys = 1 << 20
)

// errTooManyKeys refuses to create state for one more key.
var errTooManyKeys = errors.New("no room for the state of one more key")

// keyValue is the state of a key.
type keyValue struct {
	entries int // bodies that the state is made of
	content []byte
}

// keyState is the state of all keys.
type keyState struct {
	mu   sync.Mutex
	keys map[string]keyValue
}

func newKeyState() *keyState {
	return &keyState{keys: make(map[string]keyValue)}
}

// apply runs a method on a key and returns the state after it. Callers hold
// mu.
func (s *keyState) apply(method, key string, body []byte) (keyValue, error) {
	value, ok := s.keys[key]
	switch method {
	case http.MethodPost, http.MethodPatch:
		value = keyValue{entries: value.entries + 1, content: appended(value.content, body)}
	case http.MethodPut:
		value = keyValue{entries: 1, content: appended(nil, body)}
	case http.MethodDelete:
		delete(s.keys, key)
		return keyValue{}, nil
	default:
		return value, nil
	}
	if !ok && len(s.keys) >= maxKeys {
		return keyValue{}, errTooManyKeys
	}
	s.keys[key] = value
	return value, nil
}

// appended returns a new slice, so that values handed out earlier stay as they
// are.
func appended(content, body []byte) []byte {
	joined := make([]byte, 0, len(content)+len(body))
	joined = append(append(joined, content...), body...)
	return joined[max(0, len(joined)-maxStateBytes):]
}
