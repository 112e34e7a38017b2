package step

import "time"

// RPC methods of a scheduler.
const (
	acceptMethod = "step.Accept"
	bodyMethod   = "step.Body"
	endMethod    = "step.End"
	readMethod   = "step.Read"
)

// OverviewMethod is the RPC method that returns an overview.Overview.
const OverviewMethod = "step.Overview"

// LeaseName is the name of the lease that the active scheduler holds.
const LeaseName = "scheduler"

// A ReadRequest requests the results of a step from position After on.
type ReadRequest struct {
	After int
	ID    string
	Wait  time.Duration // maximum wait for the first result
}

// A BodyRequest requests the body of an item.
type BodyRequest struct {
	Item string
	Step string
}

// A BodyResponse holds an item's body; Found is false if there is no such item.
type BodyResponse struct {
	Body  []byte
	Found bool
}

// An EndRequest ends a step.
type EndRequest struct{ ID string }

// An Empty is a request or response without content.
type Empty struct{}
