package note

import (
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
)

var (
	evInForce = event.Define(1300, log.InfoLevel, "release note in force",
		"This router applies a higher version, read from the table service or received from a peer.", "none")
	evPollFailed = event.Define(1301, log.WarnLevel, "head row not read",
		"The table service did not answer a poll of the head row, or the row is damaged.",
		"Check the table service. The router keeps its version and still takes higher ones from peers.")
	evPollRecovered = event.Define(1302, log.InfoLevel, "head row read again",
		"A poll of the head row succeeded after failures.", "none")
	evBootstrapWaits = event.Define(1303, log.WarnLevel, "no configuration yet",
		"At start neither the table service nor a peer gave a configuration. The router answers not_ready.",
		"Check the table service and the seeds in the settings.")
	evDivergence = event.Define(1304, log.ErrorLevel, "two configurations with one version",
		"A configuration has the version in force and another publish id. The router keeps its own.",
		"Compare the publish ids with the log row of the table service, then publish a further note.")
	evOfferRefused = event.Define(1305, log.WarnLevel, "configuration of a peer refused",
		"A peer sent a configuration that no release note can have made.",
		"Check the version of the peer's binary.")
	evPublished = event.Define(1306, log.InfoLevel, "release note published",
		"This router published a release note for an operator.", "none")
	evPublishRefused = event.Define(1307, log.WarnLevel, "release note not published",
		"A publication was refused: the note is invalid, another one won, or the store did not answer.",
		"Follow the detail. After note_conflict, write the note against the new version.")
	evOutcomeUnknown = event.Define(1308, log.WarnLevel, "outcome of a publication unknown",
		"The answer to the write of the head row was lost and the row could not be read in time.",
		"Repeat the publication with the same publish id; it cannot take effect twice.")
)
