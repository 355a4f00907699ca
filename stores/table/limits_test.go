package table

import (
	"encoding/json"
	"strings"
	"testing"
)

// Guards against a client that rejects the response to the largest possible scan
// as too large. JSON escapes "<" as six bytes.
func TestLargestScanFitsResponseLimit(t *testing.T) {
	row := Row{
		Key:     strings.Repeat("<", MaxKeyBytes),
		Version: 1<<63 - 1,
		WriteID: strings.Repeat("<", MaxIDBytes),
		Value:   make([]byte, MaxValueBytes),
	}
	encoded, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	const envelopeBytes = len(`{"rows":[]}`) + 1
	if size := MaxScanRows*(len(encoded)+1) + envelopeBytes; size > maxResponseBytes {
		t.Errorf("the largest response has %d bytes, the client accepts %d", size, maxResponseBytes)
	}
}
