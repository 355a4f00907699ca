package node

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"burdockglade.dev/router/peer"
)

// Guards against heartbeats that name another group than the one meant.
func TestGroupIDsKeepTheirText(t *testing.T) {
	for _, id := range []string{
		uuid.NewString(), "", "g", "text-of-16-bytes",
		"AAAAAAAA-0000-4000-8000-000000000000", "{aaaaaaaa-0000-4000-8000-000000000000}",
		"aaaaaaaa000040008000000000000000",
	} {
		body, err := cbor.Marshal(heartbeatWire{GroupID: packID(id)})
		if err != nil {
			t.Fatal(err)
		}
		var h heartbeatWire
		if err := peer.DecodeDatagram(body, &h); err != nil || unpackID(h.GroupID) != id {
			t.Errorf("%q became %q, %v", id, unpackID(h.GroupID), err)
		}
	}
	for _, none := range []any{nil, 5, []byte("short")} {
		if got := unpackID(none); got != "" {
			t.Errorf("%v became %q", none, got)
		}
	}
}
