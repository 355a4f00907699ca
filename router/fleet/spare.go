package fleet

import "time"

// Spare returns the number of hosts of the service that may be chosen, respond and do not stop,
// among those for whose member data allowed returns true, and the mean of the utilization
// that they have reported lately. A nil allowed stands for all hosts. The slots of a stopping
// host are lost within seconds, and its work goes to the other hosts.
func (d *Directory) Spare(now time.Time, service string, allowed func(Member) bool) (hosts int, utilization float64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, h := range d.byService[service] {
		v := h.view(now)
		if d.exclusion(now, &v, nil, allowed) != Eligible || v.member.State == Stopping || v.unavailable {
			continue
		}
		hosts++
		utilization += (h.MeanUtilization() - utilization) / float64(hosts)
	}
	return hosts, utilization
}

// Overtaken records that a request ended because another host responded first, after it had
// run for the time. Without it, a slow host whose requests are always overtaken would never
// count as slow. RequestCancelled must be called as well.
func (h *Host) Overtaken(ran, objective time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if objective <= 0 {
		return
	}
	// The request would have taken longer still, so that the time may only raise the mean.
	if sample := float64(ran) / float64(objective) / h.load.paceFactor(); sample > h.slowness {
		h.slowness += sampleWeight * (sample - h.slowness)
	}
}
