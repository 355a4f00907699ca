package fleet

import "time"

// HasOther reports whether Choose could choose a host of the service other than h and those in
// exclude, for whose member data allowed returns true. A nil allowed stands for all hosts.
func (d *Directory) HasOther(now time.Time, service string, h *Host, exclude []*Host, allowed func(Member) bool) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, o := range d.byService[service] {
		if o == h {
			continue
		}
		if v := o.view(now); d.exclusion(now, &v, exclude, allowed) == Eligible {
			return true
		}
	}
	return false
}
