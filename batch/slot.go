package batch

import (
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// A SlotID identifies one requested sample.
type SlotID struct {
	Trainer string
	Step    int
	Group   int
	Member  int
}

// A slotState is the state of a slot.
type slotState uint8

const (
	slotOpen   slotState = iota // needs a sample
	slotFilled                  // has a sample that is in no batch yet
	slotSealed                  // its sample is in a batch
)

// A slot is one requested sample of a step.
type slot struct {
	attempts []*attempt           // running, oldest first
	avoid    string               // endpoint of the last failed or stalled attempt
	entry    *message.SampleEntry // set when filled
	failures int                  // since the last sample
	group    int32
	member   int32
	resume   resumption
	retryAt  time.Time // earliest time of the next attempt
	state    slotState
}

// A resumption is the location of an earlier attempt's tokens. The zero resumption has none.
type resumption struct {
	from   *message.ResumeFrom
	oldest engine.Version // lowest version of those tokens
}

// resumption returns the location of the tokens of an attempt.
func (at *attempt) resumption() resumption {
	if at.tokens == 0 || at.oldest == 0 {
		return resumption{}
	}
	return resumption{from: &message.ResumeFrom{Address: at.address, Attempt: at.id}, oldest: at.oldest}
}
