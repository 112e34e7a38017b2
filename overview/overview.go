// Package overview tells an operator how a scheduler's load stands: which steps will be late
// and why, who has which part of the engines, and which engine is the reason.
//
// It does no I/O: a scheduler fills a Snapshot from its table, and Summarize makes
// an Overview of it, which is bounded in size.
package overview

import (
	"time"

	"wisteriacroft/hold"
)

// A Reason says what keeps a step or an item from going on.
type Reason string

// The reasons for which items wait and steps are late.
const (
	AttendantSilent Reason = "attendant is silent"
	EngineSlow      Reason = "engine is slow"
	HeldBack        Reason = "others go first" // whose groups the room is for
	HeldByOperator  Reason = "held by an operator"
	ItemsLost       Reason = "items were given up"
	NoEngine        Reason = "no engine of the service"
	NoMemory        Reason = "no engine has memory"
	NoPlace         Reason = "no place"
	NoneServes      Reason = "engines leave or don't answer"
	NoVersion       Reason = "no engine has the version"
	OwnLength       Reason = "length of an item"
	Quarantined     Reason = "engines ended under items"
	Scoring         Reason = "waits for scores"
	StoreAway       Reason = "key-value service away"
	ToBeListed      Reason = "waits to be listed"
	ToBePlaced      Reason = "about to be placed"
	WeightsLoad     Reason = "engines load weights"
)

// An Overview is how the load stands at one moment.
type Overview struct {
	At        time.Time     `json:"at"` // by the clock of the scheduler
	Customers []Customer    `json:"customers"`
	Engines   []Engine      `json:"engines"`
	Epoch     uint64        `json:"epoch"` // of the scheduler
	Holds     []hold.Record `json:"holds"`
	Omitted   Omitted       `json:"omitted"`
	Steps     []Step        `json:"steps"`
	// StoreHeard is how long ago the key-value service answered the scheduler.
	StoreHeard time.Duration `json:"store-heard"`
}

// Omitted counts what an overview leaves out for its bound.
type Omitted struct {
	Customers int `json:"customers"`
	Engines   int `json:"engines"`
	Steps     int `json:"steps"`
}

// Items counts the items of a step, or a customer's, by where they stand.
type Items struct {
	Listed  int `json:"listed"` // of those that are whole or lost
	Lost    int `json:"lost"`
	Running int `json:"running"`
	Scoring int `json:"scoring"`
	Waiting int `json:"waiting"`
	Whole   int `json:"whole"`
}

// A Step is how an open step stands.
type Step struct {
	Age      time.Duration `json:"age"`
	Customer string        `json:"customer"`
	Due      time.Duration `json:"due"` // age at which it is due
	// End is the age at which as many groups as wanted are expected to be whole; 0 if
	// that can't be foreseen, as some can't begin.
	End    time.Duration `json:"end"`
	Held   bool          `json:"held"` // by an operator
	ID     string        `json:"id"`
	Items  Items         `json:"items"`
	Late   bool          `json:"late"` // or will be
	Model  string        `json:"model"`
	Reason Reason        `json:"reason"` // why it is late, or what its items wait for
	Via    string        `json:"via"`    // the engine that is the reason, if one is
	Wanted int           `json:"wanted"` // groups
	Whole  int           `json:"whole"`  // groups
}

// A Customer is what a customer has of the engines, had in the last minute and waits for.
type Customer struct {
	Share
	Held   bool    `json:"held"` // by an operator
	Items  Items   `json:"items"`
	Late   int     `json:"late"` // steps
	Name   string  `json:"name"`
	Oldest Waiting `json:"oldest"`
	Part   float64 `json:"part"`   // of all places that are taken
	Steps  int     `json:"steps"`  // open
	Tokens int     `json:"tokens"` // of engines' memory
}

// Waiting names the oldest step of a customer that has items that wait.
type Waiting struct {
	Age    time.Duration `json:"age"`
	Reason Reason        `json:"reason"`
	Step   string        `json:"step"`
}

// A State says what is the matter with an engine.
type State string

// The states of engines, the most troubled first.
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

// An Engine is how an engine stands.
type Engine struct {
	Address string        `json:"address"`
	Heard   time.Duration `json:"heard"` // how long ago; negative if never
	ID      string        `json:"id"`
	Median  time.Duration `json:"median"` // of the paces of its service's engines
	Memory  int           `json:"memory"` // tokens; 0 means unknown
	Others  int           `json:"others"` // requests that it runs for others
	Pace    time.Duration `json:"pace"`   // of an event; 0 means unknown
	Places  int           `json:"places"`
	Runs    int           `json:"runs"`
	Service string        `json:"service"`
	State   State         `json:"state"`
	Tokens  int           `json:"tokens"` // held
}
