package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wisteriacroft/gate"
	"wisteriacroft/outcome"
	"wisteriacroft/retry"
	"wisteriacroft/route"
)

// A LiveCall is a live request of a caller.
type LiveCall struct {
	arrived  time.Time
	deadline time.Time
	endpoint string // where it waits or runs
	id       string
	length   int
	number   int // of the attempt, counted from 1
	tried    []string
}

// A Caller makes live calls at a mean rate and records the responses.
type Caller struct {
	answered int
	answers  *hdrhistogram.Histogram // milliseconds
	budget   *retry.Budget
	calls    map[string]*LiveCall
	made     int
	next     time.Time
	rand     *rand.Rand
	refused  int
	row      LiveRow
}

// NewCaller returns a caller whose first call is at start.
func NewCaller(row LiveRow, seed uint64, start time.Time) *Caller {
	return &Caller{
		answers: hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3),
		budget:  retry.NewBudget(retry.Policy{}, seed),
		calls:   map[string]*LiveCall{},
		next:    start,
		rand:    newRand(seed, "live calls"),
		row:     row,
	}
}

// Run makes the calls that are due.
func (cr *Caller) Run(wo *World, now time.Time) {
	for cr.row.Rate > 0 && !now.Before(cr.next) {
		lc := &LiveCall{
			arrived:  cr.next,
			deadline: cr.next.Add(time.Duration(cr.row.Deadline)),
			id:       fmt.Sprintf("live-%d", cr.made),
			length:   max(1, int(float64(cr.row.Tokens)*(0.5+cr.rand.Float64()))),
		}
		cr.made++
		cr.next = cr.next.Add(time.Duration(cr.rand.ExpFloat64() / cr.row.Rate * float64(time.Second)))
		cr.calls[lc.id] = lc
		cr.budget.Deposit()
		cr.try(wo, now, lc)
	}
}

// try sends a call to an endpoint.
func (cr *Caller) try(wo *World, now time.Time, lc *LiveCall) {
	lc.number++
	en, ok := wo.routes.Pick(now, route.Need{Service: wo.ca.Service, Exclude: lc.tried})
	if !ok {
		cr.dropCall(lc)
		return
	}
	lc.endpoint = en.ID
	lc.tried = append(lc.tried, en.ID)
	req := gate.Request{Class: gate.Live, Deadline: lc.deadline, ID: lc.id, Profile: "live"}
	re := wo.attendants[en.ID].Enqueue(now, req, &Work{id: lc.id, length: lc.length, prompt: cr.row.PromptSize})
	if re != nil {
		cr.HandleRefusal(wo, now, lc, re)
	}
}

// HandleRefusal retries or drops a call that did not run.
func (cr *Caller) HandleRefusal(wo *World, now time.Time, lc *LiveCall, re *outcome.Refusal) {
	wo.routes.Refused(now, lc.endpoint, re.RetryDelay())
	cr.retryCall(wo, now, lc, outcome.NotRun)
}

// HandleBroken retries or drops a call whose response broke off.
func (cr *Caller) HandleBroken(wo *World, now time.Time, lc *LiveCall) {
	wo.routes.Failed(now, lc.endpoint)
	cr.retryCall(wo, now, lc, outcome.Unknown)
}

// retryCall retries a call if the retry budget allows it, or drops it.
func (cr *Caller) retryCall(wo *World, now time.Time, lc *LiveCall, ou outcome.Outcome) {
	wait, ok := cr.budget.Retry(now, retry.Attempt{
		Deadline:   lc.deadline,
		Fate:       ou,
		Number:     lc.number,
		Repeatable: true,
	})
	if !ok {
		cr.dropCall(lc)
		return
	}
	wo.schedule(now.Add(wait), func(now time.Time) { cr.try(wo, now, lc) })
}

// dropCall counts a call as refused.
func (cr *Caller) dropCall(lc *LiveCall) {
	cr.refused++
	delete(cr.calls, lc.id)
}

// HandleResponse records a call's response.
func (cr *Caller) HandleResponse(wo *World, now time.Time, lc *LiveCall) {
	wo.routes.Succeeded(now, lc.endpoint)
	delete(cr.calls, lc.id)
	cr.answers.RecordValue(now.Sub(lc.arrived).Milliseconds())
	if !now.After(lc.deadline) {
		cr.answered++
	}
}

// Goodput returns the fraction of the calls that completed within their deadline.
func (cr *Caller) Goodput() float64 {
	ended := cr.made - len(cr.calls)
	if ended == 0 {
		return 1
	}
	return float64(cr.answered) / float64(ended)
}
