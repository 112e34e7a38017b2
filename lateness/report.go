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

// A Cause is what an item's time went into.
type Cause string

// The causes.
const (
	Waiting      Cause = "waiting for a place"     // no engine had one, or none had the weights
	Regenerated  Cause = "events made again"       // runs whose text was lost
	Lost         Cause = "run lost unseen"         // begun anew by a scheduler that no one told of it: a loss of power
	Slow         Cause = "slow engine"             // beyond the day's usual pace
	Scoring      Cause = "waiting for its score"   // whole, and its reward call not answered
	Listing      Cause = "waiting for the listing" // whole and scored, and not shown yet
	SplitListing Cause = "results listed apart"    // shown, and the trainer had to read on for others or had just been answered
	Trainer      Cause = "waiting for the trainer" // shown, and the step not ended
	Length       Cause = "its own length"          // its events at the day's usual pace
)

// causes are all causes, in the order in which an item meets them.
var causes = []Cause{Waiting, Regenerated, Lost, Slow, Length, Scoring, Listing, SplitListing, Trainer}

// A lateness is a step with what its last item's time went into.
type lateness struct {
	item  *item
	parts map[Cause]time.Duration
	step  *step
}

// main returns the largest cause but the item's length, unless that is all that
// matters.
func (la *lateness) main() Cause {
	rest := slices.DeleteFunc(slices.Clone(causes), func(ca Cause) bool { return ca == Length })
	best := slices.MaxFunc(rest, func(a, b Cause) int { return cmp.Compare(la.parts[a], la.parts[b]) })
	if la.parts[best] < leastPart {
		return Length
	}
	return best
}

// leastPart is how long a cause must have held an item up to be told instead of
// its length: what a step of the longest items may lose before it is late.
const leastPart = 400 * time.Millisecond

// usualPace returns the median time of an event of all runs that ended whole.
func usualPace(steps []*step) time.Duration {
	var paces []time.Duration
	for _, st := range steps {
		for _, it := range st.items {
			for _, sp := range it.spells {
				if events := sp.last - sp.first; sp.running && events >= minEvents && !sp.ended.IsZero() && !sp.lost {
					paces = append(paces, sp.took()/time.Duration(events))
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

// minEvents is how many events a run must have made for its pace to count: the
// prompt's reading is in its time.
const minEvents = 10

// explain follows a step's last item.
func explain(st *step, pace time.Duration) (lateness, bool) {
	it := st.last()
	if it == nil {
		return lateness{}, false
	}
	la := lateness{item: it, parts: map[Cause]time.Duration{}, step: st}
	for i, sp := range it.spells {
		switch {
		case sp.ended.IsZero():
		case !sp.running:
			la.parts[Waiting] += sp.took()
		default:
			la.explainRun(i, pace)
		}
	}
	scored := it.finished()
	la.parts[Scoring] = scored.Sub(it.done)
	shown := scored
	for _, at := range st.listed {
		if !at.Before(scored) {
			shown = at
			break
		}
	}
	la.parts[Listing] = shown.Sub(scored)
	if !st.ended.IsZero() && st.ended.After(shown) {
		la.parts[SplitListing] = st.apart(shown)
		la.parts[Trainer] = st.ended.Sub(shown) - la.parts[SplitListing]
	}
	return la, true
}

// lookEvery is how long after a read that is answered a trainer reads on.
const lookEvery = 500 * time.Millisecond

// apart returns how much of the time from the showing of a step's last item to its
// end is the listing's doing: until the last listing, and until the trainer could
// look again if a listing had answered it just before.
func (st *step) apart(shown time.Time) time.Duration {
	last := shown
	for _, at := range st.listed {
		if at.After(last) && at.Before(st.ended) {
			last = at
		}
	}
	again := time.Duration(0)
	for _, at := range st.answered {
		if at.Before(last) {
			again = max(0, lookEvery-last.Sub(at))
		}
	}
	return last.Sub(shown) + min(again, st.ended.Sub(last))
}

// explainRun divides the time of a run. Events beyond those with which the item's
// next run began were made for nothing.
func (la *lateness) explainRun(i int, pace time.Duration) {
	sp := la.item.spells[i]
	kept := sp.last
	for _, next := range la.item.spells[i+1:] {
		if next.running {
			kept = min(kept, max(next.first, sp.first))
			break
		}
	}
	made := sp.last - sp.first
	lost := sp.last - kept
	if made > 0 && lost > 0 {
		la.parts[Regenerated] += sp.took() * time.Duration(lost) / time.Duration(made)
	}
	usual := pace * time.Duration(kept-sp.first)
	rest := sp.took()
	if made > 0 {
		rest = sp.took() * time.Duration(made-lost) / time.Duration(made)
	}
	la.parts[Length] += min(usual, rest)
	beyond := Slow
	if sp.lost {
		beyond = Lost
	}
	la.parts[beyond] += max(rest-usual, 0)
}

// Report reads log lines and writes, for each step, what its last item waited
// for, and how many late steps each cause has.
func Report(rd io.Reader, wr io.Writer) error {
	steps, err := readSteps(rd)
	if err != nil {
		return err
	}
	pace := usualPace(steps)
	bw := bufio.NewWriter(wr) // keeps the first error for Flush
	_, _ = fmt.Fprintf(bw, "usual pace of an event: %d ms\n\n", pace.Milliseconds())
	_, _ = fmt.Fprintf(bw, "%-16s %-16s %4s %8s %-16s", "step", "model", "no", "took-s", "last item")
	_, _ = fmt.Fprintf(bw, " %7s %7s %7s %7s %7s %7s %7s %7s %7s  %s\n", "wait", "again", "lost", "slow", "length", "score", "list", "apart", "trainer", "cause")
	late := map[Cause]int{}
	for _, st := range steps {
		la, ok := explain(st, pace)
		if !ok {
			_, _ = fmt.Fprintf(bw, "%-16s %-16s %4d no item was whole\n", st.id, st.model, st.number)
			continue
		}
		took := la.step.took(la.item)
		_, _ = fmt.Fprintf(bw, "%-16s %-16s %4d %8.2f %-16s", st.id, st.model, st.number, took.Seconds(), la.item.id)
		for _, ca := range causes {
			_, _ = fmt.Fprintf(bw, " %7.2f", la.parts[ca].Seconds())
		}
		_, _ = fmt.Fprintf(bw, "  %s\n", la.main())
		if took > st.due {
			late[la.main()]++
		}
	}
	_, _ = fmt.Fprintf(bw, "\nsteps that took longer than their due time, by cause:\n")
	for _, ca := range causes {
		_, _ = fmt.Fprintf(bw, "%4d %s\n", late[ca], ca)
	}
	return errors.Wrap(bw.Flush(), "write the report")
}

// took returns how long a step took: to its end, or to its last item's if it has
// not ended.
func (st *step) took(last *item) time.Duration {
	if st.ended.IsZero() {
		return last.done.Sub(st.accepted)
	}
	return st.ended.Sub(st.accepted)
}
