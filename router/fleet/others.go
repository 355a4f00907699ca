package fleet

import (
	"slices"
	"time"
)

// HasOther reports whether there is a host of the service that accepts requests other than h
// and those in exclude, and for whose member data allowed returns true. A nil allowed stands
// for all hosts.
func (d *Directory) HasOther(now time.Time, service string, h *Host, exclude []*Host, allowed func(Member) bool) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, o := range d.byService[service] {
		if o == h || slices.Contains(exclude, o) {
			continue
		}
		m := o.Member()
		if (allowed == nil || allowed(m)) && d.current(now, m).State == Ready && !d.evacuated(m.Zone) {
			return true
		}
	}
	return false
}
