package runner

import "context"

// A Stream is the answer to a run that has begun.
type Stream struct {
	CloseFunc func()
	// NextFunc returns the next event, or io.EOF after the last.
	NextFunc func() (Event, error)
}

// A Start is what an engine answers to a run.
type Start struct {
	Detail string
	Engine string // the engine that answered, if it isn't the one that was asked
	State  State  // Running, or why there is no stream
	Stream Stream // if State is Running
}

// An OrderState is what became of an order.
type OrderState int

// The states of orders.
const (
	OrderTaken   OrderState = iota // the engine carries it out
	OrderHolds                     // it holds already
	OrderBusy                      // another is under way, or came between: look again
	OrderRefused                   // this engine won't take it
)

// An Engine reaches the engine beside the attendant. Each field is a seam.
type Engine struct {
	// EndedFunc reports whether the engine's process has ended. Nil can't tell.
	EndedFunc func(ctx context.Context) bool
	// OrderFunc gives an order that is carried out only if the engine has taken
	// exactly sequence orders before it.
	OrderFunc func(ctx context.Context, or Order, sequence uint64) (OrderState, error)
	// ReportFunc asks the engine what it holds.
	ReportFunc func(ctx context.Context) (Report, error)
	// StartFunc begins a run.
	StartFunc func(ctx context.Context, la RunRequest) Start
}
