package lateness

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// A Cause is a cause of delay of an item.
type Cause string

// The causes.
const (
	Waiting      Cause = "waiting for a place"     // no engine had a free slot or the weights
	Regenerated  Cause = "events made again"       // runs whose text was lost
	Lost         Cause = "run lost unseen"         // the end of the run was not logged, as after a power loss
	Slow         Cause = "slow engine"             // generation slower than the median pace
	Scoring      Cause = "waiting for its score"   // complete, and the reward call pending
	Listing      Cause = "waiting for the listing" // complete and scored, but not listed yet
	SplitListing Cause = "results listed apart"    // listed, but the trainer had to read again for other results
	Trainer      Cause = "waiting for the trainer" // listed, and the step not ended
	Length       Cause = "its own length"          // generation at the median pace
)

// causes are all causes, in the order of the report's columns.
var causes = []Cause{Waiting, Regenerated, Lost, Slow, Length, Scoring, Listing, SplitListing, Trainer}

// An analysis divides the time of a step's last item by cause.
type analysis struct {
	item  *item
	parts map[Cause]time.Duration
	step  *step
}

// mainCause returns the cause with the largest part other than Length, or Length if all others are
// below minPart.
func (an *analysis) mainCause() Cause {
	others := slices.DeleteFunc(slices.Clone(causes), func(ca Cause) bool { return ca == Length })
	best := slices.MaxFunc(others, func(a, b Cause) int { return cmp.Compare(an.parts[a], an.parts[b]) })
	if an.parts[best] < minPart {
		return Length
	}
	return best
}

// minPart is the minimum delay of a cause to be the main one instead of Length.
const minPart = 400 * time.Millisecond

// medianPace returns the median time per event of all finished runs, or 0 if there is none.
func medianPace(steps []*step) time.Duration {
	var paces []time.Duration
	for _, st := range steps {
		for _, it := range st.items {
			for _, ph := range it.phases {
				if events := ph.last - ph.first; ph.running && events >= minEvents && !ph.ended.IsZero() && !ph.lost {
					paces = append(paces, ph.duration()/time.Duration(events))
				}
			}
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// minEvents is the minimum number of events of a run for its pace to count, as its time includes the
// processing of the prompt.
const minEvents = 10

// analyze divides the time of a step's last item by cause. It returns false if no item is complete.
func analyze(st *step, pace time.Duration) (analysis, bool) {
	it := st.lastItem()
	if it == nil {
		return analysis{}, false
	}
	an := analysis{item: it, parts: map[Cause]time.Duration{}, step: st}
	for i, ph := range it.phases {
		switch {
		case ph.ended.IsZero():
		case !ph.running:
			an.parts[Waiting] += ph.duration()
		default:
			an.analyzeRun(i, pace)
		}
	}
	scored := it.finished()
	an.parts[Scoring] = scored.Sub(it.done)
	listed := scored
	for _, at := range st.listed {
		if !at.Before(scored) {
			listed = at
			break
		}
	}
	an.parts[Listing] = listed.Sub(scored)
	if !st.ended.IsZero() && st.ended.After(listed) {
		an.parts[SplitListing] = st.splitListing(listed)
		an.parts[Trainer] = st.ended.Sub(listed) - an.parts[SplitListing]
	}
	return an, true
}

// pollInterval is the delay of a trainer's next read after a read with results.
const pollInterval = 500 * time.Millisecond

// splitListing returns the part of the time from the listing of a step's last item to the step's end
// that is caused by later listings: until the last one, plus the delay of the trainer's next read if
// it read an earlier one just before.
func (st *step) splitListing(listed time.Time) time.Duration {
	last := listed
	for _, at := range st.listed {
		if at.After(last) && at.Before(st.ended) {
			last = at
		}
	}
	poll := time.Duration(0)
	for _, at := range st.answered {
		if at.Before(last) {
			poll = max(0, pollInterval-last.Sub(at))
		}
	}
	return last.Sub(listed) + min(poll, st.ended.Sub(last))
}

// analyzeRun divides the time of a run. Events beyond those with which the item's next run started
// were lost.
func (an *analysis) analyzeRun(i int, pace time.Duration) {
	ph := an.item.phases[i]
	kept := ph.last
	for _, next := range an.item.phases[i+1:] {
		if next.running {
			kept = min(kept, max(next.first, ph.first))
			break
		}
	}
	made := ph.last - ph.first
	lost := ph.last - kept
	if made > 0 && lost > 0 {
		an.parts[Regenerated] += ph.duration() * time.Duration(lost) / time.Duration(made)
	}
	usual := pace * time.Duration(kept-ph.first)
	rest := ph.duration()
	if made > 0 {
		rest = ph.duration() * time.Duration(made-lost) / time.Duration(made)
	}
	an.parts[Length] += min(usual, rest)
	beyond := Slow
	if ph.lost {
		beyond = Lost
	}
	an.parts[beyond] += max(rest-usual, 0)
}

// Report reads log lines, and writes a table of the delays of each step's last item by cause, and the
// number of late steps by cause.
func Report(rd io.Reader, wr io.Writer) error {
	steps, err := readSteps(rd)
	if err != nil {
		return err
	}
	pace := medianPace(steps)
	bw := bufio.NewWriter(wr) // keeps the first error for Flush
	_, _ = fmt.Fprintf(bw, "usual pace of an event: %d ms\n\n", pace.Milliseconds())
	_, _ = fmt.Fprintf(bw, "%-16s %-16s %4s %8s %-16s", "step", "model", "no", "took-s", "last item")
	_, _ = fmt.Fprintf(bw, " %7s %7s %7s %7s %7s %7s %7s %7s %7s  %s\n", "wait", "again", "lost", "slow", "length", "score", "list", "apart", "trainer", "cause")
	late := map[Cause]int{}
	for _, st := range steps {
		an, ok := analyze(st, pace)
		if !ok {
			_, _ = fmt.Fprintf(bw, "%-16s %-16s %4d no item was whole\n", st.id, st.model, st.number)
			continue
		}
		took := an.step.took(an.item)
		_, _ = fmt.Fprintf(bw, "%-16s %-16s %4d %8.2f %-16s", st.id, st.model, st.number, took.Seconds(), an.item.id)
		for _, ca := range causes {
			_, _ = fmt.Fprintf(bw, " %7.2f", an.parts[ca].Seconds())
		}
		_, _ = fmt.Fprintf(bw, "  %s\n", an.mainCause())
		if took > st.due {
			late[an.mainCause()]++
		}
	}
	_, _ = fmt.Fprintf(bw, "\nsteps that took longer than their due time, by cause:\n")
	for _, ca := range causes {
		_, _ = fmt.Fprintf(bw, "%4d %s\n", late[ca], ca)
	}
	return errors.Wrap(bw.Flush(), "write the report")
}

// took returns the duration of a step until its end, or until its last item was complete if it
// has not ended.
func (st *step) took(last *item) time.Duration {
	if st.ended.IsZero() {
		return last.done.Sub(st.accepted)
	}
	return st.ended.Sub(st.accepted)
}
