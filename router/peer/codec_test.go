package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"strings"
	"testing"
)

func roundTrip(text string) (string, int, error) {
	var stream bytes.Buffer
	if err := (codec{}).WriteObject(&stream, text); err != nil {
		return "", 0, err
	}
	size := stream.Len()
	var got string
	err := codec{}.ReadObject(bufio.NewReader(&stream), &got)
	return got, size, err
}

// Guards against messages that change when they are compressed.
func TestMessagesOfAnySizeKeepTheirContent(t *testing.T) {
	for _, n := range []int{0, 1, compressThreshold - 2, compressThreshold - 1, 100_000} {
		text := strings.Repeat("a", n)
		got, size, err := roundTrip(text)
		if err != nil || got != text {
			t.Errorf("%d bytes: got %d bytes, %v", n, len(got), err)
		}
		if n > compressThreshold && size > n/10 {
			t.Errorf("%d equal bytes took %d", n, size)
		}
	}
}

// Guards against a small message that takes a large amount of memory when
// decompressed, and against one that cannot be decompressed.
func TestHostileCompressedMessagesAreRefused(t *testing.T) {
	frame, err := encodeFrame(bytes.Repeat([]byte(" "), maxMessageBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	var v any
	err = codec{}.ReadObject(bufio.NewReader(bytes.NewReader(frame)), &v)
	if !errors.Is(err, errMessageTooLarge) {
		t.Errorf("got %v", err)
	}
	malformed := binary.BigEndian.AppendUint32(nil, compressedFlag|3)
	malformed = append(malformed, 0xff, 0xff, 0xff)
	if err := (codec{}).ReadObject(bufio.NewReader(bytes.NewReader(malformed)), &v); err == nil {
		t.Error("malformed body accepted")
	}
}
