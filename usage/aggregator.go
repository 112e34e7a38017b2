package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times of deciding on a window, after its end.
const (
	// leastWait is for what is on its way: a push gathers starts for a while, and clocks
	// agree but for a little.
	leastWait = 200 * time.Millisecond
	// mostWait is for entries that can't be reached. Reports are due some 10 s after
	// their windows' ends; this leaves time for a change of the holder.
	mostWait = 5 * time.Second
	// sourceLife is for how long an entry that is not heard of is waited for: longer
	// than the time between two pushes of one that has nothing to tell, a window.
	sourceLife = 2 * mostWait
	// maxBehind is how many windows that passed without a holder are reported. What
	// came before is not known any more.
	maxBehind = 12
	// keptReports is how many windows' reports are kept after they were sent, for a
	// successor to send again.
	keptReports = 4
)

// A Source is one start of an entry, as the holder knows it.
type Source struct {
	HeardAt  int64  // Unix microseconds of true time
	Instance string `cbor:",omitempty"`
	Lasting  uint64 // batches that are counted
	Settled  int64  // Unix microseconds; all that began before is counted
}

// A Record is what lasts of the counts.
type Record struct {
	Epoch   uint64 // of the holder that wrote it
	Next    Window // the first that is not decided
	Open    map[Window]map[string]uint64
	Reports []Report // decided, the oldest first
	Sender  string   // address of the holder that wrote it
	Sent    Window   // reports before it were taken
	Sources map[string]Source
}

// An Aggregator counts, and decides what is reported. It holds no clock: times are true time
// as the caller knows it. The zero Aggregator is empty; Size must be set.
type Aggregator struct {
	Size time.Duration // of a window

	record Record
	dirty  bool // there is more than what lasts
}

// load replaces what the book holds by what lasts.
func (bo *Aggregator) load(rec Record) {
	bo.record, bo.dirty = rec.clone(), false
	if bo.record.Open == nil {
		bo.record.Open = map[Window]map[string]uint64{}
	}
	if bo.record.Sources == nil {
		bo.record.Sources = map[string]Source{}
	}
}

// clone returns a copy that shares nothing that the book changes.
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

// Apply takes an entry's push in, and returns how many starts came too late.
//
// A batch that was counted before is passed over: an entry repeats what it does not
// know to last, to a new holder above all.
func (bo *Aggregator) Apply(rq PushRequest, now time.Time) (late uint64) {
	so := bo.record.Sources[rq.Boot]
	when := func(at time.Duration) time.Time { return now.Add(at - rq.Now) }
	for _, ba := range rq.Batches {
		if ba.Number <= so.Lasting {
			continue
		}
		so.Lasting = ba.Number
		bo.dirty = true
		for _, st := range ba.Starts {
			late += bo.count(st.Customer, WindowOf(when(st.At), bo.Size))
		}
	}
	so.HeardAt, so.Instance, so.Settled = now.UnixMicro(), rq.Instance, when(rq.Settled).UnixMicro()
	if rq.Final {
		so.Settled = now.Add(sourceLife).UnixMicro()
	}
	bo.record.Sources[rq.Boot] = so
	return late
}

// count counts a start, and returns 1 if its window is decided already.
func (bo *Aggregator) count(customer string, wi Window) uint64 {
	if wi < bo.record.Next {
		return 1
	}
	counts := bo.record.Open[wi]
	if counts == nil {
		counts = map[string]uint64{}
		bo.record.Open[wi] = counts
	}
	counts[customer]++
	return 0
}

// Decide decides on the windows that are over, and returns their reports.
//
// A window waits for all entries that were heard of late to have told what began in
// it, so that a count is whole, but no longer than mostWait: one that was killed
// never tells.
func (bo *Aggregator) Decide(now time.Time) []Report {
	current := WindowOf(now, bo.Size)
	if bo.record.Next == 0 {
		bo.record.Next = current
	}
	if behind := current - maxBehind; bo.record.Next < behind {
		bo.record.Next = behind
	}
	var res []Report
	for bo.record.Next < current && bo.ready(bo.record.Next, now) {
		wi := bo.record.Next
		re := Report{Counts: bo.record.Open[wi], Window: wi}
		if re.Counts == nil {
			re.Counts = map[string]uint64{}
		}
		bo.record.Reports = append(bo.record.Reports, re)
		bo.record.Next++
		res = append(res, re)
		bo.dirty = true
	}
	if len(res) > 0 {
		bo.prune(now)
	}
	return res
}

// ready reports whether a window can be decided.
func (bo *Aggregator) ready(wi Window, now time.Time) bool {
	over := now.Sub(wi.End(bo.Size))
	if over < leastWait {
		return false
	}
	return over >= mostWait || len(bo.missing(wi, now)) == 0
}

// missing returns the instances whose entries may have more to tell of a window.
func (bo *Aggregator) missing(wi Window, now time.Time) []string {
	var out []string
	for _, so := range bo.record.Sources {
		if now.Sub(time.UnixMicro(so.HeardAt)) < sourceLife && time.UnixMicro(so.Settled).Before(wi.End(bo.Size)) {
			out = append(out, so.Instance)
		}
	}
	slices.Sort(out)
	return out
}

// prune drops what is not needed any more.
func (bo *Aggregator) prune(now time.Time) {
	maps.DeleteFunc(bo.record.Open, func(wi Window, _ map[string]uint64) bool { return wi < bo.record.Next })
	maps.DeleteFunc(bo.record.Sources, func(_ string, so Source) bool {
		return now.Sub(time.UnixMicro(so.HeardAt)) > 2*batchLife
	})
	for len(bo.record.Reports) > keptReports && bo.record.Reports[0].Window < bo.record.Sent {
		bo.record.Reports = bo.record.Reports[1:]
	}
	if excess := len(bo.record.Reports) - keptReports - maxBehind; excess > 0 {
		bo.record.Reports = bo.record.Reports[excess:]
	}
}

// unsent returns the reports that no one is known to have taken, the oldest first.
func (bo *Aggregator) unsent() []Report {
	var res []Report
	for _, re := range bo.record.Reports {
		if re.Window >= bo.record.Sent {
			res = append(res, re)
		}
	}
	slices.SortFunc(res, func(a, b Report) int { return cmp.Compare(a.Window, b.Window) })
	return res
}

// sent takes in that a report was taken.
func (bo *Aggregator) sent(wi Window) { bo.record.Sent = max(bo.record.Sent, wi+1) }
