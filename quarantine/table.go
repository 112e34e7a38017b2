package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Limits of what a request may do to its endpoints.
const (
	// suspectStrikes is how many endpoints may end under a request before it
	// rests. One may end for a reason of its own, and the request deserves another;
	// that two in a row did is rarely chance, and a service may have no more than
	// three.
	suspectStrikes = 2
	// suspectRest is how long it rests then, so that both endpoints are back before
	// it may take another one: they start again within some seconds.
	suspectRest = 10 * time.Second
	// suspectLife is how long the ends of endpoints are remembered of a request that
	// has not been barred: clients come back within minutes.
	suspectLife = 10 * time.Minute
	// barStrikes is how many endpoints may end under a request before it is barred.
	barStrikes = 3
	// itemRestStrikes is how many engines may end under an item of a step before it
	// rests between its runs: an item lasts some seconds, and two engines may end in
	// them for reasons of their own. It rests for itemRest, so that no more than two
	// engines of a fleet are down for it.
	itemRestStrikes = 3
	itemRest        = 4 * time.Second
	// itemBarStrikes is how many engines may end before the item is barred. It is
	// given more tries than a caller's request, since its trainer waits for it and
	// can't ask again.
	itemBarStrikes = 6
	// barTime is for how long it is: a day, in which its owners can mend it or the
	// service.
	barTime = 24 * time.Hour
	// maxRows bounds the requests that are remembered, which are kept in one value
	// of some 100 bytes each.
	maxRows = 1000
)

// A Record is something that was seen of a request: an endpoint that ended while
// it ran the request, or an answer.
type Record struct {
	AtMS     int64 // Unix milliseconds, by the clock of the process that saw it
	Digest   Digest
	Endpoint string `cbor:",omitempty"` // the start of the endpoint that ended; empty for an answer
}

// A Verdict is what may be done with a request.
type Verdict struct {
	HeldFor time.Duration // it must not be sent to an endpoint for that long; 0: it may
	Strikes int           // endpoints that ended under it since it was last answered
}

// Held reports whether the request must not be sent to an endpoint now.
func (ve Verdict) Held() bool { return ve.HeldFor > 0 }

// Suspect reports whether an endpoint has ended under the request. It may be at
// one endpoint at a time then: two at once could both end.
func (ve Verdict) Suspect() bool { return ve.Strikes > 0 }

// A row is what is known of a request.
type row struct {
	answered int64            // Unix milliseconds of the last answer
	changed  uint64           // generation of the table at the last change
	strikes  map[string]int64 // Unix milliseconds of its end, by the start of an endpoint
}

// standing returns how many endpoints have ended since the last answer, and when
// the last one did.
func (ro *row) standing() (strikes int, last int64) {
	for _, at := range ro.strikes {
		if at > ro.answered {
			strikes++
			last = max(last, at)
		}
	}
	return strikes, last
}

// expired reports whether a row says nothing any more.
func (ro *row) expired(now time.Time) bool {
	strikes, last := ro.standing()
	life := suspectLife
	if strikes >= barStrikes {
		life = barTime
	}
	return now.Sub(time.UnixMilli(max(last, ro.answered))) > life
}

// A policy says how long something rests after the last endpoint that ended under
// it.
type policy struct {
	bar  int // endpoints after which it rests for barTime
	rest time.Duration
	some int // endpoints after which it rests for rest
}

var (
	requestPolicy = policy{bar: barStrikes, rest: suspectRest, some: suspectStrikes}
	itemPolicy    = policy{bar: itemBarStrikes, rest: itemRest, some: itemRestStrikes}
)

// judge returns what may be done with the request.
func (ro *row) judge(po policy, now time.Time) Verdict {
	strikes, last := ro.standing()
	rest := time.Duration(0)
	switch {
	case strikes >= po.bar:
		rest = barTime
	case strikes >= po.some:
		rest = po.rest
	}
	// Seen by a clock that is ahead, an end holds its request for no longer.
	held := min(rest-now.Sub(time.UnixMilli(last)), rest)
	return Verdict{HeldFor: max(held, 0), Strikes: strikes}
}

// A Table remembers the requests under which endpoints ended. It is merged with
// those of other processes record by record, in any order. The zero Table is empty
// and ready to use, also by several goroutines.
type Table struct {
	generation uint64
	kick       chan struct{}
	mu         sync.Mutex
	rows       map[Digest]*row
	unsaved    map[Record]bool
}

// Judge returns what may be done with a request now.
func (ta *Table) Judge(di Digest, now time.Time) Verdict { return ta.judge(di, requestPolicy, now) }

// JudgeItem returns what may be done with an item of a step now.
func (ta *Table) JudgeItem(di Digest, now time.Time) Verdict { return ta.judge(di, itemPolicy, now) }

func (ta *Table) judge(di Digest, po policy, now time.Time) Verdict {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[di]
	if ro == nil || ro.expired(now) {
		return Verdict{}
	}
	return ro.judge(po, now)
}

