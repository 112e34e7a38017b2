package lateness

import (
	"io"
	"slices"
	"time"
)

// Log messages that are evaluated.
const (
	msgAccepted = "step accepted"
	msgEnded    = "step ended"
	msgGivenUp  = "run given up"
	msgListed   = "results listed"
	msgPlaced   = "item placed"
	msgRead     = "results read"
	msgReward   = "reward call answered"
	msgRunEnded = "run ended"
	msgTaken    = "run taken over"
)

// stateComplete is the state of a run whose text is complete.
const stateComplete = "complete"

// outcomeAnswered is the outcome of a reward call that returned a score.
const outcomeAnswered = "answered"

// A phase is a period in which an item waits or runs at an engine.
type phase struct {
	started, ended time.Time
	first, last    int // number of events at its start and end
	running        bool
	lost           bool // a run without a logged end before the item's next one
}

// duration returns the length of a phase.
func (ph phase) duration() time.Duration { return ph.ended.Sub(ph.started) }

// An item is the history of an item.
type item struct {
	id     string
	done   time.Time // when it was complete, or zero
	scored time.Time // or zero
	phases []phase
}

// startPhase ends the item's current phase and starts another one.
func (it *item) startPhase(at time.Time, events int, running bool) {
	it.endPhase(at, events)
	it.phases = append(it.phases, phase{started: at, first: events, last: events, running: running})
}

// handlePlaced starts a run. If the previous run has no logged end, it was lost together with its
// attendant and the former scheduler, including events that were not in a checkpoint.
func (it *item) handlePlaced(li line) {
	if ph := &it.phases[len(it.phases)-1]; ph.running && ph.ended.IsZero() && ph.last <= max(ph.first, li.After) {
		ph.lost, ph.last = true, max(ph.first, li.After)
	}
	it.startPhase(li.Time, li.After, true)
}

func (it *item) endPhase(at time.Time, events int) {
	if count := len(it.phases); count > 0 && it.phases[count-1].ended.IsZero() {
		ph := &it.phases[count-1]
		ph.ended, ph.last = at, max(events, ph.last)
	}
}

// addEvents sets the number of events of a run that ended before its text was complete. The next run
// shows how many of them were kept.
func (it *item) addEvents(events int) {
	if ph := &it.phases[len(it.phases)-1]; ph.running && ph.ended.IsZero() {
		ph.last = max(ph.last, events)
	}
}

// handleRunEnded applies the end of a run.
func (it *item) handleRunEnded(li line) {
	switch {
	case !it.done.IsZero():
	case li.State == stateComplete:
		it.done = li.Time
		it.endPhase(li.Time, li.Events)
	default:
		it.addEvents(li.Events)
	}
}

// A step is the history of a step.
type step struct {
	id              string
	accepted, ended time.Time
	answered        []time.Time // reads that waited and returned results
	due             time.Duration
	items           map[string]*item
	listed          []time.Time
	model           string
	number          int
}

// item returns an item's history, which starts with waiting since the step's acceptance.
func (st *step) item(id string) *item {
	it, ok := st.items[id]
	if !ok {
		it = &item{id: id, phases: []phase{{started: st.accepted}}}
		st.items[id] = it
	}
	return it
}

// apply applies a log entry.
func (st *step) apply(li line) {
	switch li.Msg {
	case msgEnded:
		if st.ended.IsZero() {
			st.ended = li.Time
		}
	case msgListed:
		st.listed = append(st.listed, li.Time)
	case msgRead:
		if li.Allowed > 0 && li.Results > 0 {
			st.answered = append(st.answered, li.Time)
		}
	case msgPlaced:
		st.item(li.Item).handlePlaced(li)
	case msgTaken:
		st.item(li.Item).startPhase(li.Time, li.Events, true)
	case msgGivenUp:
		st.item(li.Item).startPhase(li.Time, li.Events, false)
	case msgRunEnded:
		st.item(li.Item).handleRunEnded(li)
	case msgReward:
		if li.Outcome == outcomeAnswered {
			st.item(li.Item).scored = li.Time
		}
	}
}

// finished returns when an item was complete and, if it has a score, scored.
func (it *item) finished() time.Time {
	if it.scored.After(it.done) {
		return it.scored
	}
	return it.done
}

// lastItem returns the item that finished last before the step's end, or nil.
func (st *step) lastItem() *item {
	var best *item
	for _, it := range st.items {
		at := it.finished()
		if it.done.IsZero() || !st.ended.IsZero() && at.After(st.ended) {
			continue
		}
		if best == nil || at.After(best.finished()) || at.Equal(best.finished()) && it.id < best.id {
			best = it
		}
	}
	return best
}

// readSteps returns the steps in the log, in the order of their acceptance.
func readSteps(rd io.Reader) ([]*step, error) {
	steps := map[string]*step{}
	var order []*step
	var lines []line
	if err := readLines(rd, func(li line) { lines = append(lines, li) }); err != nil {
		return nil, err
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.Time.Compare(b.Time) })
	for _, li := range lines {
		st, ok := steps[li.Step]
		if !ok && li.Msg == msgAccepted {
			st = &step{
				accepted: li.Time, due: time.Duration(li.DueMS) * time.Millisecond, id: li.Step, items: map[string]*item{},
				model: li.Model, number: li.Number,
			}
			steps[li.Step] = st
			order = append(order, st)
		}
		if st != nil {
			st.apply(li)
		}
	}
	return order, nil
}
