package note

import (
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
)

var (
	evInForce = event.Define(1300, log.InfoLevel, "release note in force",
		"This router applied a higher version, which it read from the table service or received from a peer.", "none")
	evPollFailed = event.Define(1301, log.WarnLevel, "reading the head row failed",
		"The table service did not respond to a poll of the head row, or the row is damaged.",
		"Check the table service. The router keeps its version and still accepts higher versions from peers.")
	evPollRecovered = event.Define(1302, log.InfoLevel, "head row read again",
		"A poll of the head row succeeded after failures.", "none")
	evBootstrapWaits = event.Define(1303, log.WarnLevel, "waiting for a first configuration",
		"At start neither the table service nor a peer returned a configuration. The router rejects requests with not_ready.",
		"Check the table service and the seeds in the settings.")
	evDivergence = event.Define(1304, log.ErrorLevel, "two configurations with the same version",
		"A configuration that was received has the version in force but a different publish id. The router keeps its own.",
		"Compare the publish ids with the log row of the table service, then publish another note.")
	evOfferRefused = event.Define(1305, log.WarnLevel, "configuration from a peer rejected",
		"A peer sent a configuration that no sequence of release notes can have produced.",
		"Check the version of the peer's binary.")
	evPublished = event.Define(1306, log.InfoLevel, "release note published",
		"This router published a release note for an operator.", "none")
	evPublishRefused = event.Define(1307, log.WarnLevel, "release note not published",
		"A publication was rejected: the note is invalid, another note was published first, or the store did not respond.",
		"See the error in the line. After note_conflict, rewrite the note against the new version.")
	evOutcomeUnknown = event.Define(1308, log.WarnLevel, "outcome of a publication unknown",
		"The response to the write of the head row was lost and the row could not be read before the timeout.",
		"Retry the publication with the same publish id; it cannot take effect twice.")
)
