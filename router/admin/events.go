package admin

import (
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
)

var (
	evChange = event.Define(1700, log.InfoLevel, "operator request",
		"An operator's request that can change state was answered.", "none")
	evUnauthorized = event.Define(1701, log.WarnLevel, "operator request without a valid token",
		"A request to the administration API had no token or a wrong one.",
		"Check the token file of burdockctl. Many lines from one address can be an attack.")
	evFailed = event.Define(1702, log.WarnLevel, "operator request failed",
		"A request of an operator was answered with a status of 500 or above.",
		"Follow the error in the line; docs/ERRORS.md lists the kinds.")
	evPanic = event.Define(1703, log.ErrorLevel, "operator request panicked",
		"A fault in the code ended a request of an operator.", "Report the line with the stack.")
)
