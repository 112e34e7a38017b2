package idempotency

import (
	"sync"
	"time"

	"wisteriacroft/outcome"
)

// sweepEvery is the minimum time between two searches for expired keys.
const sweepEvery = time.Second

// A Request is one arrival of a request with a key.
type Request struct {
	Ask      bool   // only query the outcome; the request must not run from now on
	Digest   uint64 // hash of method, path and body; a key identifies a single request
	ID       string // request id for refusals
	Key      Key
	Minted   bool   // by the entry, for a caller without a key; only that entry sends it, one attempt at a time
	Revision uint64 // revision by which the sender chose this home
}

// A Decision is what to do with a request.
type Decision struct {
	Answer  *Response        // recorded answer, to be returned again
	Refusal *outcome.Refusal // nil if the request runs or has an answer
	Run     bool             // run the request, then call Finish, MarkUnknown or Release
}

// A Table holds the keys received by one endpoint. It is safe for concurrent use, does no I/O and
// reads no clock after NewTable.
type Table struct {
	answered []Key     // keys with a recorded answer, oldest first
	floor    time.Time // rows of keys minted up to this time may have expired
	homes    homes
	latest   time.Time // highest time passed to Begin or Expire
	mu       sync.Mutex
	options  Options
	rows     map[Key]*row
	size     int // bytes of recorded answers
	swept    time.Time
}

// NewTable returns an empty table. It refuses callers' keys until SetHomes is called.
func NewTable(op Options) *Table {
	return &Table{options: op.withDefaults(), rows: make(map[Key]*row)}
}

// Begin decides on the arrival of a key. After a decision to run, the key is in progress until
// Finish, MarkUnknown or Release.
//
// Call it before any other check that may refuse the request: otherwise a repeat could be refused
// as not run although the first request ran.
func (ta *Table) Begin(now time.Time, req Request) Decision {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.observeTime(now)
	if ro := ta.rows[req.Key]; ro != nil {
		return ta.repeat(ro, req)
	}
	if re := ta.check(now, req); re != nil {
		return Decision{Refusal: re}
	}
	if len(ta.rows) >= ta.options.MaxKeys {
		ta.sweep(now)
	}
	if len(ta.rows) >= ta.options.MaxKeys {
		return ta.refuseFull(req)
	}
	if req.Ask {
		return ta.bar(now, req)
	}
	ta.rows[req.Key] = &row{
		digest: req.Digest,
		expire: req.Key.MintedAt().Add(ta.options.Keep),
	}
	return Decision{Run: true}
}

// refuseFull refuses a key without a row when the table is full. A query can't bar its key from
// running then, so the outcome is unknown.
func (ta *Table) refuseFull(req Request) Decision {
	const message = "table of idempotency keys is full"
	de := refuse(outcome.OutcomeUnknown, req, message)
	if !req.Ask {
		de.Refusal = outcome.NewRefusal(outcome.Overloaded, req.ID, message)
	}
	de.Refusal.RetryAfter = sweepEvery.String()
	return de
}

// bar answers a query for an unknown key and records that the key must not run. The request may
// still arrive over a stalled connection; without the row it would run after it was reported as not
// run.
func (ta *Table) bar(now time.Time, req Request) Decision {
	ro := &row{
		digest: req.Digest,
		expire: req.Key.MintedAt().Add(ta.options.Keep),
		state:  barred,
	}
	if ta.checkTime(now, req) != nil {
		ro.state = lost
	}
	ta.rows[req.Key] = ro
	return ta.repeat(ro, req)
}

// repeat decides on the arrival of a key that has a row.
func (ta *Table) repeat(ro *row, req Request) Decision {
	switch {
	case ro.digest != req.Digest:
		return refuse(outcome.BadRequest, req, "idempotency key came before with another request")
	case ro.state == barred:
		return Decision{Refusal: outcome.NewRefusal(outcome.Refused, req.ID, "the request was given up before it came, and won't run")}
	case ro.state == running:
		re := refuse(outcome.InProgress, req, "the request with this idempotency key is running")
		re.Refusal.RetryAfter = time.Second.String()
		return re
	case ro.answer != nil:
		return Decision{Answer: &Response{
			Body:   ro.answer.Body,
			Header: ro.answer.Header.Clone(),
			Status: ro.answer.Status,
		}}
	case ro.state == ran:
		return refuse(outcome.OutcomeUnknown, req, "the request ran; its answer is no longer kept")
	default:
		return refuse(outcome.OutcomeUnknown, req, "the request may have run; no answer to it is at hand")
	}
}

