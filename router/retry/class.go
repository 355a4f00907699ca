// Package retry decides whether a failed attempt may be repeated: by the class
// of the work, by what is known of its outcome and by a budget.
package retry

import (
	"net/http"
	"slices"
)

// DefaultShare is the retry budget as a share of a service's requests.
const DefaultShare = 0.1

// Idempotent reports whether work of the HTTP method may run more than once
// without harm. The extra methods come from the service's definition.
func Idempotent(method string, extra []string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return slices.Contains(extra, method)
}
