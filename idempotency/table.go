package idempotency

import (
	"sync"
	"time"

	"wisteriacroft/outcome"
)

// sweepEvery is the least time between two searches for expired keys.
const sweepEvery = time.Second

// A Request is one arrival of a key at the attendant.
type Request struct {
	Ask      bool   // don't run it, and never after this: only say what became of it
	Digest   uint64 // of method, path and body: a key names one request only
	ID       string // request id, for refusals
	Key      Key
	Minted   bool   // by the entry, for a caller that gave no key: only that entry ever sends it, one attempt at a time
	Revision uint64 // by which the requester chose this home
}

// A Decision says what to do with a request.
type Decision struct {
	Answer  *Response        // recorded: hand it out again
	Refusal *outcome.Refusal // with its true fate
	Run     bool             // run it, then call Finish, MarkUnknown or Release
}

// A Table holds the keys that came to one endpoint. It is safe for concurrent
// use, does no I/O and reads no clock after NewTable.
type Table struct {
	answered []Key     // whose answers are held, oldest first
	floor    time.Time // rows of keys minted until then may have expired
	homes    homes
	latest   time.Time // highest time seen
	mu       sync.Mutex
	options  Options
	rows     map[Key]*row
	size     int // bytes of the answers held
	swept    time.Time
}

// NewTable returns an empty table. It runs no caller's key before SetHomes.
func NewTable(op Options) *Table {
	return &Table{options: op.withDefaults(), rows: make(map[Key]*row)}
}

// Begin decides over one arrival of a key. A key that it lets run is in
// progress until Finish, MarkUnknown or Release.
//
// Call it before all other reasons to refuse: a repeat that is told not-run
// for want of a place, though the first one ran, would be told an untruth.
func (ta *Table) Begin(now time.Time, req Request) Decision {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.see(now)
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

// refuseFull refuses a key for which there is no row. A key that is asked
// about can't be kept from running later without one, so its fate is unknown.
func (ta *Table) refuseFull(req Request) Decision {
	const message = "table of idempotency keys is full"
	de := refuse(outcome.OutcomeUnknown, req, message)
	if !req.Ask {
		de.Refusal = outcome.NewRefusal(outcome.Overloaded, req.ID, message)
	}
	de.Refusal.RetryAfter = sweepEvery.String()
	return de
}

// bar answers the question for a key that isn't known here, and keeps the key
// from running. The request that is asked about may still be on its way over a
// connection that fell silent: without the row it would run after the answer
// has said that it did not.
func (ta *Table) bar(now time.Time, req Request) Decision {
	ro := &row{
		digest: req.Digest,
		expire: req.Key.MintedAt().Add(ta.options.Keep),
		state:  never,
	}
	if ta.checkTime(now, req) != nil {
		ro.state = lost
	}
	ta.rows[req.Key] = ro
	return ta.repeat(ro, req)
}

// repeat decides over a key that came before.
func (ta *Table) repeat(ro *row, req Request) Decision {
	switch {
	case ro.digest != req.Digest:
		return refuse(outcome.BadRequest, req, "idempotency key came before with another request")
	case ro.state == never:
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

// refuse returns a refusal that claims nothing of the key.
func refuse(code outcome.Code, req Request, message string) Decision {
	re := outcome.NewRefusal(code, req.ID, message)
	re.Fate = outcome.Unknown.String()
	return Decision{Refusal: re}
}

// see notes the highest time seen. Were the clock to jump ahead and back, a
// key whose row was dropped at the high time would look young again.
func (ta *Table) see(now time.Time) {
	if now.After(ta.latest) {
		ta.latest = now
	}
}

// Finish records the whole answer of a key that ran. With nil, the key ran
// but the answer can't be handed out again.
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

// evict drops the oldest answers while all of them take too much. Their keys
// stay, so that a repeat still doesn't run.
func (ta *Table) evict() {
	for ta.size > ta.options.MaxAnswersSize {
		ta.drop(ta.rows[ta.answered[0]])
		ta.answered = ta.answered[1:]
	}
}

// drop forgets the answer of a row, if there is one.
func (ta *Table) drop(ro *row) {
	if ro == nil || ro.answer == nil {
		return
	}
	ta.size -= ro.answer.size()
	ro.answer = nil
}

// MarkUnknown records that the fate of a key is unknown: it never runs again here.
func (ta *Table) MarkUnknown(_ time.Time, ke Key) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[ke]
	if ro == nil || ro.state != running {
		return
	}
	ro.state = lost
}

// Release records that a key was never written to the endpoint, so that a
// repeat may run.
func (ta *Table) Release(_ time.Time, ke Key) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ro := ta.rows[ke]; ro != nil && ro.state == running {
		delete(ta.rows, ke)
	}
}

// SetHomes takes in the set of the revision in force, and the sets before it
// that may still be believed in somewhere, oldest first. A set with the same
// endpoints as the one before it is no change.
func (ta *Table) SetHomes(_ time.Time, set EndpointSet, former []EndpointSet) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.homes.take(set, former)
}

// RecordYield records that an endpoint's attendant has promised, by Yield, to run
// nothing under sets older than the revision, or that its instance is RevisionGone.
// The time is when this was learned.
func (ta *Table) RecordYield(now time.Time, endpoint string, revision uint64) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.homes.settle(now, endpoint, revision)
}

// Yield promises to run no key under a set older than the revision, from now
// on. What runs already ends, and its key can't be minted again.
func (ta *Table) Yield(revision uint64) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.homes.yielded = max(ta.homes.yielded, revision)
}

// PendingYields returns the former homes whose word is missing, by name, so that
// the attendant asks them to Yield to the revision that it holds.
func (ta *Table) PendingYields() []string {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.homes.unsettled(ta.options.Endpoint)
}

// SetRetention changes how long after its mint time a key is served. With 0, it
// stays as it is.
//
// Were the time just raised, a key that ran and expired under the shorter one
// would seem new, and run twice. So what may have expired before stays too old.
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

// Len returns how many keys the table holds.
func (ta *Table) Len() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return len(ta.rows)
}

// Expire drops what has expired.
func (ta *Table) Expire(now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.see(now)
	ta.sweep(now)
	ta.homes.forget(ta.options.Endpoint, ta.latest.Add(-ta.options.Keep))
}

// sweep drops the keys that are too old to be served. What runs stays.
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