// refuse returns a refusal with outcome unknown.
func refuse(code outcome.Code, req Request, message string) Decision {
	re := outcome.NewRefusal(code, req.ID, message)
	re.Fate = outcome.Unknown.String()
	return Decision{Refusal: re}
}

// observeTime updates the highest time. If the clock jumped ahead and back, a key whose row expired at the
// later time would otherwise count as new.
func (ta *Table) observeTime(now time.Time) {
	if now.After(ta.latest) {
		ta.latest = now
	}
}

// Finish records the answer of a key that ran. With nil, the key ran but its answer can't be
// repeated.
func (ta *Table) Finish(_ time.Time, ke Key, an *Response) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[ke]
	if ro == nil || ro.state != running {
		return
	}
	ro.state = ran
	if an == nil || an.size() > ta.options.MaxAnswerSize {
		return
	}
	ro.answer = &Response{Body: an.Body, Header: an.Header.Clone(), Status: an.Status}
	ta.answered = append(ta.answered, ke)
	ta.size += an.size()
	ta.evict()
}

// evict drops the oldest answers until the rest fits the limit. Their keys stay, so that a repeat
// does not run.
func (ta *Table) evict() {
	for ta.size > ta.options.MaxAnswersSize {
		ta.drop(ta.rows[ta.answered[0]])
		ta.answered = ta.answered[1:]
	}
}

// drop deletes the answer of a row, if any.
func (ta *Table) drop(ro *row) {
	if ro == nil || ro.answer == nil {
		return
	}
	ta.size -= ro.answer.size()
	ro.answer = nil
}

// MarkUnknown records that the outcome of a key is unknown. It never runs again here.
func (ta *Table) MarkUnknown(_ time.Time, ke Key) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[ke]
	if ro == nil || ro.state != running {
		return
	}
	ro.state = lost
}

// Release records that a key was never sent to the endpoint, so that a repeat may run.
func (ta *Table) Release(_ time.Time, ke Key) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ro := ta.rows[ke]; ro != nil && ro.state == running {
		delete(ta.rows, ke)
	}
}

// SetHomes sets the active set and the earlier sets that other processes may still use, oldest
// first. A set with the same endpoints as the previous one is ignored.
func (ta *Table) SetHomes(_ time.Time, set EndpointSet, former []EndpointSet) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.homes.update(set, former)
}

// RecordYield records at time now that an endpoint's attendant has confirmed by Yield that it runs
// nothing under sets older than the revision, or that its instance is gone (RevisionGone).
func (ta *Table) RecordYield(now time.Time, endpoint string, revision uint64) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.homes.settle(now, endpoint, revision)
}

// Yield stops running keys under sets older than the revision. Requests that are running continue.
func (ta *Table) Yield(revision uint64) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.homes.yielded = max(ta.homes.yielded, revision)
}

// PendingYields returns the names of former homes that have not yielded, sorted. The attendant asks
// each to Yield to its own revision.
func (ta *Table) PendingYields() []string {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.homes.unsettled(ta.options.Endpoint)
}

// SetRetention changes how long a key is valid after its mint time. 0 keeps the current value.
//
// A longer time must not make keys valid again whose rows have expired: they would count as new and
// run twice. So keys that may have expired stay invalid.
func (ta *Table) SetRetention(keep time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if keep <= 0 || keep == ta.options.Keep {
		return
	}
	if expired := ta.latest.Add(-ta.options.Keep); expired.After(ta.floor) {
		ta.floor = expired
	}
	ta.options.Keep = keep
}

// Len returns the number of keys in the table.
func (ta *Table) Len() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return len(ta.rows)
}

// Expire drops expired keys and periods.
func (ta *Table) Expire(now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.observeTime(now)
	ta.sweep(now)
	ta.homes.dropOld(ta.options.Endpoint, ta.latest.Add(-ta.options.Keep))
}

// sweep drops expired keys that are not running.
func (ta *Table) sweep(now time.Time) {
	if since := now.Sub(ta.swept); since >= 0 && since < sweepEvery {
		return
	}
	ta.swept = now
	for ke, ro := range ta.rows {
		if ro.state != running && ta.latest.After(ro.expire) {
			ta.drop(ro)
			delete(ta.rows, ke)
		}
	}
	for len(ta.answered) > 0 && ta.rows[ta.answered[0]] == nil {
		ta.answered = ta.answered[1:]
	}
}
