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
