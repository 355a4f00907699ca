package hop

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Guards against a configuration that passes for newer than it is, and against flags that
// change with the age.
func TestConfigAgeIsNeverRoundedDown(t *testing.T) {
	for age := time.Duration(0); age < 4*time.Second; age += 7 * time.Millisecond {
		f := (Arrived | Unreachable).WithConfigAge(age)
		got, known := f.ConfigAge()
		if known != (age <= maxConfigAge) || (known && (got < age || got >= age+configAgeStep)) {
			t.Fatalf("age %v: got %v, known %v", age, got, known)
		}
		if f&Arrived == 0 || f&Unreachable == 0 {
			t.Fatalf("age %v: flags %b", age, f)
		}
	}
	if age, known := Arrived.ConfigAge(); known {
		t.Errorf("flags without an age: %v", age)
	}
}

// Guards against a router of an earlier version that cannot read the responses of a new
// one: it rejects heads with another number of fields, and ignores unknown flags.
func TestResponseHeadHasFieldsOfEarlierVersions(t *testing.T) {
	const fields = 14
	head := ResponseHead{Config: 7, Flags: Arrived.WithConfigAge(time.Second)}
	message, err := appendHead(nil, head)
	if err != nil {
		t.Fatal(err)
	}
	var values []any
	if err := cbor.Unmarshal(message[1:], &values); err != nil || len(values) != fields {
		t.Fatalf("%d fields, want %d: %v", len(values), fields, err)
	}
	var shorter struct {
		_    struct{} `cbor:",toarray"`
		Kind string
	}
	if err := readHead(bufio.NewReader(bytes.NewReader(message)), &shorter); err == nil {
		t.Error("a head with another number of fields was accepted")
	}
}
