package runner

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// A run is one run of an item.
type run struct {
	startedAt   time.Time
	cancel      context.CancelFunc
	detail      string
	ended       time.Time
	endpoint    string
	engineEnded bool // when the run broke off
	events      []Event
	key         Key
	ackedState  State // as acknowledged by the scheduler
	score       string
	ackedEvents int // number of acknowledged events
	state       State
	acked       bool // the scheduler has acknowledged the run
	stopped     bool
}

// unacked reports whether the run has changes that the scheduler has not acknowledged.
func (ru *run) unacked() bool {
	return !ru.acked || ru.ackedEvents < len(ru.events) || ru.ackedState != ru.state
}

// launch starts a run. A repeated request for the same key has no effect.
func (rn *Runner) launch(rr RunRequest) {
	if _, ok := rn.runs[rr.Key]; ok {
		return
	}
	rn.dropOldest()
	ctx, cancel := rn.newRunContext()
	ru := &run{startedAt: time.Now(), cancel: cancel, endpoint: rr.Endpoint, events: slices.Clone(rr.Prior), key: rr.Key, ackedEvents: len(rr.Prior)}
	rn.runs[rr.Key] = ru
	go rn.execute(ctx, ru, rr)
}

// dropOldest deletes the run that ended first if maxRuns is reached.
func (rn *Runner) dropOldest() {
	if len(rn.runs) < maxRuns {
		return
	}
	var oldest *run
	for _, ru := range rn.runs {
		if ru.state != Running && (oldest == nil || ru.ended.Before(oldest.ended)) {
			oldest = ru
		}
	}
	if oldest != nil {
		delete(rn.runs, oldest.key)
	}
}

// execute runs an item until it ends.
func (rn *Runner) execute(ctx context.Context, ru *run, rr RunRequest) {
	defer ru.cancel()
	startedAt := time.Now()
	st := rn.Engine.StartFunc(ctx, rr)
	if st.State == Running {
		st.State, st.Detail = rn.read(ru, st.Stream)
		st.Stream.CloseFunc()
	}
	engineEnded := st.State == Broken && rn.Engine.EndedFunc != nil && rn.Engine.EndedFunc(ctx)
	rn.mu.Lock()
	defer rn.mu.Unlock()
	switch {
	case st.Engine != "":
		rn.engine = st.Engine
	case st.State == Complete:
		rn.engine = rr.Endpoint
	}
	if ru.stopped && st.State != Complete {
		st.State = Stopped
	}
	ru.state, ru.detail, ru.ended = st.State, st.Detail, time.Now()
	ru.engineEnded = engineEnded && st.State == Broken
	rn.note()
	rn.Metrics.GetOrCreateHistogram(`wisteriacroft_run_seconds{state="` + st.State.String() + `"}`).UpdateDuration(startedAt)
	rn.Log.WithFields(logrus.Fields{
		"after": len(rr.Prior), "attempt": rr.Key.Attempt, "detail": st.Detail, "endpoint": rr.Endpoint,
		"engine-ended": ru.engineEnded, "events": len(ru.events), "item": rr.Key.Item, "ms": time.Since(startedAt).Milliseconds(),
		"state": st.State.String(), "step": rr.Key.Step, "version": rr.Version,
	}).Info("run ended")
}

const (
	// maxTextSize is the maximum size of the events that one run may make, in bytes. An item with a larger text
	// could not be listed.
	maxTextSize = 1 << 20
	// eventOverhead is the size of an event without its data, in bytes.
	eventOverhead = 16
)

// read reads a run's events until the stream ends, and returns the run's state and detail.
func (rn *Runner) read(ru *run, st Stream) (State, string) {
	var previous time.Time
	size := 0
	for {
		ev, err := st.NextFunc()
		if err != nil {
			return endState(err)
		}
		now := time.Now()
		rn.mu.Lock()
		if !previous.IsZero() {
			rn.pacer.observe(now.Sub(previous), now)
		}
		previous = now
		last := int64(0)
		if len(ru.events) > 0 {
			last = ru.events[len(ru.events)-1].ID
		}
		gap := ev.ID != last+1
		size += len(ev.Data) + eventOverhead
		if !gap && size <= maxTextSize {
			ru.events = append(ru.events, ev)
		}
		rn.mu.Unlock()
		switch {
		case gap:
			return Broken, "an event is missing or came twice"
		case size > maxTextSize:
			return Broken, "the text is too large"
		}
	}
}

// endState returns the state and detail of a run whose stream ended with err.
func endState(err error) (State, string) {
	if errors.Is(err, io.EOF) {
		return Complete, ""
	}
	return Broken, err.Error()
}
