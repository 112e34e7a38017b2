package batch

import (
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// An Attempt is a request for the sample of a slot. The entry picks an endpoint, sends a
// message.SampleRequest and reports the results.
type Attempt struct {
	Avoid      string // endpoint of the slot's last failed or stalled attempt, or ""
	ID         string // unique across owners
	MaxTokens  int
	MinVersion engine.Version // tokens of lower versions would be stale
	Profile    string
	Prompt     string
	ResumeFrom *message.ResumeFrom // location of an earlier attempt's tokens, or nil
	Seed       uint64              // same for all attempts of a slot
	Slot       SlotID
}

// An attempt is the state of a running Attempt.
type attempt struct {
	address     string    // of the attendant, once started
	endpoint    string    // once started
	firstTokens int       // tokens in the first report with any
	reportedAt  time.Time // time of the last report
	id          string
	replaced    bool           // another attempt was started to replace this one
	oldest      engine.Version // lowest version of the tokens so far, or 0
	progressAt  time.Time
	slot        *slot
	startedAt   time.Time // time of the first report with tokens, or zero
	step        *step
	tokens      int
	trainer     *trainer
}
