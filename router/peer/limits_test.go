package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"testing"

	"burdockglade.dev/router/errkind"
)

// Guards against processes without the secret that make the router hold messages of the full
// size, also compressed ones.
func TestMessagesBeforeProofAreSmall(t *testing.T) {
	body, err := json.Marshal(string(bytes.Repeat([]byte("x"), maxHandshakeBytes)))
	if err != nil {
		t.Fatal(err)
	}
	compressed, err := encodeFrame(body)
	if err != nil {
		t.Fatal(err)
	}
	plain := append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	for name, frame := range map[string][]byte{"plain": plain, "compressed": compressed} {
		for trusted, want := range map[bool]error{false: errMessageTooLarge, true: nil} {
			c := codec{limits: newMessageLimits(nil, func() bool { return trusted })}
			var decoded string
			if err := c.ReadObject(bufio.NewReader(bytes.NewReader(frame)), &decoded); !errors.Is(err, want) {
				t.Errorf("%s message, authenticated %v: %v, want %v", name, trusted, err, want)
			}
		}
	}
}

// budgetMeter has room for a number of bytes.
type budgetMeter struct {
	room, charged int64
	busy          bool
}

func (m *budgetMeter) SetBusy(busy bool) bool {
	m.busy = busy
	if !busy {
		m.charged = 0
	}
	return true
}

func (m *budgetMeter) Charge(n int64) bool {
	if m.charged+n > m.room {
		return false
	}
	m.charged += n
	return true
}

func (m *budgetMeter) Refund(n int64) { m.charged -= n }

// Guards against charges of control messages that stay behind, or that are released while
// another call of the connection is in progress.
func TestControlMessagesAreCharged(t *testing.T) {
	m := &budgetMeter{room: 100}
	l := newMessageLimits(m, func() bool { return true })
	for _, n := range []int64{60, 30} {
		if err := l.charge(n); err != nil || !l.begin() {
			t.Fatalf("message of %d bytes: %v", n, err)
		}
	}
	if err := l.charge(11); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("message beyond the budget: %v", err)
	}
	l.end(60)
	if m.charged != 30 || !m.busy {
		t.Errorf("%d bytes are charged during the second call, busy %v", m.charged, m.busy)
	}
	l.end(30)
	if m.charged != 0 || m.busy {
		t.Errorf("%d bytes are charged after the last call, busy %v", m.charged, m.busy)
	}
}
