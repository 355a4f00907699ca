package move

import (
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
)

var (
	eventMoved = event.Define(1400, log.InfoLevel, "shards moved",
		"a planned move to another host was committed", "none")
	eventNotMoved = event.Define(1401, log.InfoLevel, "shards not moved",
		"the target refused, requests took too long, or the rows were not written; the shards stay with the source and the move is retried later",
		"none, unless it repeats for minutes: then check the logged reason and the target")
	eventUnknown = event.Define(1402, log.WarnLevel, "outcome of a move unknown",
		"no response to the write of both rows arrived; the shards stay closed until the outcome is known",
		"check that the table service responds")
	eventEndedUnknown = event.Define(1403, log.ErrorLevel, "move left with unknown outcome",
		"the router stopped before the outcome of the write of both rows was known",
		"none; the holder named in the rows serves the shards")
	eventCommitNotConfirmed = event.Define(1404, log.WarnLevel, "target did not confirm a move",
		"the move is committed but the target did not acknowledge the commit message",
		"none; the target learns of the move from its row")
	eventReceived = event.Define(1405, log.InfoLevel, "shards received",
		"a planned move from another host was committed", "none")
	eventFoundInRow = event.Define(1406, log.WarnLevel, "row changed without a commit message",
		"the target of a move received no commit message, read its row and found a newer version",
		"none; the source may have failed after its commit")
	eventEvacuation = event.Define(1410, log.InfoLevel, "evacuation progress",
		"a leaving host moved shards to other hosts", "none")
	eventEvacuationIncomplete = event.Define(1411, log.WarnLevel, "evacuation ended with shards left",
		"the stop timeout passed before all shards were moved",
		"none; the standbys take the groups over")
)
