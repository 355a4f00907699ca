package node

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"burdockglade.dev/router/peer"
)

// Guards against group IDs that change when a heartbeat is encoded and decoded.
func TestGroupIDRoundTrip(t *testing.T) {
	for _, id := range []string{
		uuid.NewString(), "", "g", "text-of-16-bytes",
		"AAAAAAAA-0000-4000-8000-000000000000", "{aaaaaaaa-0000-4000-8000-000000000000}",
		"aaaaaaaa000040008000000000000000",
	} {
		body, err := cbor.Marshal(heartbeatWire{GroupID: encodeGroupID(id)})
		if err != nil {
			t.Fatal(err)
		}
		var h heartbeatWire
		if err := peer.DecodeDatagram(body, &h); err != nil || decodeGroupID(h.GroupID) != id {
			t.Errorf("%q became %q, %v", id, decodeGroupID(h.GroupID), err)
		}
	}
	for _, invalid := range []any{nil, 5, []byte("short")} {
		if got := decodeGroupID(invalid); got != "" {
			t.Errorf("%v became %q", invalid, got)
		}
	}
}
