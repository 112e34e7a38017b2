// Package step runs a trainer's steps: it accepts each once, places its items
// at engines, and lists their results at fixed positions that never change.
//
// One scheduler at a time runs all steps. What it must not lose lies in the
// key-value service; what runs, and its text, is also held by the attendants,
// from whom the next scheduler takes it over.
package step

import (
	"time"
)

// An Item is one sample that a step asks for.
type Item struct {
	Body   []byte
	Group  string // items of a group share their prompt and count only together
	Header map[string]string
	Hint   int // estimate of the tokens that will be generated; 0 means unknown
	ID     string
	Path   string
	Prompt int // tokens of the prompt; 0 means unknown
	Tokens int // of the prompt, and of the answer at most
}

// A Step is a trainer's request for samples.
type Step struct {
	Accepted      time.Time     // by the time of day of the entry that accepted it, which may be wrong; orders steps only
	Due           time.Duration // after its submission
	Groups        int           // complete groups that the trainer waits for
	Host          string
	ID            string
	Items         []Item
	MaxAttempts   int           // answers that an item failed, after which it is given up
	MaxWait       time.Duration // after its submission, an item may be given up
	MinVersion    uint64        // oldest version of the weights that may generate
	Model         string
	Number        int
	Route         string
	Service       string
	SingleVersion bool // one version generates a whole sample
}

// A Result is an item's outcome, at a position of its step.
type Result struct {
	Item     string
	Lost     bool // given up; Text and Versions are empty
	Text     []byte
	Versions []uint64 // that generated the text
}

// A Listing is some of a step's results, from a position on.
type Listing struct {
	Results []Result
	Total   int // items of the step
}

// body returns the body of an item, if the step has it.
func (st *Step) body(item string) BodyResponse {
	for i := range st.Items {
		if st.Items[i].ID == item {
			return BodyResponse{Body: st.Items[i].Body, Found: true}
		}
	}
	return BodyResponse{}
}
