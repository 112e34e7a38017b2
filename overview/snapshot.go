package overview

import (
	"time"

	"wisteriacroft/hold"
)

// A Snapshot is a copy of a scheduler's table at one moment.
type Snapshot struct {
	Engines    []Engine
	Epoch      uint64
	Holds      []hold.Record
	Now        time.Time
	Shares     map[string]Share // by customer
	Steps      []StepRow
	StoreHeard time.Duration
}

// A Share is a customer's recent share of the engines and its rank.
type Share struct {
	Ahead float64 `json:"ahead"` // seconds of its share that it used before others
	Had   float64 `json:"had"`   // share of the slots in use during the last minute
	Rank  int     `json:"rank"`  // lowest first
}

// A StepRow is an open step with its open items.
type StepRow struct {
	Step
	Open    []ItemRow
	Groups  int // groups that are or can still be complete
	Service string
	Tokens  int // held on engines

	wait Reason // most frequent reason of the waiting items
}

// An ItemState is the state of an open item.
type ItemState int

// States of open items.
const (
	ItemWaiting ItemState = iota
	ItemRunning
	ItemScoring
)

// An ItemRow is an open item.
type ItemRow struct {
	Engine string // engine that runs it
	Group  string
	Left   time.Duration // expected remaining run time, from when it has a slot
	Stand  ItemState
	Turn   time.Duration // order of placement, lowest first
	Wait   Reason        // if it waits
}

// blocked reports whether an item waits for something other than a slot.
func (ir ItemRow) blocked() bool {
	switch ir.Wait {
	case HeldByOperator, NoEngine, NoneServes, NoVersion, StoreAway:
		return ir.Stand == ItemWaiting
	default:
		return false
	}
}
