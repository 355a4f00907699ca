package main

import (
	_ "embed"
	"encoding/json"

	"burdockglade.dev/platform"
)

//go:embed names.json
var namesFile []byte

// names are the names of the users' protocol that the stand-ins need beside the header
// names, which package platform has.
var names struct {
	SettingsVariable, ReadyPath, HeartbeatPath, DeregisterPath string
	Heartbeat, Clock, Era, Signature, Txn, HoldTime            string
	// TxnEntries are the lists of entries of a transaction.
	TxnEntries []string
}

var headers = platform.Headers()

func init() {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
}
