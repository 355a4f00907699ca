package table

import (
	"fmt"
	"unicode/utf8"
)

// Limits of the service. Memory and Client both enforce them, so that a caller
// gets the same error from either.
const (
	MaxKeyBytes   = 512
	MaxIDBytes    = 128
	MaxValueBytes = 256 << 10
	// MaxTxnRows limits the number of conditions of a transaction, and
	// separately the number of its writes.
	MaxTxnRows = 64
	// MaxTxnBytes limits the total size of the values that a transaction writes.
	MaxTxnBytes = 2 << 20
	// MaxScanRows limits the rows of one scan. The largest response is thus
	// 70 MB: 200 values of 256 KiB in base64.
	MaxScanRows = 200
)

// CheckKey returns ErrInvalid unless key is a valid row key: 1 to MaxKeyBytes
// bytes of UTF-8 without control characters, and neither "." nor "..". JSON
// would alter other bytes, and the two dot names would alter the request path.
func CheckKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return fmt.Errorf("%w: key has %d bytes: want 1 to %d", ErrInvalid, len(key), MaxKeyBytes)
	}
	if key == "." || key == ".." {
		return fmt.Errorf("%w: key %q", ErrInvalid, key)
	}
	return checkText("key", key)
}

// CheckScan returns ErrInvalid unless the arguments of a scan are within the
// limits.
func CheckScan(prefix, after string, limit int) error {
	if limit < 1 || limit > MaxScanRows {
		return fmt.Errorf("%w: limit %d: want 1 to %d", ErrInvalid, limit, MaxScanRows)
	}
	if len(prefix) > MaxKeyBytes || len(after) > MaxKeyBytes {
		return fmt.Errorf("%w: prefix or after is longer than %d bytes", ErrInvalid, MaxKeyBytes)
	}
	if err := checkText("prefix", prefix); err != nil {
		return err
	}
	return checkText("after", after)
}

// Check returns ErrInvalid unless the transaction is well formed and within
// the limits.
func (t Txn) Check() error {
	if t.ID == "" || len(t.ID) > MaxIDBytes {
		return fmt.Errorf("%w: transaction id has %d bytes: want 1 to %d", ErrInvalid, len(t.ID), MaxIDBytes)
	}
	if err := checkText("transaction id", t.ID); err != nil {
		return err
	}
	if len(t.Writes) == 0 || len(t.Writes) > MaxTxnRows {
		return fmt.Errorf("%w: %d writes: want 1 to %d", ErrInvalid, len(t.Writes), MaxTxnRows)
	}
	if len(t.Conditions) > MaxTxnRows {
		return fmt.Errorf("%w: %d conditions: want at most %d", ErrInvalid, len(t.Conditions), MaxTxnRows)
	}
	if err := checkConditions(t.Conditions); err != nil {
		return err
	}
	return checkWrites(t.Writes)
}

func checkConditions(conditions []Condition) error {
	seen := make(map[string]bool, len(conditions))
	for _, c := range conditions {
		if err := CheckKey(c.Key); err != nil {
			return err
		}
		if c.Version < 0 {
			return fmt.Errorf("%w: condition on %q: version %d", ErrInvalid, c.Key, c.Version)
		}
		if seen[c.Key] {
			return fmt.Errorf("%w: two conditions on %q", ErrInvalid, c.Key)
		}
		seen[c.Key] = true
	}
	return nil
}

func checkWrites(writes []Write) error {
	seen := make(map[string]bool, len(writes))
	total := 0
	for _, w := range writes {
		if err := CheckKey(w.Key); err != nil {
			return err
		}
		if w.Delete && len(w.Value) > 0 {
			return fmt.Errorf("%w: write to %q both deletes the row and has a value", ErrInvalid, w.Key)
		}
		if len(w.Value) > MaxValueBytes {
			return fmt.Errorf("%w: value of %q has %d bytes: want at most %d", ErrInvalid, w.Key, len(w.Value), MaxValueBytes)
		}
		if seen[w.Key] {
			return fmt.Errorf("%w: two writes to %q", ErrInvalid, w.Key)
		}
		seen[w.Key] = true
		total += len(w.Value)
	}
	if total > MaxTxnBytes {
		return fmt.Errorf("%w: the values have %d bytes in total: want at most %d", ErrInvalid, total, MaxTxnBytes)
	}
	return nil
}

// checkText returns ErrInvalid unless s is UTF-8 without control characters.
// what names the argument in the error.
func checkText(what, s string) error {
	if !utf8.ValidString(s) {
		return fmt.Errorf("%w: %s %q is not UTF-8", ErrInvalid, what, s)
	}
	for _, r := range s {
		if r < ' ' || r == 0x7f {
			return fmt.Errorf("%w: %s %q has a control character", ErrInvalid, what, s)
		}
	}
	return nil
}
