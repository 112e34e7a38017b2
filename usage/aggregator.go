package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Timing of the final count of a window, after its end.
const (
	// minWait allows for the delay of batches and the inaccuracy of clocks.
	minWait = 200 * time.Millisecond
	// maxWait bounds the wait for unreachable entries. Reports are due about 10 s after the
	// end of a window; this leaves time for a change of the holder.
	maxWait = 5 * time.Second
	// sourceTTL is how long an unreachable entry is waited for. It is longer than the interval
	// of pushes of an idle entry, a window.
	sourceTTL = 2 * maxWait
	// maxBacklog bounds the windows without a holder that are reported.
	maxBacklog = 12
	// retainedReports is the number of sent reports that are kept for a successor to send
	// again.
	retainedReports = 4
)

// A Source is the state of one incarnation of an entry.
type Source struct {
	HeardAt  int64  // last push, in Unix microseconds of true time
	Instance string `cbor:",omitempty"`
	Lasting  uint64 // number of the last counted batch
	Settled  int64  // Unix microseconds; all earlier starts are counted
}

// A Record is the saved state of the counts.
type Record struct {
	Epoch   uint64 // of the holder that wrote it
	Next    Window // the first without a report
	Open    map[Window]map[string]uint64
	Reports []Report // the oldest first
	Sender  string   // address of the holder that wrote it
	Sent    Window   // all earlier reports were accepted
	Sources map[string]Source
}

// An Aggregator counts starts by window and creates the reports. It has no clock: its methods get
// the true time. The zero value is empty; Size must be set.
type Aggregator struct {
	Size time.Duration // of a window

	record Record
	dirty  bool // record has unsaved changes
}

// load replaces the state with a saved record.
func (ag *Aggregator) load(rec Record) {
	ag.record, ag.dirty = rec.clone(), false
	if ag.record.Open == nil {
		ag.record.Open = map[Window]map[string]uint64{}
	}
	if ag.record.Sources == nil {
		ag.record.Sources = map[string]Source{}
	}
}

// clone returns a copy that shares nothing that an Aggregator modifies.
func (rec Record) clone() Record {
	out := rec
	out.Open = map[Window]map[string]uint64{}
	for wi, counts := range rec.Open {
		out.Open[wi] = maps.Clone(counts)
	}
	out.Reports = slices.Clone(rec.Reports)
	out.Sources = maps.Clone(rec.Sources)
	return out
}

// Apply counts an entry's push, and returns how many starts came too late.
//
// A batch that was counted before is skipped: an entry sends batches again until they are
// acknowledged.
func (ag *Aggregator) Apply(rq PushRequest, now time.Time) (late uint64) {
	so := ag.record.Sources[rq.Boot]
	when := func(at time.Duration) time.Time { return now.Add(at - rq.Now) }
	for _, ba := range rq.Batches {
		if ba.Number <= so.Lasting {
			continue
		}
		so.Lasting = ba.Number
		ag.dirty = true
		for _, st := range ba.Starts {
			late += ag.count(st.Customer, WindowOf(when(st.At), ag.Size))
		}
	}
	so.HeardAt, so.Instance, so.Settled = now.UnixMicro(), rq.Instance, when(rq.Settled).UnixMicro()
	if rq.Final {
		so.Settled = now.Add(sourceTTL).UnixMicro()
	}
	ag.record.Sources[rq.Boot] = so
	return late
}

// count counts a start, or returns 1 if its window already has a report.
func (ag *Aggregator) count(customer string, wi Window) uint64 {
	if wi < ag.record.Next {
		return 1
	}
	counts := ag.record.Open[wi]
	if counts == nil {
		counts = map[string]uint64{}
		ag.record.Open[wi] = counts
	}
	counts[customer]++
	return 0
}

// Decide creates and returns the reports of the windows that can be finalized.
//
// A window is finalized once all recently seen entries have pushed its starts, but after maxWait at
// the latest, as an entry that was killed never does.
func (ag *Aggregator) Decide(now time.Time) []Report {
	current := WindowOf(now, ag.Size)
	if ag.record.Next == 0 {
		ag.record.Next = current
	}
	if behind := current - maxBacklog; ag.record.Next < behind {
		ag.record.Next = behind
	}
	var res []Report
	for ag.record.Next < current && ag.ready(ag.record.Next, now) {
		wi := ag.record.Next
		re := Report{Counts: ag.record.Open[wi], Window: wi}
		if re.Counts == nil {
			re.Counts = map[string]uint64{}
		}
		ag.record.Reports = append(ag.record.Reports, re)
		ag.record.Next++
		res = append(res, re)
		ag.dirty = true
	}
	if len(res) > 0 {
		ag.prune(now)
	}
	return res
}

// ready reports whether a window can be finalized.
func (ag *Aggregator) ready(wi Window, now time.Time) bool {
	over := now.Sub(wi.End(ag.Size))
	if over < minWait {
		return false
	}
	return over >= maxWait || len(ag.missing(wi, now)) == 0
}

// missing returns the instances of the entries that may have more starts of a window.
func (ag *Aggregator) missing(wi Window, now time.Time) []string {
	var out []string
	for _, so := range ag.record.Sources {
		if now.Sub(time.UnixMicro(so.HeardAt)) < sourceTTL && time.UnixMicro(so.Settled).Before(wi.End(ag.Size)) {
			out = append(out, so.Instance)
		}
	}
	slices.Sort(out)
	return out
}

// prune removes state that is no longer needed.
func (ag *Aggregator) prune(now time.Time) {
	maps.DeleteFunc(ag.record.Open, func(wi Window, _ map[string]uint64) bool { return wi < ag.record.Next })
	maps.DeleteFunc(ag.record.Sources, func(_ string, so Source) bool {
		return now.Sub(time.UnixMicro(so.HeardAt)) > 2*batchTTL
	})
	for len(ag.record.Reports) > retainedReports && ag.record.Reports[0].Window < ag.record.Sent {
		ag.record.Reports = ag.record.Reports[1:]
	}
	if excess := len(ag.record.Reports) - retainedReports - maxBacklog; excess > 0 {
		ag.record.Reports = ag.record.Reports[excess:]
	}
}

// unsent returns the reports that are not known to be accepted, the oldest first.
func (ag *Aggregator) unsent() []Report {
	var res []Report
	for _, re := range ag.record.Reports {
		if re.Window >= ag.record.Sent {
			res = append(res, re)
		}
	}
	slices.SortFunc(res, func(a, b Report) int { return cmp.Compare(a.Window, b.Window) })
	return res
}

// markSent records that a report was accepted.
func (ag *Aggregator) markSent(wi Window) { ag.record.Sent = max(ag.record.Sent, wi+1) }
