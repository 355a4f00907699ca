package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's pages stand in a file of their own, because the project
// keeps them out of Go code that is not in its platform folder.

//go:embed names.json
var namesFile []byte

var names = func() map[string]string {
	var n map[string]string
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}()
