package idempotency

import (
	"fmt"
	"time"

	"wisteriacroft/outcome"
)

// settleWait is when a caller should ask again while a former home has not
// yet given its keys up.
const settleWait = time.Second

// check refuses a caller's key that is new here and may have run elsewhere,
// or here in an earlier life of the attendant. It returns nil if the key
// surely has not run.
//
// Let s be the skew. A home runs a key minted at m only once its own clock
// says m-s or later. So whatever a former home ran before it stopped, at time
// t by its clock, was minted no later than t+s. When this home learned of the
// stop, its clock showed t-s or later. A key minted 2s after that can't have
// run there. The same holds for an earlier life of this home, which ended
// before Started. The minter's clock has no part in this.
//
// A key that an entry minted comes from nowhere else, so it has not run; but
// it may come so late, over a slow connection, that the row which bars it has
// expired.
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

// checkTime refuses a key that is too old or too new for its row, if it ever
// had one, to be still here.
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

// checkAge refuses a key that is so old that its row may have expired.
func (ta *Table) checkAge(req Request) *outcome.Refusal {
	if at := req.Key.MintedAt(); at.After(ta.latest.Add(-ta.options.Keep)) && at.After(ta.floor) {
		return nil
	}
	return refuse(outcome.OutcomeUnknown, req, fmt.Sprintf(
		"idempotency key is older than %s: whether it ran is no longer known", ta.options.Keep)).Refusal
}

// checkHome refuses a key whose home is not here.
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

// checkFormer refuses a key that may have run at a home that it had under an
// earlier set.
//
// For some seconds two revisions are in force, and they may name different
// homes for a key. Were the new home to run it while the old one still may,
// two repeats that come by different entries would both run. So the new home
// waits for the old one's word, and then takes only keys minted after it.
func (ta *Table) checkFormer(req Request, at time.Time) *outcome.Refusal {
	ha := ta.homes.handOver(req.Key, ta.options.Endpoint)
	if ha.missing != "" {
		re := refuse(outcome.OutcomeUnknown, req, fmt.Sprintf(
			"former home %q has not yet given up the idempotency key", ha.missing)).Refusal
		re.RetryAfter = settleWait.String()
		return re
	}
	if !ha.at.IsZero() && !at.After(ha.at.Add(2*ta.options.Skew)) {
		return refuse(outcome.OutcomeUnknown, req,
			"idempotency key was minted before its home moved here: whether it ran is not known").Refusal
	}
	return nil
}
