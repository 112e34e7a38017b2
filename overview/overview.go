// Package overview summarizes the load of a scheduler for operators: which steps will be late and why, which share of
// the engines each customer uses, and which engines cause delays.
//
// It does no I/O: a scheduler fills a Snapshot from its table, and Summarize turns it into an Overview of bounded
// size.
package overview

import (
	"time"

	"wisteriacroft/hold"
)

// A Reason is why an item waits or a step is late.
type Reason string

// Reasons why items wait and steps are late.
const (
	AttendantSilent Reason = "attendant is silent"
	EngineSlow      Reason = "engine is slow"
	HeldBack        Reason = "others go first" // items of groups that can still be in time
	HeldByOperator  Reason = "held by an operator"
	ItemsLost       Reason = "items were given up"
	NoEngine        Reason = "no engine of the service"
	NoMemory        Reason = "no engine has memory"
	NoPlace         Reason = "no place"
	NoneServes      Reason = "engines leave or don't answer"
	NoVersion       Reason = "no engine has the version"
	OwnLength       Reason = "length of an item"
	Scoring         Reason = "waits for scores"
	StoreAway       Reason = "key-value service away"
	ToBeListed      Reason = "waits to be listed"
	ToBePlaced      Reason = "about to be placed"
	WeightsLoad     Reason = "engines load weights"
)

// An Overview is the load at one moment.
type Overview struct {
	At        time.Time     `json:"at"` // scheduler's clock
	Customers []Customer    `json:"customers"`
	Engines   []Engine      `json:"engines"`
	Epoch     uint64        `json:"epoch"` // of the scheduler's lease
	Holds     []hold.Record `json:"holds"`
	Omitted   Omitted       `json:"omitted"`
	Steps     []Step        `json:"steps"`
	// StoreHeard is the time since the key-value service last answered the scheduler.
	StoreHeard time.Duration `json:"store-heard"`
}

// Omitted counts the rows that an overview omits because of its size limit.
type Omitted struct {
	Customers int `json:"customers"`
	Engines   int `json:"engines"`
	Steps     int `json:"steps"`
}

// Items counts items by state. Items with results are counted as Whole or Lost, and also as Listed once they are
// listed.
type Items struct {
	Listed  int `json:"listed"` // included in Whole or Lost
	Lost    int `json:"lost"`
	Running int `json:"running"`
	Scoring int `json:"scoring"`
	Waiting int `json:"waiting"`
	Whole   int `json:"whole"`
}

// A Step is the load of an open step.
type Step struct {
	Age      time.Duration `json:"age"`
	Customer string        `json:"customer"`
	Due      time.Duration `json:"due"` // age at which it is due
	// End is the age at which the wanted number of groups is expected to be complete; 0 if that can't be predicted
	// because items can't start.
	End    time.Duration `json:"end"`
	Held   bool          `json:"held"` // by an operator
	ID     string        `json:"id"`
	Items  Items         `json:"items"`
	Late   bool          `json:"late"` // or will be
	Model  string        `json:"model"`
	Reason Reason        `json:"reason"` // cause of its lateness, or else what its items wait for
	Via    string        `json:"via"`    // engine that causes the delay, if any
	Wanted int           `json:"wanted"` // groups
	Whole  int           `json:"whole"`  // complete groups
}

// A Customer is the load of a customer: its recent share and its open steps.
type Customer struct {
	Share
	Held   bool    `json:"held"` // by an operator
	Items  Items   `json:"items"`
	Late   int     `json:"late"` // steps that are or will be late
	Name   string  `json:"name"`
	Oldest Waiting `json:"oldest"`
	Part   float64 `json:"part"`   // share of all running items
	Steps  int     `json:"steps"`  // open steps
	Tokens int     `json:"tokens"` // tokens held on engines
}

// Waiting describes the oldest step of a customer that has waiting items.
type Waiting struct {
	Age    time.Duration `json:"age"`
	Reason Reason        `json:"reason"`
	Step   string        `json:"step"`
}

// A State is the condition of an engine.
type State string

// Conditions of engines, most serious first.
const (
	Gone    State = "gone"
	Silent  State = "silent"
	Sick    State = "sick"
	Drained State = "drained" // by an operator
	Leaving State = "leaving"
	Slow    State = "slow"
	Loading State = "loading" // weights
	Serving State = "serving"
)

// An Engine is the load of an engine.
type Engine struct {
	Address string        `json:"address"`
	Heard   time.Duration `json:"heard"` // time since its attendant last answered; negative if never
	ID      string        `json:"id"`
	Median  time.Duration `json:"median"` // median Pace of its service's engines
	Memory  int           `json:"memory"` // capacity in tokens; 0 means unknown
	Others  int           `json:"others"` // requests of other callers
	Pace    time.Duration `json:"pace"`   // time per event; 0 means unknown
	Places  int           `json:"places"`
	Runs    int           `json:"runs"`
	Service string        `json:"service"`
	State   State         `json:"state"`
	Tokens  int           `json:"tokens"` // tokens held
}
