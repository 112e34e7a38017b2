package runner

import "context"

// A Stream is the event stream of a run that has started.
type Stream struct {
	CloseFunc func()
	// NextFunc returns the next event, or io.EOF after the last.
	NextFunc func() (Event, error)
}

// A Start is an engine's response to a RunRequest.
type Start struct {
	Detail string
	Engine string // the engine that answered, if it isn't the requested one
	State  State  // Running, or why there is no stream
	Stream Stream // if State is Running
}

// An OrderState is an engine's response to an order.
type OrderState int

// The states of orders.
const (
	OrderTaken   OrderState = iota // accepted
	OrderHolds                     // the engine already serves the version
	OrderBusy                      // another order is in progress or came first: retry after the next report
	OrderRefused                   // refused for good
)

// An Engine calls the engine on the attendant's instance. Tests replace its functions.
type Engine struct {
	// EndedFunc reports whether the engine's process has exited. Nil means unknown.
	EndedFunc func(ctx context.Context) bool
	// OrderFunc sends an order, which is executed only if the engine has accepted
	// exactly sequence orders before it.
	OrderFunc func(ctx context.Context, or Order, sequence uint64) (OrderState, error)
	// ReportFunc fetches the engine's report.
	ReportFunc func(ctx context.Context) (Report, error)
	// StartFunc starts a run.
	StartFunc func(ctx context.Context, rr RunRequest) Start
}
