package capacity

import (
	"context"
	"io"
	"sync"
	"time"

	"wisteriacroft/directory"
	"wisteriacroft/runner"
)

const (
	eventGap     = 200 * time.Millisecond // between two events of a run
	shortestRun  = 20                     // events: 4 s
	longestRun   = 45                     // events: 9 s
	loadTime     = 900 * time.Millisecond // of weights
	eventSize    = 400                    // bytes
	engineTokens = 4                      // that each event adds to an engine's memory
)

// A simulatedEngine is a stand-in for an engine. It runs any number of items.
type simulatedEngine struct {
	mu       sync.Mutex
	active   int
	busy     bool
	sequence uint64
	started  int // runs so far
	versions map[string]uint64
}

// newSimulatedEngine returns an engine that serves version 1 of all models.
func newSimulatedEngine() *simulatedEngine {
	en := &simulatedEngine{versions: map[string]uint64{}}
	for i := range modelCount {
		en.versions[modelName(i)] = 1
	}
	return en
}

// engine returns the functions that a runner calls.
func (se *simulatedEngine) engine() runner.Engine {
	return runner.Engine{OrderFunc: se.order, ReportFunc: se.report, StartFunc: se.start}
}

// models returns the served versions as in the engine's entry.
func (se *simulatedEngine) models() []directory.ModelVersion {
	se.mu.Lock()
	defer se.mu.Unlock()
	var mvs []directory.ModelVersion
	for i := range modelCount {
		mvs = append(mvs, directory.ModelVersion{Model: modelName(i), Version: se.versions[modelName(i)]})
	}
	return mvs
}

func (se *simulatedEngine) report(context.Context) (runner.Report, error) {
	se.mu.Lock()
	defer se.mu.Unlock()
	re := runner.Report{Active: se.active, Busy: se.busy, Incarnation: 1, Sequence: se.sequence, Versions: map[string]uint64{}}
	re.Tokens = se.active * engineTokens * longestRun
	for model, version := range se.versions {
		re.Versions[model] = version
	}
	return re, nil
}

// order loads weights within loadTime.
func (se *simulatedEngine) order(_ context.Context, or runner.Order, sequence uint64) (runner.OrderState, error) {
	se.mu.Lock()
	defer se.mu.Unlock()
	switch {
	case se.busy || sequence != se.sequence:
		return runner.OrderBusy, nil
	case se.versions[or.Model] >= or.Version:
		return runner.OrderHolds, nil
	}
	se.busy = true
	se.sequence++
	time.AfterFunc(loadTime, func() {
		se.mu.Lock()
		defer se.mu.Unlock()
		se.busy, se.versions[or.Model] = false, or.Version
	})
	return runner.OrderTaken, nil
}

// start starts a run, whose length depends on how many the engine has started.
func (se *simulatedEngine) start(ctx context.Context, rr runner.RunRequest) runner.Start {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.active++
	se.started++
	length := int64(shortestRun + se.started*7%(longestRun-shortestRun))
	next := int64(len(rr.Prior)) + 1
	version := se.versions[modelOf(rr)]
	return runner.Start{State: runner.Running, Stream: runner.Stream{
		CloseFunc: func() {
			se.mu.Lock()
			defer se.mu.Unlock()
			se.active--
		},
		NextFunc: func() (runner.Event, error) {
			if next > length {
				return runner.Event{}, io.EOF
			}
			sleep(ctx, eventGap)
			if ctx.Err() != nil {
				return runner.Event{}, ctx.Err()
			}
			next++
			return runner.Event{Data: make([]byte, eventSize), ID: next - 1, Version: version}, nil
		},
	}}
}

// modelOf returns the model of a run.
func modelOf(rr runner.RunRequest) string { return rr.Header["X-Model"] }
