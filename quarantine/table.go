package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wisteriacroft/broadcast"
)

// maxRows bounds the recorded requests, as all are stored in one value.
const maxRows = 1000

// A Table records the requests that crashed endpoints. Records of other processes can be merged
// in any order. The zero value is empty and ready to use. It is safe for concurrent use.
type Table struct {
	// Spread is when this process tries a request that may crash endpoints, compared with others, from 0 to 1. It must be
	// set before use.
	Spread float64

	changes    broadcast.Signal
	generation uint64
	wake       chan struct{}
	mu         sync.Mutex
	rows       map[Digest]*row
	unsaved    map[Record]bool
}

// Check returns whether a request may be sent now.
func (ta *Table) Check(di Digest, now time.Time) Verdict {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[di]
	if ro == nil || ro.expired(now) {
		return Verdict{}
	}
	return ro.verdict(ta.Spread, now)
}

// RecordCrash records that an incarnation of an endpoint crashed while it ran a request.
func (ta *Table) RecordCrash(di Digest, endpoint string, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.add(Record{AtMS: now.UnixMilli(), Digest: di, Endpoint: endpoint}, now)
}

// RecordSuccess records that an endpoint completed a request, so that earlier crashes are assumed
// to have had another cause. It does not unblock a blocked request.
func (ta *Table) RecordSuccess(di Digest, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[di]
	if ro == nil {
		return
	}
	if crashes, _ := ro.summary(); crashes == 0 || crashes >= blockThreshold {
		return
	}
	ta.add(Record{AtMS: now.UnixMilli(), Digest: di}, now)
}

// add merges a record that is to be saved by this process.
func (ta *Table) add(re Record, now time.Time) {
	if !ta.mergeRecord(re, now) {
		return
	}
	if ta.unsaved == nil {
		ta.unsaved = map[Record]bool{}
	}
	ta.unsaved[re] = true
	select {
	case ta.wakeChannel() <- struct{}{}:
	default:
	}
}

// wakeChannel returns the channel that is signaled when there are unsaved records.
func (ta *Table) wakeChannel() chan struct{} {
	if ta.wake == nil {
		ta.wake = make(chan struct{}, 1)
	}
	return ta.wake
}

// mergeRecord merges a record, and reports whether it changed anything.
func (ta *Table) mergeRecord(re Record, now time.Time) bool {
	ro := ta.rows[re.Digest]
	known := ro != nil
	if !known {
		ro = &row{crashes: map[string]int64{}}
	}
	switch at, recorded := ro.crashes[re.Endpoint]; {
	case re.Endpoint == "" && re.AtMS > ro.succeededAt:
		ro.succeededAt = re.AtMS
	case re.Endpoint != "" && (!recorded || re.AtMS < at): // of several observations the earliest is the most accurate
		ro.crashes[re.Endpoint] = re.AtMS
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
		ta.evict(now)
	}
	ta.generation++
	ro.changed = ta.generation
	ta.changes.Notify()
	return true
}

// evict removes expired rows, and if there are still too many, the least suspect one.
func (ta *Table) evict(now time.Time) {
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
	crashes, last := ta.rows[di].summary()
	otherCrashes, otherLast := ta.rows[other].summary()
	return cmp.Or(cmp.Compare(crashes, otherCrashes), cmp.Compare(last, otherLast), cmp.Compare(di, other)) < 0
}

// Merge merges records that another process has saved, and reports whether any was new.
func (ta *Table) Merge(res []Record, now time.Time) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	changed := false
	for _, re := range res {
		changed = ta.mergeRecord(re, now) || changed
	}
	return changed
}

// MergeUnsaved merges records that another process could not save, to be saved by this one too.
func (ta *Table) MergeUnsaved(res []Record, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for _, re := range res {
		ta.add(re, now)
	}
}

// Records returns all records that have not expired, in a deterministic order.
func (ta *Table) Records(now time.Time) []Record { return ta.Since(0, now) }

// Since returns the records of the requests that have changed since a generation.
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
		if ro.succeededAt > 0 {
			res = append(res, Record{AtMS: ro.succeededAt, Digest: di})
		}
		for endpoint, at := range ro.crashes {
			res = append(res, Record{AtMS: at, Digest: di, Endpoint: endpoint})
		}
	}
	slices.SortFunc(res, compareRecords)
	return res
}

// Generation returns a number that increases with each new record.
func (ta *Table) Generation() uint64 {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.generation
}

// Changed returns a channel that is closed at the next new record.
func (ta *Table) Changed() <-chan struct{} { return ta.changes.Changed() }

// Unsaved returns the records that are not known to be saved.
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

// markSaved removes records from the unsaved ones.
func (ta *Table) markSaved(res []Record) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for _, re := range res {
		delete(ta.unsaved, re)
	}
}

// unsavedSignal returns a channel that is signaled when there are unsaved records.
func (ta *Table) unsavedSignal() <-chan struct{} {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.wakeChannel()
}
