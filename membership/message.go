package membership

import "wisteriacroft/engine"

// RPC methods of entries.
const (
	ExchangeMethod = "roster.exchange"
	ReportMethod   = "roster.report"
	SyncMethod     = "roster.sync"
)

// A Descriptor holds the properties of an attendant that don't change while it runs.
type Descriptor struct {
	_             struct{} `cbor:",toarray"`
	Address       string   // IP:port
	Endpoints     []EndpointDescriptor
	FailureDomain string
	DataFolder    bool // accepts payloads
}

// An EndpointDescriptor is an endpoint's part of a Descriptor.
type EndpointDescriptor struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Service string
}

// A StateUpdate is the state of an attendant and its endpoints. It replaces older states as a
// whole, and may arrive more than once or out of order.
type StateUpdate struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	Sequence    uint64 // counts changes except those of load
	Beat        uint64 // counts reports
	Doubt       Suspicion
	Leaving     bool             // permanent for the incarnation
	Endpoints   []EndpointUpdate // in the order of the descriptor
	Card        *Descriptor      // nil if the receiver should have it already
}

// An EndpointUpdate is an endpoint's part of a StateUpdate.
type EndpointUpdate struct {
	_       struct{} `cbor:",toarray"`
	State   State
	Version engine.Version // as reported by the engine
	Running int
	Waiting int
}

// A ReportRequest carries an attendant's state to an entry.
type ReportRequest struct {
	_    struct{} `cbor:",toarray"`
	News StateUpdate
}

// A ReportResponse is an entry's response to an attendant's report.
type ReportResponse struct {
	_            struct{} `cbor:",toarray"`
	EntryLeaving bool     // the attendant should report to another entry
	Leaving      bool     // the attendant's instance is leaving, such as by the platform's list
	WantCard     bool     // the descriptor is missing
}

// An ExchangeRequest carries an entry's updates to another entry, with the digest of its whole
// table.
type ExchangeRequest struct {
	_       struct{} `cbor:",toarray"`
	Digest  Digest
	Leaving bool // the sender is leaving
	News    []StateUpdate
}

// An ExchangeResponse acknowledges updates, and reports what differs after merging them.
type ExchangeResponse struct {
	_             struct{}       `cbor:",toarray"`
	Domains       []DomainDigest // set if the digests differ and neither has changed since the last exchange
	Leaving       bool           // the responding entry is leaving
	LeavingDiffer bool           // the digests of leaving attendants differ
	Missing       []string       // attendants whose descriptor is missing
}

// A SyncRequest summarizes an entry's attendants of some failure domains, or all that are
// leaving.
type SyncRequest struct {
	_       struct{} `cbor:",toarray"`
	Domains []string
	Known   []KnownState
	Leaving bool // the scope is the leaving attendants of all failure domains
}

// A KnownState summarizes an attendant's state at an entry.
type KnownState struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	Sequence    uint64
	Doubt       Suspicion
	Leaving     bool
}

// A SyncResponse holds the states that the requester lacks, and the attendants whose states the
// responder wants.
type SyncResponse struct {
	_      struct{} `cbor:",toarray"`
	News   []StateUpdate
	Wanted []string
}
