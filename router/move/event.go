package move

import (
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
)

var (
	eventMoved = event.Define(1400, log.InfoLevel, "shards moved",
		"a planned move to another host was committed", "none")
	eventNotMoved = event.Define(1401, log.InfoLevel, "shards not moved",
		"the target refused, requests took too long, or the rows were not written; the shards stay and the move is tried again later",
		"none, unless it repeats for minutes: then look at the reason and at the target")
	eventUnknown = event.Define(1402, log.WarnLevel, "outcome of a move unknown",
		"the answer to the write of both rows was lost; the shards stay closed until it is known",
		"check that the table service answers")
	eventLeftUnknown = event.Define(1403, log.ErrorLevel, "move left with unknown outcome",
		"the process ended a move before its outcome was known",
		"none; the rows decide, and the holder that they name serves the shards")
	eventNotAnnounced = event.Define(1404, log.WarnLevel, "target did not confirm a move",
		"the move is committed but the target did not answer the commit message",
		"none; the target finds the move in its row")
	eventReceived = event.Define(1405, log.InfoLevel, "shards received",
		"a planned move from another host was committed", "none")
	eventFoundInRow = event.Define(1406, log.WarnLevel, "row changed without a commit message",
		"the target of a move read its row because no commit message came, and found a newer version",
		"none; the source may have been lost after its commit")
	eventEvacuation = event.Define(1410, log.InfoLevel, "evacuation progress",
		"a leaving host moved shards to other hosts", "none")
	eventEvacuationEnd = event.Define(1411, log.WarnLevel, "evacuation ended with shards left",
		"the stop timeout passed before all shards were moved",
		"none; the standbys take the groups over")
)
