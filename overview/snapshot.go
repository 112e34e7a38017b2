package overview

import (
	"time"

	"wisteriacroft/hold"
)

// A Snapshot is what a scheduler's table holds at one moment.
type Snapshot struct {
	Engines    []Engine
	Epoch      uint64
	Holds      []hold.Record
	Now        time.Time
	Shares     map[string]Share // by customer
	Steps      []StepRow
	StoreHeard time.Duration
}

// A Share is what a customer had, and how it ranks.
type Share struct {
	Ahead float64 `json:"ahead"` // seconds of its part that it had before the others
	Had   float64 `json:"had"`   // part of the places that were taken in the last minute
	Rank  int     `json:"rank"`  // the lowest goes first
}

// A StepRow is an open step with those of its items that are not whole.
type StepRow struct {
	Step
	Open    []ItemRow
	Groups  int // that can still be whole, or are
	Service string
	Tokens  int // of engines' memory

	wait Reason // of most of the items that wait
}

// An ItemState is where an open item stands.
type ItemState int

// The stands of open items.
const (
	ItemWaiting ItemState = iota
	ItemRunning
	ItemScoring
)

// An ItemRow is an item that is not whole.
type ItemRow struct {
	Engine string // that runs it
	Group  string
	Left   time.Duration // that it runs still, once it has a place
	Stand  ItemState
	Turn   time.Duration // the one with the least goes first
	Wait   Reason        // if it waits
}

// blocked reports whether an item waits for something other than a place.
func (ir ItemRow) blocked() bool {
	switch ir.Wait {
	case HeldByOperator, NoEngine, NoneServes, NoVersion, Quarantined, StoreAway:
		return ir.Stand == ItemWaiting
	default:
		return false
	}
}
