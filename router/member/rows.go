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

// Buckets is the number of parts into which rows are divided for comparison
// between two routers.
const Buckets = 64

// tombstoneLife is how long a deleted row is remembered. It must exceed the
// longest period of a scan, or routers that have not seen the deletion would
// bring the row back.
const tombstoneLife = 30 * time.Minute

// Version names one version of a row.
type Version struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	// Sum is a checksum of the value. A holder touches its rows without a
	// change of their values; routers do not send each other versions that
	// differ in nothing else.
	Sum uint32 `json:"sum"`
}

func versionOf(row table.Row) Version {
	return Version{Key: row.Key, Version: row.Version, Sum: sumOf(row)}
}

func sumOf(row table.Row) uint32 {
	return uint32(xxhash.Sum64(row.Value))
}

// Digests has one value per bucket.
type Digests [Buckets]uint64

func (d Digests) bytes() []byte {
	packed := make([]byte, 0, 8*Buckets)
	for _, v := range d {
		packed = binary.BigEndian.AppendUint64(packed, v)
	}
	return packed
}

// root returns one value for all buckets.
func (d Digests) root() uint64 {
	return xxhash.Sum64(d.bytes())
}

// MarshalText encodes the values in base64, which takes half of their size as
// JSON numbers.
func (d Digests) MarshalText() ([]byte, error) {
	return base64.StdEncoding.AppendEncode(nil, d.bytes()), nil
}

// UnmarshalText decodes what MarshalText made.
func (d *Digests) UnmarshalText(text []byte) error {
	packed, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil {
		return fmt.Errorf("digests: %w", err)
	}
	if len(packed) != 8*Buckets {
		return fmt.Errorf("digests of %d bytes: want %d", len(packed), 8*Buckets)
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint64(packed[8*i:])
	}
	return nil
}

// Rows is the set of rows that a router knows. It is safe for concurrent use.
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

// digestOf returns a value that changes with the row's value. Digests of a
// bucket are combined by XOR, so that one row can be replaced without reading
// the others.
func digestOf(row table.Row) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(row.Key)
	_, _ = d.Write(row.Value)
	return d.Sum64()
}

// Merge takes in rows and returns those that were newer than the known ones.
func (r *Rows) Merge(now time.Time, rows ...table.Row) []table.Row {
	newer, _ := r.take(now, rows)
	return newer
}

// take is Merge. It also returns the versions of the newer rows whose values
// differ from the known ones.
func (r *Rows) take(now time.Time, rows []table.Row) (newer []table.Row, changed []Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if row.Version <= r.versionOf(now, row.Key) {
			continue
		}
		v := versionOf(row)
		if !r.same(v) {
			changed = append(changed, v)
		}
		r.replace(row)
		newer = append(newer, row)
	}
	return newer, changed
}

// same reports whether the known row has the value that the version names.
func (r *Rows) same(v Version) bool {
	row, ok := r.rows[v.Key]
	return ok && sumOf(row) == v.Sum
}

// wants reports whether the version is newer than the known row and has
// another value.
func (r *Rows) wants(now time.Time, v Version) bool {
	return v.Version > r.versionOf(now, v.Key) && !r.same(v)
}

// versionOf returns the newest version known for a key, deleted rows included.
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

func (r *Rows) replace(row table.Row) {
	b := bucketOf(row.Key)
	if old, ok := r.rows[row.Key]; ok {
		r.digests[b] ^= digestOf(old)
	}
	delete(r.tombstones, row.Key)
	r.rows[row.Key] = row
	r.digests[b] ^= digestOf(row)
}

// Reconcile compares the known rows under the prefix with a full scan that
// started when the set held the versions in before. It drops rows that the
// scan lacks and returns the dropped and the newer rows.
func (r *Rows) Reconcile(now time.Time, prefix string, before, scan []table.Row) (dropped, newer []table.Row) {
	present := make(map[string]bool, len(scan))
	for _, row := range scan {
		present[row.Key] = true
	}
	r.mu.Lock()
	for _, row := range before {
		have, ok := r.rows[row.Key]
		// A row that changed during the scan may have been written after it.
		if !ok || present[row.Key] || have.Version != row.Version || !strings.HasPrefix(row.Key, prefix) {
			continue
		}
		r.remove(now, have)
		dropped = append(dropped, have)
	}
	r.mu.Unlock()
	return dropped, r.Merge(now, scan...)
}

func (r *Rows) remove(now time.Time, row table.Row) {
	r.digests[bucketOf(row.Key)] ^= digestOf(row)
	delete(r.rows, row.Key)
	for key, t := range r.tombstones {
		if now.After(t.expires) {
			delete(r.tombstones, key)
		}
	}
	r.tombstones[row.Key] = tombstone{version: lastVersion(row), expires: now.Add(tombstoneLife)}
}

// lastVersion returns the highest version that the deleted row can have had. A
// peer may know a later touch of a group's row. Ids of groups are not used
// again, but a host may write its member row again.
func lastVersion(row table.Row) int64 {
	if strings.HasPrefix(row.Key, ownership.GroupPrefix) {
		return math.MaxInt64
	}
	return row.Version
}

// Digests returns one value per bucket. Two routers with equal values hold the
// same values of all rows, but for hash collisions.
func (r *Rows) Digests() Digests {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digests
}

// Versions returns the versions in the buckets whose digest differs.
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

// Compare sorts the peer's versions into keys that the peer has newer and rows
// that this router has newer, each with another value. Rows of the compared buckets that the peer lacks
// are newer here.
func (r *Rows) Compare(now time.Time, peer []Version, digests Digests) (want []string, offer []table.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peerHas := make(map[string]Version, len(peer))
	for _, v := range peer {
		peerHas[v.Key] = v
		if r.wants(now, v) {
			want = append(want, v.Key)
		}
	}
	for key, row := range r.rows {
		b := bucketOf(key)
		if digests[b] == r.digests[b] {
			continue
		}
		v, ok := peerHas[key]
		if !ok || row.Version > v.Version && !r.same(v) {
			offer = append(offer, row)
		}
	}
	return want, offer
}

// NewerKeys returns the keys among the versions that are newer than the known
// rows and have another value.
func (r *Rows) NewerKeys(now time.Time, versions []Version) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var want []string
	for _, v := range versions {
		if r.wants(now, v) {
			want = append(want, v.Key)
		}
	}
	return want
}

// Get returns the rows of the keys that are known.
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
