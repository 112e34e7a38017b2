package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxRows bounds the requests that are remembered, which are kept in one value
// of some 100 bytes each.
const maxRows = 1000

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

// Check returns what may be done with a request now.
func (ta *Table) Check(di Digest, now time.Time) Verdict { return ta.judge(di, requestPolicy, now) }

// CheckItem returns what may be done with an item of a step now.
func (ta *Table) CheckItem(di Digest, now time.Time) Verdict { return ta.judge(di, itemPolicy, now) }

func (ta *Table) judge(di Digest, po policy, now time.Time) Verdict {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[di]
	if ro == nil || ro.expired(now) {
		return Verdict{}
	}
	return ro.judge(po, now)
}

// RecordCrash notes that a start of an endpoint ended while it ran a request or an item.
func (ta *Table) RecordCrash(di Digest, endpoint string, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.add(Record{AtMS: now.UnixMilli(), Digest: di, Endpoint: endpoint}, now)
}

// RecordSuccess notes that an endpoint ran a request and answered it. One that ended
// under it before did so for another reason, unless the request is barred: that
// takes more than one endpoint that can bear it.
func (ta *Table) RecordSuccess(di Digest, now time.Time) {
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

// MergeUnsaved takes in what another process has not been able to save, which is to be
// saved from here too.
func (ta *Table) MergeUnsaved(res []Record, now time.Time) {
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
