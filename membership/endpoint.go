package membership

import (
	"time"

	"wisteriacroft/engine"
)

// An Endpoint is an entry's view of one endpoint.
type Endpoint struct {
	address       string
	attendant     string
	dataFolder    bool
	failureDomain string
	lastSeen      time.Time
	id            string
	incarnation   uint64
	running       int
	service       string
	state         State
	version       engine.Version
	waiting       int
}

// same reports whether the endpoints are equal except for the time of the last heartbeat.
func (en Endpoint) same(other Endpoint) bool {
	other.lastSeen = en.lastSeen
	return en == other
}

// Address returns the IP:port of the endpoint's attendant.
func (en Endpoint) Address() string { return en.address }

// Attendant returns the instance ID of the endpoint's attendant.
func (en Endpoint) Attendant() string { return en.attendant }

// DataFolder reports whether the endpoint's attendant accepts payloads.
func (en Endpoint) DataFolder() bool { return en.dataFolder }

// FailureDomain returns the failure domain of the endpoint.
func (en Endpoint) FailureDomain() string { return en.failureDomain }

// LastSeen returns when this entry last got a newer heartbeat of the attendant.
func (en Endpoint) LastSeen() time.Time { return en.lastSeen }

// ID returns the endpoint's ID, which is unique among all services.
func (en Endpoint) ID() string { return en.id }

// Incarnation returns the incarnation of the attendant.
func (en Endpoint) Incarnation() uint64 { return en.incarnation }

// Running returns the approximate number of requests running at the endpoint.
func (en Endpoint) Running() int { return en.running }

// Service returns the endpoint's service.
func (en Endpoint) Service() string { return en.service }

// State returns which work may be sent to the endpoint.
func (en Endpoint) State() State { return en.state }

// Version returns the version of the weights that the engine last reported.
func (en Endpoint) Version() engine.Version { return en.version }

// Waiting returns the approximate number of requests queued at the attendant.
func (en Endpoint) Waiting() int { return en.waiting }
