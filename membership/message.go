package membership

import "wisteriacroft/engine"

// Methods of the calls between attendants and entries.
const (
	ExchangeMethod = "roster.exchange"
	ReportMethod   = "roster.report"
	SyncMethod     = "roster.sync"
)

// A Descriptor is what never changes while an attendant runs.
type Descriptor struct {
	_             struct{} `cbor:",toarray"`
	Address       string   // IP:port
	Endpoints     []EndpointDescriptor
	FailureDomain string
	DataFolder    bool // takes payloads
}

// An EndpointDescriptor is an endpoint's part of a Descriptor.
type EndpointDescriptor struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Service string
}

// A StateUpdate is the state of an attendant and its endpoints, as one unit: it is
// taken whole, replaces what is older, and may come twice or out of order.
type StateUpdate struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	Sequence    uint64 // counts changes, but not those of load
	Beat        uint64 // counts reports
	Doubt       Suspicion
	Leaving     bool             // never taken back for the incarnation
	Endpoints   []EndpointUpdate // in the order of the card
	Card        *Descriptor      // nil where the receiver is believed to have it
}

// An EndpointUpdate is an endpoint's part of a StateUpdate.
type EndpointUpdate struct {
	_       struct{} `cbor:",toarray"`
	State   State
	Version engine.Version // as the engine reported it
	Running int
	Waiting int
}

// A ReportRequest brings an attendant's news to an entry.
type ReportRequest struct {
	_    struct{} `cbor:",toarray"`
	News StateUpdate
}

// A ReportResponse tells an attendant what its entry knows of it.
type ReportResponse struct {
	_            struct{} `cbor:",toarray"`
	EntryLeaving bool     // report to another entry
	Leaving      bool     // the platform's list says that the attendant's instance leaves
	WantCard     bool     // send the card
}

// An ExchangeRequest brings an entry's news to another entry, with digests of
// all that it holds.
type ExchangeRequest struct {
	_       struct{} `cbor:",toarray"`
	Digest  Digest
	Leaving bool // the sender leaves
	News    []StateUpdate
}

// An ExchangeResponse acknowledges news, and says what differs after they were
// taken.
type ExchangeResponse struct {
	_             struct{}       `cbor:",toarray"`
	Domains       []DomainDigest // set if all differs, and neither side has changed since they last talked
	Leaving       bool           // the answering entry leaves
	LeavingDiffer bool           // one side knows of more that leave
	Missing       []string       // attendants whose card is wanted
}

// A SyncRequest names what an entry holds of some failure domains, or all that
// it knows to leave.
type SyncRequest struct {
	_       struct{} `cbor:",toarray"`
	Domains []string
	Known   []KnownState
	Leaving bool // about those that leave, of any failure domain
}

// A KnownState is what an entry holds of an attendant, in short.
type KnownState struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	Sequence    uint64
	Doubt       Suspicion
	Leaving     bool
}

// A SyncResponse brings what the asking entry lacks, and names what the
// answering one lacks.
type SyncResponse struct {
	_      struct{} `cbor:",toarray"`
	News   []StateUpdate
	Wanted []string
}
