package member

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockglade.dev/router/ownership"
	"burdockglade.dev/stores/table"
)

// Buckets is the number of buckets into which rows are divided, by a hash of
// their keys, for comparison between two routers.
const Buckets = 64

// tombstoneTTL is how long the tombstone of a deleted row is retained. It must
// exceed the longest scan interval, or routers that have not seen the deletion
// would reintroduce the row.
const tombstoneTTL = 30 * time.Minute

// Version identifies one version of a row.
type Version struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	// Sum is a checksum of the value. Holders renew their rows without a change
	// of the value; routers do not send each other versions with equal values.
	Sum uint32 `json:"sum"`
}

func versionOf(row table.Row) Version {
	return Version{Key: row.Key, Version: row.Version, Sum: sumOf(row)}
}

func sumOf(row table.Row) uint32 {
	return uint32(xxhash.Sum64(row.Value))
}

// Digests holds the digest of each bucket: the XOR of the digests of its rows.
type Digests [Buckets]uint64

func (d Digests) bytes() []byte {
	packed := make([]byte, 0, 8*Buckets)
	for _, v := range d {
		packed = binary.BigEndian.AppendUint64(packed, v)
	}
	return packed
}

// root returns a hash of the digests of all buckets.
func (d Digests) root() uint64 {
	return xxhash.Sum64(d.bytes())
}

// MarshalText encodes the digests in base64, which takes half the size of JSON
// numbers.
func (d Digests) MarshalText() ([]byte, error) {
	return base64.StdEncoding.AppendEncode(nil, d.bytes()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digests) UnmarshalText(text []byte) error {
	packed, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil {
		return fmt.Errorf("decoding digests: %w", err)
	}
	if len(packed) != 8*Buckets {
		return fmt.Errorf("decoding digests: got %d bytes, want %d", len(packed), 8*Buckets)
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint64(packed[8*i:])
	}
	return nil
}

// Rows is the set of rows known to a router, with tombstones of deleted ones. It
// is safe for concurrent use.
type Rows struct {
	mu         sync.Mutex
	rows       map[string]table.Row
	tombstones map[string]tombstone
	digests    Digests
}

type tombstone struct {
	version int64
	expires time.Time
}

// NewRows returns an empty set.
func NewRows() *Rows {
	return &Rows{rows: map[string]table.Row{}, tombstones: map[string]tombstone{}}
}

func bucketOf(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

// digestOf returns a hash of the row's key and value; the version is not part of
// it. The digests of a bucket's rows are combined by XOR, so that one row can be
// replaced without reading the others.
func digestOf(row table.Row) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(row.Key)
	_, _ = d.Write(row.Value)
	return d.Sum64()
}

// Merge stores the rows that are newer than the known ones and returns them.
func (r *Rows) Merge(now time.Time, rows ...table.Row) []table.Row {
	newer, _ := r.merge(now, rows)
	return newer
}

// merge implements Merge. It also returns the versions of those newer rows whose
// values differ from the known ones.
func (r *Rows) merge(now time.Time, rows []table.Row) (newer []table.Row, changed []Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if row.Version <= r.versionOf(now, row.Key) {
			continue
		}
		v := versionOf(row)
		if !r.hasValue(v) {
			changed = append(changed, v)
		}
		r.put(row)
		newer = append(newer, row)
	}
	return newer, changed
}

// hasValue reports whether the known row has the same value as the version.
func (r *Rows) hasValue(v Version) bool {
	row, ok := r.rows[v.Key]
	return ok && sumOf(row) == v.Sum
}

// isNewerChange reports whether the version is newer than the known row and has
// a different value.
func (r *Rows) isNewerChange(now time.Time, v Version) bool {
	return v.Version > r.versionOf(now, v.Key) && !r.hasValue(v)
}

// versionOf returns the newest known version of a key, including tombstones, or 0.
func (r *Rows) versionOf(now time.Time, key string) int64 {
	if row, ok := r.rows[key]; ok {
		return row.Version
	}
	t, ok := r.tombstones[key]
	if !ok || now.After(t.expires) {
		return 0
	}
	return t.version
}

