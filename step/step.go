// Package step runs a trainer's steps: it accepts each once, places its items
// at engines, and lists their results at fixed positions that never change.
//
// One scheduler at a time runs all steps. What it must not lose lies in the
// key-value service; what runs, and its text, is also held by the attendants,
// from whom the next scheduler takes it over.
package step

import (
	"strings"
	"time"

	"wisteriacroft/finding"
	"wisteriacroft/forward"
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
	// Reward is the call to a plain service that scores the whole text; nil if
	// the text needs no score.
	Reward *forward.Call `cbor:",omitempty"`
	Tokens int           // of the prompt, and of the answer at most
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
	Lost     bool   // given up; Score, Text and Versions are empty
	Score    string `cbor:",omitempty"` // the mark of the plain service on its answer to the reward call
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

// Check adds what is wrong with the step's reward calls, by item. One that no
// route could lead anywhere, or whose answer could be taken for another's, would
// keep its item from ever being listed.
func (st *Step) Check(findings *finding.List) {
	items := map[string]string{} // by the id of the reward call
	for i := range st.Items {
		it := &st.Items[i]
		if it.Reward == nil {
			continue
		}
		place := "item " + it.ID
		switch other, twice := items[it.Reward.ID]; {
		case it.Reward.ID == "":
			findings.Add("", 0, place, "reward call has no id")
		case twice:
			findings.Add("", 0, place, "reward call has the id of that of item %s", other)
		}
		items[it.Reward.ID] = it.ID
		if it.Reward.Host == "" {
			findings.Add("", 0, place, "reward call has no host")
		}
		if !strings.HasPrefix(it.Reward.Path, "/") {
			findings.Add("", 0, place, "reward call has no path")
		}
	}
}
