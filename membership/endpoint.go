package membership

import (
	"time"

	"wisteriacroft/engine"
)

// An Endpoint is one endpoint as an entry sees it.
type Endpoint struct {
	address       string
	attendant     string
	dataFolder    bool
	failureDomain string
	heard         time.Time
	id            string
	incarnation   uint64
	running       int
	service       string
	state         State
	version       engine.Version
	waiting       int
}

// same reports whether nothing but the time of the last beat differs.
func (en Endpoint) same(other Endpoint) bool {
	other.heard = en.heard
	return en == other
}

// Address returns the IP:port of the endpoint's attendant.
func (en Endpoint) Address() string { return en.address }

// Attendant returns the instance of the endpoint's attendant.
func (en Endpoint) Attendant() string { return en.attendant }

// DataFolder reports whether the endpoint's attendant takes payloads.
func (en Endpoint) DataFolder() bool { return en.dataFolder }

// FailureDomain returns the failure domain of the endpoint.
func (en Endpoint) FailureDomain() string { return en.failureDomain }

// LastSeen returns when this entry last got news of the attendant.
func (en Endpoint) LastSeen() time.Time { return en.heard }

// ID returns the endpoint's id, which is unique among all services.
func (en Endpoint) ID() string { return en.id }

// Incarnation returns the incarnation of the attendant.
func (en Endpoint) Incarnation() uint64 { return en.incarnation }

// Running returns about how many requests run at the endpoint.
func (en Endpoint) Running() int { return en.running }

// Service returns the endpoint's service.
func (en Endpoint) Service() string { return en.service }

// State returns what the endpoint may be given.
func (en Endpoint) State() State { return en.state }

// Version returns the weight version that the engine last reported.
func (en Endpoint) Version() engine.Version { return en.version }

// Waiting returns about how many requests wait at the attendant.
func (en Endpoint) Waiting() int { return en.waiting }