// Strike notes that a start of an endpoint ended while it ran a request or an item.
func (ta *Table) Strike(di Digest, endpoint string, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.add(Record{AtMS: now.UnixMilli(), Digest: di, Endpoint: endpoint}, now)
}

// Answered notes that an endpoint ran a request and answered it. One that ended
// under it before did so for another reason, unless the request is barred: that
// takes more than one endpoint that can bear it.
func (ta *Table) Answered(di Digest, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[di]
	if ro == nil {
		return
	}
	if strikes, _ := ro.standing(); strikes == 0 || strikes >= barStrikes {
		return
	}
	ta.add(Record{AtMS: now.UnixMilli(), Digest: di}, now)
}

// add takes a record of this process's own in.
func (ta *Table) add(re Record, now time.Time) {
	if !ta.take(re, now) {
		return
	}
	if ta.unsaved == nil {
		ta.unsaved = map[Record]bool{}
	}
	ta.unsaved[re] = true
	select {
	case ta.kicks() <- struct{}{}:
	default:
	}
}

// kicks returns the channel that tells of records that are not saved.
func (ta *Table) kicks() chan struct{} {
	if ta.kick == nil {
		ta.kick = make(chan struct{}, 1)
	}
	return ta.kick
}

// take takes a record in, and returns whether it says anything new.
func (ta *Table) take(re Record, now time.Time) bool {
	ro := ta.rows[re.Digest]
	known := ro != nil
	if !known {
		ro = &row{strikes: map[string]int64{}}
	}
	switch at, struck := ro.strikes[re.Endpoint]; {
	case re.Endpoint == "" && re.AtMS > ro.answered:
		ro.answered = re.AtMS
	case re.Endpoint != "" && (!struck || re.AtMS < at): // several processes saw it; the first was the nearest
		ro.strikes[re.Endpoint] = re.AtMS
	default:
		return false
	}
	if !known {
		if ro.expired(now) {
			return false
		}
		if ta.rows == nil {
			ta.rows = map[Digest]*row{}
		}
		ta.rows[re.Digest] = ro
		ta.bound(now)
	}
	ta.generation++
	ro.changed = ta.generation
	return true
}

// bound drops what has expired, and beyond the bound what is least suspect.
func (ta *Table) bound(now time.Time) {
	if len(ta.rows) <= maxRows {
		return
	}
	var least Digest
	for di, ro := range ta.rows {
		if ro.expired(now) {
			delete(ta.rows, di)
			continue
		}
		if least == "" || ta.lessSuspect(di, least) {
			least = di
		}
	}
	if len(ta.rows) > maxRows {
		delete(ta.rows, least)
	}
}

func (ta *Table) lessSuspect(di, other Digest) bool {
	strikes, last := ta.rows[di].standing()
	otherStrikes, otherLast := ta.rows[other].standing()
	return cmp.Or(cmp.Compare(strikes, otherStrikes), cmp.Compare(last, otherLast), cmp.Compare(di, other)) < 0
}

// Merge takes in what another process knows and has saved. It returns whether
// anything was new.
func (ta *Table) Merge(res []Record, now time.Time) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	news := false
	for _, re := range res {
		news = ta.take(re, now) || news
	}
	return news
}

// Tell takes in what another process has not been able to save, which is to be
// saved from here too.
func (ta *Table) Tell(res []Record, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for _, re := range res {
		ta.add(re, now)
	}
}

// Records returns all that has not expired, in a fixed order.
func (ta *Table) Records(now time.Time) []Record { return ta.Since(0, now) }

// Since returns the records of requests of which there is news since a generation.
func (ta *Table) Since(generation uint64, now time.Time) []Record {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var res []Record
	for di, ro := range ta.rows {
		if ro.expired(now) {
			delete(ta.rows, di)
			continue
		}
		if ro.changed <= generation {
			continue
		}
		if ro.answered > 0 {
			res = append(res, Record{AtMS: ro.answered, Digest: di})
		}
		for endpoint, at := range ro.strikes {
			res = append(res, Record{AtMS: at, Digest: di, Endpoint: endpoint})
		}
	}
	slices.SortFunc(res, compareRecords)
	return res
}

func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Digest, b.Digest), cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.Endpoint, b.Endpoint))
}

// Generation returns a number that grows with each record that is new.
func (ta *Table) Generation() uint64 {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.generation
}

// Unsaved returns the records that are not known to last.
func (ta *Table) Unsaved() []Record {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	res := make([]Record, 0, len(ta.unsaved))
	for re := range ta.unsaved {
		res = append(res, re)
	}
	slices.SortFunc(res, compareRecords)
	return res
}

// saved takes in that records last.
func (ta *Table) saved(res []Record) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for _, re := range res {
		delete(ta.unsaved, re)
	}
}

// awaitUnsaved returns a channel that tells of records that are not saved.
func (ta *Table) awaitUnsaved() <-chan struct{} {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.kicks()
}
