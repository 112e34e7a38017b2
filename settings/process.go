// Package settings reads the settings of a process, such as its addresses and failure
// domain, from one TOML file per instance.
package settings

import (
	"net/netip"
	"time"
)

// A Role is the function of a process.
type Role string

// The roles.
const (
	AttendantRole Role = "attendant"
	EntryRole     Role = "entry"
)

// A Process holds the settings that both roles share.
type Process struct {
	adminListen   netip.AddrPort
	advertise     netip.AddrPort
	dataFolder    string
	failureDomain string
	instance      string
	leaseTTL      time.Duration
	listen        netip.AddrPort
	log           Log
	platform      Platform
	region        string
	role          Role
	shutdownGrace time.Duration
	tickInterval  time.Duration
	trace         Trace
}

// AdminListen returns the address of the metrics and health pages.
func (pr Process) AdminListen() netip.AddrPort { return pr.adminListen }

// Advertise returns the address at which other processes reach this one.
func (pr Process) Advertise() netip.AddrPort { return pr.advertise }

// DataFolder returns the folder for bulk data, or "" if there is none.
func (pr Process) DataFolder() string { return pr.dataFolder }

// FailureDomain returns the failure domain in which the process runs.
func (pr Process) FailureDomain() string { return pr.failureDomain }

// Instance returns the instance's id.
func (pr Process) Instance() string { return pr.instance }

// LeaseTTL returns the time to live of the leases that the process acquires.
func (pr Process) LeaseTTL() time.Duration { return pr.leaseTTL }

// Listen returns the address for callers, trainers and other processes.
func (pr Process) Listen() netip.AddrPort { return pr.listen }

// Log returns the settings of the log.
func (pr Process) Log() Log { return pr.log }

// Platform returns the URLs of the platform's services.
func (pr Process) Platform() Platform { return pr.platform }

// Region returns the region in which the process runs.
func (pr Process) Region() string { return pr.region }

// Role returns the role of the process.
func (pr Process) Role() Role { return pr.role }

// ShutdownGrace returns how long a graceful shutdown may take.
func (pr Process) ShutdownGrace() time.Duration { return pr.shutdownGrace }

// TickInterval returns the interval between two ticks of the decision logic.
func (pr Process) TickInterval() time.Duration { return pr.tickInterval }

// Trace returns the settings of tracing.
func (pr Process) Trace() Trace { return pr.trace }
