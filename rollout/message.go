package rollout

import "wisteriacroft/engine"

// RPC methods of attendants and of rollout owners.
const (
	OrderMethod  = "order.order"
	ProbeMethod  = "order.probe"
	SettleMethod = "order.settle" // served by the owner
)

// A Request is an order sent to an attendant.
type Request struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Incarnation uint64 // expected incarnation of the attendant
	Notify      string // address of the owner, for the settle notice
	Order       engine.Order
	Token       uint64 // latest token of the attendant, or 0
}

// A Response is the response to a Request.
type Response struct {
	_       struct{} `cbor:",toarray"`
	Status  Status
	Verdict Verdict
}

// A ProbeRequest requests the status of an endpoint. It fences owners with lower epochs.
type ProbeRequest struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Epoch    uint64
}

// A Status is an attendant's view of an engine.
type Status struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Epoch       uint64 // highest seen
	Incarnation uint64 // of the attendant
	Ordered     engine.Version
	Phase       Phase
	Sequence    uint64 // increases with each change within an incarnation
	Token       uint64 // required by the next order; 0 if none
	Version     engine.Version
}
