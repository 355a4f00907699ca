package standin

import (
	"errors"
	"net/http"
	"sync"
)

const (
	// maxStateBytes limits the state of one key; appending drops the oldest
	// bytes beyond it.
	maxStateBytes = 64 << 10
	// maxKeys limits the number of keys that have state.
	maxKeys = 1 << 20
)

// errTooManyKeys rejects the creation of state for one more key.
var errTooManyKeys = errors.New("too many keys have state")

// keyValue is the state of a key.
type keyValue struct {
	entries int // number of request bodies that the state consists of
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

// apply applies a request to a key and returns the state after it. The caller
// holds mu.
func (s *keyState) apply(method, key string, body []byte) (keyValue, error) {
	value, ok := s.keys[key]
	switch method {
	case http.MethodPost, http.MethodPatch:
		value = keyValue{entries: value.entries + 1, content: appendTruncated(value.content, body)}
	case http.MethodPut:
		value = keyValue{entries: 1, content: appendTruncated(nil, body)}
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

// appendTruncated returns the last maxStateBytes bytes of content followed by
// body. The slice is new, so that states returned earlier do not change.
func appendTruncated(content, body []byte) []byte {
	joined := make([]byte, 0, len(content)+len(body))
	joined = append(append(joined, content...), body...)
	return joined[max(0, len(joined)-maxStateBytes):]
}
