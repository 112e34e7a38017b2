// Package runner is the attendant's part of scheduling: it runs step items at the
// engine on its instance, keeps their text until the scheduler has stored it, and sends
// the engine its orders. No other process sends orders to that engine.
package runner

import (
	"time"

	"wisteriacroft/incarnation"
)

// ExchangeMethod is the RPC by which the scheduler controls an attendant.
const ExchangeMethod = "runner.Exchange"

// A Key identifies one run of an item.
type Key struct {
	Attempt uint64 // unique among all runs of all schedulers
	Item    string
	Step    string
}

// An Event is one event of a run's text.
type Event struct {
	Data    []byte
	ID      int64
	Version uint64 // weights version that generated it
}

// A RunRequest starts a run.
type RunRequest struct {
	Body     []byte
	Customer string `cbor:",omitempty"` // owner of the item, or ""
	Endpoint string // the engine that the run is for; any other refuses it
	Header   map[string]string
	Host     string
	Key      Key
	Path     string
	Prior    []Event // text of earlier runs, which this one continues
	Version  uint64  // required weights version; 0 means any
}

// An Order tells an engine to load another weights version.
type Order struct {
	Endpoint string
	Fence    uint64 // the scheduler's epoch
	Keep     bool   // running requests continue on the new version; else they finish before the load
	Model    string
	Version  uint64
}

// An Ack says how much of a run the scheduler has received.
type Ack struct {
	Ended  bool `cbor:",omitempty"` // the end of the run was received
	Events int
	Key    Key
	Score  string `cbor:",omitempty"` // of the run's whole text, to be stored with it
}

// An ExchangeRequest carries the scheduler's commands and acknowledgments.
type ExchangeRequest struct {
	// Await is how long the response may wait for news: the end of a run or of an order, other weights,
	// or a later request, which replaces this one. Zero responds immediately.
	Await    time.Duration `cbor:",omitempty"`
	Endpoint string        // the engine that the request concerns
	Epoch    uint64        // of the scheduler; an older one is refused
	Forget   []Key         // runs to delete
	Launches []RunRequest
	Number   uint64 // increases with each request for the engine in an epoch; one out of order is refused
	Order    *Order
	Seen     []Ack // runs with new acknowledgments
	Stops    []Key
}

// A State is the state of a run.
type State int

// The states of runs.
const (
	Running    State = iota
	Complete         // ended with its last event
	Broken           // ended without its last event; another run may continue it
	Failed           // the engine reported a failure
	Impossible       // the engine reported that the item can never succeed
	NotRun           // the engine did not run it
	Stopped          // canceled by the scheduler
)

var states = [...]string{
	Running: "running", Complete: "complete", Broken: "broken", Failed: "failed",
	Impossible: "impossible", NotRun: "not-run", Stopped: "stopped",
}

// String returns the state's name.
func (st State) String() string { return states[st] }

// A Progress is the state of a run with the events that the scheduler has not
// acknowledged.
type Progress struct {
	Detail   string // why it ended, for logs
	Endpoint string // engine that the run was for
	// EngineEnded means that the engine's process had exited when the run broke off.
	EngineEnded bool `cbor:",omitempty"`
	Events      []Event
	First       int // index of Events[0] in the run's text
	Key         Key
	Score       string `cbor:",omitempty"` // of the whole text, if known
	State       State
}

// A Report is an engine's report of its state.
type Report struct {
	Active      int
	Busy        bool               // an order is in progress
	Incarnation incarnation.Number // start of the engine that reports
	Pace        time.Duration      // median of the recent gaps between two events of a run
	PaceGaps    int                // number of gaps in the median
	Queued      int
	Sequence    uint64 // number of accepted orders
	Tokens      int    // memory that can't be freed, in tokens
	Versions    map[string]uint64
}

// An ExchangeResponse is the state of an attendant and its runs.
type ExchangeResponse struct {
	Boot      string // changes with each start of the attendant
	Engine    string // the engine that currently answers at the address, if known
	Ordered   uint64 // version of the order in progress, or 0
	Reachable bool   // the engine has reported recently
	Report    Report
	ReportAge time.Duration
	Running   int        // runs in progress
	Runs      []Progress // runs with changes that the scheduler has not acknowledged
	Wall      int64      // the instance's wall clock, in Unix microseconds
}

// LastContactMethod is the RPC that returns when the scheduler last called an attendant.
const LastContactMethod = "runner.Witness"

// A LastContactResponse says when the scheduler last called.
type LastContactResponse struct {
	Epoch uint64
	Since time.Duration // since the last call, or since the attendant's start
}
