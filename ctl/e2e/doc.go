// Package e2e holds tests that build the binaries and run the whole system in
// separate processes on loopback: stand-ins of the platform, upstreams and
// their routers.
package e2e
