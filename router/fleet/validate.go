package fleet

import (
	"fmt"
	"net"
	"slices"
	"strconv"
)

// MaxSlots is the highest number of slots of an upstream.
const MaxSlots = 1 << 20

// validate returns an error if the member data cannot be that of an upstream: the row is
// then that of another writer.
func (m Member) validate() error {
	if m.Host == "" || m.Service == "" || m.Instance == "" {
		return fmt.Errorf("member: host, service and instance are required")
	}
	if err := ValidateAddress(m.Address); err != nil {
		return fmt.Errorf("member: %w", err)
	}
	if m.Slots < 0 || m.Slots > MaxSlots || m.Started < 0 {
		return fmt.Errorf("member: %d slots, started at %d", m.Slots, m.Started)
	}
	if !slices.Contains([]State{Ready, Draining, Stopping}, m.State) {
		return fmt.Errorf("member: unknown state %.40q", m.State)
	}
	return nil
}

// ValidateAddress returns an error if the address is not that of a host with a port.
func ValidateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("address %.80q: %w", address, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("address %.80q: want a host and a port from 1 to 65535", address)
	}
	return nil
}
