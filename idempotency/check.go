package idempotency

import (
	"fmt"
	"time"

	"wisteriacroft/outcome"
)

// settleWait is the Retry-After time while a former home has not yet yielded its keys.
const settleWait = time.Second

// check refuses a caller's key without a row that may have run at another home, or here before a
// restart. It returns nil only if the key cannot have run.
//
// Let s be the skew. A home runs a key minted at m only when its own clock shows m-s or later. So
// all keys that a former home ran before it stopped, at time t by its clock, were minted at t+s or
// earlier. When this home was notified of the stop, its clock showed t-s or later. A key minted
// more than twice s after that cannot have run there. The same holds for this home before its restart,
// with Started in place of t. The clock of the minter is irrelevant.
//
// A key minted by an entry is sent only by that entry, so it has not run. But it may arrive after
// the row that bars it has expired.
func (ta *Table) check(now time.Time, req Request) *outcome.Refusal {
	if req.Minted {
		return ta.checkAge(req)
	}
	if re := ta.checkHome(req); re != nil {
		return re
	}
	if re := ta.checkTime(now, req); re != nil {
		return re
	}
	return ta.checkFormer(req, req.Key.MintedAt())
}

// checkTime refuses a key whose row, if there was one, may have been lost: minted before the start
// of the home, too long ago, or in the future.
func (ta *Table) checkTime(now time.Time, req Request) *outcome.Refusal {
	at := req.Key.MintedAt()
	skew := ta.options.Skew
	switch {
	case at.After(now.Add(skew)):
		re := refuse(outcome.OutcomeUnknown, req, "idempotency key was minted in the future: check the clock of its minter").Refusal
		re.RetryAfter = at.Sub(now.Add(skew)).Round(time.Millisecond).String()
		return re
	case !at.After(ta.options.Started.Add(2 * skew)):
		return refuse(outcome.OutcomeUnknown, req,
			"idempotency key was minted before its home started: whether it ran is not known").Refusal
	}
	return ta.checkAge(req)
}

// checkAge refuses a key whose row may have expired.
func (ta *Table) checkAge(req Request) *outcome.Refusal {
	if at := req.Key.MintedAt(); at.After(ta.latest.Add(-ta.options.Keep)) && at.After(ta.floor) {
		return nil
	}
	return refuse(outcome.OutcomeUnknown, req, fmt.Sprintf(
		"idempotency key is older than %s: whether it ran is no longer known", ta.options.Keep)).Refusal
}

// checkHome refuses a key whose home is another endpoint.
func (ta *Table) checkHome(req Request) *outcome.Refusal {
	home := req.Key.Home(ta.homes.current())
	if home == ta.options.Endpoint && home != "" {
		return nil
	}
	re := refuse(outcome.NotHome, req, fmt.Sprintf(
		"endpoint %q may not run the key at revision %d; it was chosen at revision %d",
		ta.options.Endpoint, ta.homes.revision, req.Revision)).Refusal
	re.RetryAfter = settleWait.String()
	return re
}

// checkFormer refuses a key that may have run at a former home.
//
// While entries hold different revisions, a key may have two homes. If both ran it, two repeats by
// different entries would run twice. So the new home waits until the former one has yielded, and
// then accepts only keys minted later.
func (ta *Table) checkFormer(req Request, at time.Time) *outcome.Refusal {
	ys := ta.homes.yieldStateOf(req.Key, ta.options.Endpoint)
	if ys.unyielded != "" {
		re := refuse(outcome.OutcomeUnknown, req, fmt.Sprintf(
			"former home %q has not yet given up the idempotency key", ys.unyielded)).Refusal
		re.RetryAfter = settleWait.String()
		return re
	}
	if !ys.at.IsZero() && !at.After(ys.at.Add(2*ta.options.Skew)) {
		return refuse(outcome.OutcomeUnknown, req,
			"idempotency key was minted before its home moved here: whether it ran is not known").Refusal
	}
	return nil
}
