package table

import (
	"encoding/json"
	"strings"
	"testing"
)

// Guards against a scan of the largest rows whose answer the client refuses as
// too large. JSON writes "<" as six bytes.
func TestLargestScanFitsAnswer(t *testing.T) {
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
	const frame = len(`{"rows":[]}`) + 1
	if size := MaxScanRows*(len(encoded)+1) + frame; size > maxResponseBytes {
		t.Errorf("the largest answer has %d bytes, the client takes %d", size, maxResponseBytes)
	}
}
