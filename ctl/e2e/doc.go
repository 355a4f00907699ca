// Package e2e contains end-to-end tests. They build the binaries and run routers,
// upstreams and the stand-ins of the platform services as separate processes on
// loopback addresses.
package e2e
