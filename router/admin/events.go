package admin

import (
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
)

var (
	evChange = event.Define(1700, log.InfoLevel, "operator request",
		"A request of an operator that can change state was processed.", "none")
	evUnauthorized = event.Define(1701, log.WarnLevel, "operator request without a valid token",
		"A request to the administration API had no token or an invalid one.",
		"Check the token file of burdockctl. Many events from one address may indicate an attack.")
	evFailed = event.Define(1702, log.WarnLevel, "operator request failed",
		"A request of an operator failed with a status of 500 or above.",
		"See the error in the line; docs/ERRORS.md lists the kinds.")
	evPanic = event.Define(1703, log.ErrorLevel, "operator request panicked",
		"A request of an operator ended with a panic, which is a bug in the router.", "Report the log line with the stack.")
)