func (r *Rows) put(row table.Row) {
	b := bucketOf(row.Key)
	if old, ok := r.rows[row.Key]; ok {
		r.digests[b] ^= digestOf(old)
	}
	delete(r.tombstones, row.Key)
	r.rows[row.Key] = row
	r.digests[b] ^= digestOf(row)
}

// Reconcile merges a full scan of the prefix. before holds the rows known when the
// scan started; those that the scan lacks were deleted, unless they have changed
// since. It returns the dropped rows and the rows that the scan has newer.
func (r *Rows) Reconcile(now time.Time, prefix string, before, scan []table.Row) (dropped, newer []table.Row) {
	present := make(map[string]bool, len(scan))
	for _, row := range scan {
		present[row.Key] = true
	}
	r.mu.Lock()
	for _, row := range before {
		current, ok := r.rows[row.Key]
		// A row that changed during the scan may have been written after it.
		if !ok || present[row.Key] || current.Version != row.Version || !strings.HasPrefix(row.Key, prefix) {
			continue
		}
		r.remove(now, current)
		dropped = append(dropped, current)
	}
	r.mu.Unlock()
	return dropped, r.Merge(now, scan...)
}

// remove deletes a row, leaves a tombstone, and removes expired tombstones.
func (r *Rows) remove(now time.Time, row table.Row) {
	r.digests[bucketOf(row.Key)] ^= digestOf(row)
	delete(r.rows, row.Key)
	for key, t := range r.tombstones {
		if now.After(t.expires) {
			delete(r.tombstones, key)
		}
	}
	r.tombstones[row.Key] = tombstone{version: lastVersion(row), expires: now.Add(tombstoneTTL)}
}

// lastVersion returns the highest version that a deleted row can have had. A
// peer may know a later renewal of a group's row. Group ids are never reused,
// but a host may write its member row again.
func lastVersion(row table.Row) int64 {
	if strings.HasPrefix(row.Key, ownership.GroupPrefix) {
		return math.MaxInt64
	}
	return row.Version
}

// Digests returns the digests of all buckets. Two routers with equal digests hold
// the same keys and values, except for hash collisions.
func (r *Rows) Digests() Digests {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digests
}

// Versions returns the versions of the rows in the buckets whose digest differs
// from the given one.
func (r *Rows) Versions(digests Digests) []Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	var versions []Version
	for key, row := range r.rows {
		b := bucketOf(key)
		if digests[b] != r.digests[b] {
			versions = append(versions, versionOf(row))
		}
	}
	return versions
}

// Compare compares the known rows with a peer's versions. want holds the keys of
// which the peer has a newer version with a different value. offer holds the rows
// that are newer here with a different value, and the rows that the peer lacks in
// the buckets whose digests differ.
func (r *Rows) Compare(now time.Time, peer []Version, digests Digests) (want []string, offer []table.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peerHas := make(map[string]Version, len(peer))
	for _, v := range peer {
		peerHas[v.Key] = v
		if r.isNewerChange(now, v) {
			want = append(want, v.Key)
		}
	}
	for key, row := range r.rows {
		b := bucketOf(key)
		if digests[b] == r.digests[b] {
			continue
		}
		v, ok := peerHas[key]
		if !ok || row.Version > v.Version && !r.hasValue(v) {
			offer = append(offer, row)
		}
	}
	return want, offer
}

// NewerKeys returns the keys of the versions that are newer than the known rows
// and have a different value.
func (r *Rows) NewerKeys(now time.Time, versions []Version) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var want []string
	for _, v := range versions {
		if r.isNewerChange(now, v) {
			want = append(want, v.Key)
		}
	}
	return want
}

// Get returns the known rows among those with the given keys.
func (r *Rows) Get(keys []string) []table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]table.Row, 0, len(keys))
	for _, key := range keys {
		if row, ok := r.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// All returns the rows under the prefix, sorted by key.
func (r *Rows) All(prefix string) []table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []table.Row
	for key, row := range r.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}
