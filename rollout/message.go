package rollout

import "wisteriacroft/engine"

// Methods of the calls between the owner of a rollout and attendants.
const (
	OrderMethod  = "order.order"
	ProbeMethod  = "order.probe"
	SettleMethod = "order.settle" // to the owner
)

// A Request is an order on its way to an attendant.
type Request struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Incarnation uint64 // of the attendant that it is meant for
	Notify      string // address of the owner, to be told when it is settled
	Order       engine.Order
	Token       uint64 // the attendant's latest, or 0
}

// A Response says what became of a Request.
type Response struct {
	_       struct{} `cbor:",toarray"`
	Status  Status
	Verdict Verdict
}

// A ProbeRequest asks for an endpoint's status, and tells the epoch of whoever
// asks: earlier owners are fenced off from then on.
type ProbeRequest struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Epoch    uint64
}

// A Status is what an attendant knows of an engine.
type Status struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Epoch       uint64 // highest seen
	Incarnation uint64 // of the attendant
	Ordered     engine.Version
	Phase       Phase
	Sequence    uint64 // grows with each change, within an incarnation
	Token       uint64 // to be shown by the next order; 0 tells nothing
	Version     engine.Version
}
