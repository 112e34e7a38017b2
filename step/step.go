// Package step runs a trainer's steps: it accepts each once, places its items
// at engines, and lists their results at fixed positions that never change.
//
// One scheduler at a time runs all steps. What it must not lose lies in the
// key-value service; what runs, and its text, is also held by the attendants,
// from whom the next scheduler takes it over.
package step

import (
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

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
	Cut           bool          `cbor:",omitempty"` // it has ended, and its items are gone but for their Count
	Count         int           `cbor:",omitempty"` // items, if Cut
	Customer      string        `cbor:",omitempty"` // whose step it is, or "" where no key is needed
	Due           time.Duration // after its submission
	Groups        int           // complete groups that the trainer waits for
	Host          string
	ID            string // by QualifiedID
	Items         []Item
	MaxAttempts   int           // answers that an item failed, after which it is given up
	MaxWait       time.Duration // after its submission, an item may be given up
	MinVersion    uint64        // oldest version of the weights that may generate
	Model         string
	Number        int
	Parts         int `cbor:"-"` // values that it is kept in
	Route         string
	Service       string
	SingleVersion bool // one version generates a whole sample
}

// maxID bounds a qualified ID: with what stands beside it in a key of the key-value
// service, which may have 200 bytes.
const maxID = 150

// ErrBadID means that a step can't have an ID.
var ErrBadID = errors.New("step has no proper id")

// QualifiedID returns the ID under which a customer's step is known to the system.
//
// A step of another customer is as unknown as one that never was: to read, to end and
// to hand in again. As the name is part of each key under which a step is kept, there
// is no check that one of these ways could lack.
func QualifiedID(customer, id string) (string, error) {
	qualified := id
	if customer != "" {
		qualified = url.QueryEscape(customer) + qualifier + id
	}
	if id == "" || strings.ContainsAny(id, "/"+qualifier) || len(qualified) > maxID {
		return "", ErrBadID
	}
	return qualified, nil
}

// qualifier parts a customer's name from an ID, and stands in neither.
const qualifier = ":"

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

// Total returns how many items the step has.
func (st *Step) Total() int { return st.Count + len(st.Items) }

// cut returns a step that has ended without its items. Nothing of them can be asked
// for any more but how many there were.
//
// A new scheduler reads all steps that can still be asked for. With their bodies,
// those of the last half minute are some megabytes, for which the steps under way
// would wait.
func (st *Step) cut() *Step {
	cut := *st
	cut.Items, cut.Cut, cut.Count = nil, true, st.Total()
	return &cut
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
