package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// keyIndex holds the newest known key map of each service.
type keyIndex struct {
	mu sync.Mutex
	// services holds the newest maps that have ranges.
	services map[string]*indexedMap
	// newestMaps holds the newest maps, with or without ranges.
	newestMaps map[string]indexedMap
	// leftovers holds the rows of maps of earlier eras that are in the store.
	leftovers map[string][]leftoverMap
	// changed is called after each change.
	changed func()
}

// indexedMap is a key map with its row version and the time at which it came into force here.
// changed is closed when a newer map replaces it.
type indexedMap struct {
	since   time.Time
	version int64
	keys    *keyrange.Map
	changed chan struct{}
}

// leftoverMap is the row of a map of an earlier era.
type leftoverMap struct {
	key        rowstore.Key
	era        int64
	generation uint64
}

func newKeyIndex() *keyIndex {
	return &keyIndex{services: map[string]*indexedMap{}, newestMaps: map[string]indexedMap{}, leftovers: map[string][]leftoverMap{}, changed: func() {}}
}

// onChange sets the function that is called after each change. It must be called before
// the first put.
func (x *keyIndex) onChange(changed func()) {
	x.changed = changed
}

// keyHolder is the host that holds a key, with the version of the map that names it. Host
// is empty if the key has no holder.
type keyHolder struct {
	Host    string
	Version int64
}

// put stores a map if it is newer than the known one. A map without ranges, which begins
// the recovery of the keys in a new era, does not take the place of one with ranges.
func (x *keyIndex) put(service string, version int64, m *keyrange.Map) {
	x.mu.Lock()
	if version > x.newestMaps[service].version {
		x.newestMaps[service] = indexedMap{version: version, keys: m}
	}
	if len(m.Ranges) == 0 {
		x.mu.Unlock()
		return
	}
	old := x.services[service]
	if old != nil && old.version >= version {
		x.mu.Unlock()
		return
	}
	x.services[service] = &indexedMap{since: time.Now(), version: version, keys: m, changed: make(chan struct{})}
	if old != nil {
		close(old.changed)
	}
	x.mu.Unlock()
	x.changed()
}

// get returns the newest known map of a service, or nil and version 0.
func (x *keyIndex) get(service string) (*keyrange.Map, int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if im := x.services[service]; im != nil {
		return im.keys, im.version
	}
	return nil, 0
}

// newest returns the newest known map of a service, with or without ranges, or nil and
// version 0.
func (x *keyIndex) newest(service string) (*keyrange.Map, int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	im := x.newestMaps[service]
	return im.keys, im.version
}

// putLeftover records the row of a map of an earlier era.
func (x *keyIndex) putLeftover(r rowstore.Row, era int64, generation uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	rows := slices.DeleteFunc(x.leftovers[r.Part], func(l leftoverMap) bool { return l.key == r.Key })
	x.leftovers[r.Part] = append(rows, leftoverMap{key: r.Key, era: era, generation: generation})
}

// leftoversBefore returns the rows of maps of eras before the given one.
func (x *keyIndex) leftoversBefore(service string, era int64) []leftoverMap {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(x.leftovers[service]), func(l leftoverMap) bool { return l.era >= era })
}

func (x *keyIndex) current(service string) *indexedMap {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.services[service]
}

// lookupHolder returns the host that holds a key. While the key has no holder, or one of
// the hosts in refusedBy, it waits for a map that gives the key to another holder or with
// another generation, at most for wait. Changes of other ranges do not end the wait: many
// follow each other while a host hands over its keys.
func (x *keyIndex) lookupHolder(ctx context.Context, service string, key uint16, wait time.Duration, refusedBy []string) keyHolder {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	var refused *keyrange.Range
	for {
		im := x.current(service)
		if im == nil {
			return keyHolder{}
		}
		found := keyHolder{Version: im.version}
		if r := im.keys.Find(key); r != nil && r.Held() {
			found.Host = r.Holder.Host
			if refused == nil && slices.Contains(refusedBy, found.Host) {
				refused = r
			}
			if refused == nil || r.Holder != refused.Holder || r.Generation != refused.Generation {
				return found
			}
		}
		select {
		case <-im.changed:
		case <-timer.C:
			return found
		case <-ctx.Done():
			return found
		}
	}
}
