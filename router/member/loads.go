package member

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// loadUnit is the resolution of Load.InUse in messages, in slots.
const loadUnit = 0.001

// Loads are the load summaries of a message. They make up most of the bytes of an
// exchange, so they are encoded as CBOR arrays, in a byte string of the JSON
// message: 50 bytes per summary instead of 150.
type Loads []Load

// loadWire is the wire format of a Load. The order of its fields is fixed.
type loadWire struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uint64
	Seq         uint64
	InUse       uint64 // in units of loadUnit
	Slots       int
	NoteVersion int64
	Healthy     bool
}

// MarshalJSON implements json.Marshaler.
func (l Loads) MarshalJSON() ([]byte, error) {
	wire := make([]loadWire, 0, len(l))
	for _, load := range l {
		wire = append(wire, loadWire{
			Host: load.Host, Incarnation: load.Incarnation, Seq: load.Seq,
			InUse: toLoadUnits(load.InUse), Slots: load.Slots, NoteVersion: load.NoteVersion, Healthy: load.Healthy,
		})
	}
	packed, err := cbor.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encoding load summaries: %w", err)
	}
	return json.Marshal(packed)
}

// toLoadUnits converts a load to units of loadUnit. Negative values and NaN
// become 0.
func toLoadUnits(inUse float64) uint64 {
	if !(inUse > 0) {
		return 0
	}
	return uint64(math.Round(min(inUse, math.MaxUint32) / loadUnit))
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Loads) UnmarshalJSON(data []byte) error {
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return fmt.Errorf("decoding load summaries: %w", err)
	}
	if len(packed) == 0 {
		*l = nil
		return nil
	}
	var wire []loadWire
	if err := cbor.Unmarshal(packed, &wire); err != nil {
		return fmt.Errorf("decoding load summaries: %w", err)
	}
	loads := make(Loads, 0, len(wire))
	for _, w := range wire {
		loads = append(loads, Load{
			Host: w.Host, Incarnation: w.Incarnation, Seq: w.Seq,
			InUse: float64(w.InUse) * loadUnit, Slots: w.Slots, NoteVersion: w.NoteVersion, Healthy: w.Healthy,
		})
	}
	*l = loads
	return nil
}
