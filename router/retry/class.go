// Package retry decides whether a failed attempt is retried, from the class of the
// work, its outcome, the remaining time and a retry budget.
package retry

import (
	"net/http"
	"slices"
)

// DefaultShare is the default retry budget as a share of a service's requests.
const DefaultShare = 0.1

// Idempotent reports whether the HTTP method is idempotent. extra are the further
// methods that the service's definition declares idempotent.
func Idempotent(method string, extra []string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return slices.Contains(extra, method)
}
