// Package runner is what an attendant does for the scheduler: it runs items of
// steps at the engine beside it, keeps their text until the scheduler has made
// it last, and gives the engine its orders. It is the only one that gives that
// engine orders, so that no two processes can.
package runner

import (
	"time"

	"wisteriacroft/incarnation"
)

// ExchangeMethod is the one call that the scheduler makes to an attendant.
const ExchangeMethod = "runner.Exchange"

// A Key names one run of an item.
type Key struct {
	Attempt uint64 // unique among all runs of all schedulers
	Item    string
	Step    string
}

// An Event is one event of a run's text.
type Event struct {
	Data    []byte
	ID      int64
	Version uint64 // of the weights that generated it
}

// A RunRequest asks for a run.
type RunRequest struct {
	Body     []byte
	Customer string `cbor:",omitempty"` // whose item it is, or ""
	Endpoint string // the engine that the run is for; any other refuses it
	Header   map[string]string
	Host     string
	Key      Key
	Path     string
	Prior    []Event // text that earlier runs made; the run goes on after it
	Version  uint64  // of the weights that the run is for; 0 means any
}

// An Order asks for other weights.
type Order struct {
	Endpoint string
	Fence    uint64 // the scheduler's epoch
	Keep     bool   // what runs goes on under the new version, else it ends first
	Model    string
	Version  uint64
}

// An Ack is what the scheduler has of a run.
type Ack struct {
	Ended  bool `cbor:",omitempty"` // it knows that the run has ended
	Events int
	Key    Key
	Score  string `cbor:",omitempty"` // of the run's whole text, to be kept with it
}

// An ExchangeRequest is what the scheduler wants done, and what it knows.
type ExchangeRequest struct {
	// Await is for how long the answer may wait for the end of a run. Zero answers at
	// once.
	Await    time.Duration `cbor:",omitempty"`
	Endpoint string        // the engine that the request concerns
	Epoch    uint64        // of the scheduler; an older one is refused
	Forget   []Key         // runs that need not be kept any longer
	Launches []RunRequest
	Number   uint64 // of the epoch's requests for the engine; one that was overtaken is refused
	Order    *Order
	Seen     []Ack // runs of which the scheduler has more than it last said
	Stops    []Key
}

// A State is what became of a run.
type State int

// The states of runs.
const (
	Running    State = iota
	Complete         // the text is whole
	Broken           // ended without its last event; may go on elsewhere
	Failed           // the engine answered that it failed
	Impossible       // the engine answered that the item can never be done
	NotRun           // the engine did not run it
	Stopped          // ended because the scheduler asked
)

var states = [...]string{
	Running: "running", Complete: "complete", Broken: "broken", Failed: "failed",
	Impossible: "impossible", NotRun: "not-run", Stopped: "stopped",
}

// String returns the state's name.
func (st State) String() string { return states[st] }

// A Progress is a run and those of its events that the scheduler lacks.
type Progress struct {
	Detail   string // why it ended, for logs
	Endpoint string // engine that the run was for
	// EngineEnded means that the engine's process had ended when the run broke.
	EngineEnded bool `cbor:",omitempty"`
	Events      []Event
	First       int // position of the first of Events in the run's text
	Key         Key
	Score       string `cbor:",omitempty"` // of the whole text, if a scheduler has had it scored
	State       State
}

// A Report is what an engine says of itself.
type Report struct {
	Active      int
	Busy        bool               // an order is under way
	Incarnation incarnation.Number // the start of the engine that says it
	Pace        time.Duration      // median time between two events of a run of late
	PaceGaps    int                // that the median is of
	Queued      int
	Sequence    uint64 // orders that it has taken
	Tokens      int    // memory that can't be freed, in tokens
	Versions    map[string]uint64
}

// An ExchangeResponse is what an attendant holds.
type ExchangeResponse struct {
	Boot      string // changes with each start of the attendant
	Engine    string // the engine that answers at the address now, if known
	Ordered   uint64 // version of the order under way, or 0
	Reachable bool   // the engine answers its report
	Report    Report
	ReportAge time.Duration
	Running   int        // runs that go on
	Runs      []Progress // of which the scheduler lacks something
	Wall      int64      // the instance's time of day, in Unix microseconds
}

// LastContactMethod asks an attendant when the scheduler last called it.
const LastContactMethod = "runner.Witness"

// A LastContactResponse says when the scheduler last called.
type LastContactResponse struct {
	Epoch uint64
	Since time.Duration // since the last call, or since the attendant's start
}
