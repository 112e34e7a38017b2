package step

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"wisteriacroft/runner"
)

// A simEngine simulates an engine: a decoding step of all runs takes 0.592 ms, 1.72 us for
// each run and 1.63 us for each thousand tokens of context.
type simEngine struct {
	id         string
	factor     float64 // slower by
	loading    time.Time
	model      string // that it loads
	target     uint64
	order      []*simRun // by launch
	runs       map[runner.Key]*simRun
	deployment simDeployment
	versions   map[string]uint64
	dead       bool
}

type simRun struct {
	launch runner.RunRequest
	length int // events
	model  string
	made   float64
	events []runner.Event
	state  runner.State
}

// simEvent is the data of an event.
var simEvent = bytes.Repeat([]byte("x"), 350)

const (
	simTick = 50 * time.Millisecond
	simLoad = 900 * time.Millisecond
)

func (se *simEngine) context() float64 {
	tokens := 0.0
	for _, ru := range se.order {
		if ru.state == runner.Running {
			tokens += se.tokens(ru)
		}
	}
	return tokens
}

// tokens returns how many tokens a run holds.
func (se *simEngine) tokens(ru *simRun) float64 {
	return float64(se.deployment.prompt) + (float64(len(ru.launch.Prior))+ru.made)*float64(se.deployment.eventTokens)
}

func (se *simEngine) running() int {
	count := 0
	for _, ru := range se.runs {
		if ru.state == runner.Running {
			count++
		}
	}
	return count
}

// pace returns the time per event.
func (se *simEngine) pace() time.Duration {
	step := 0.592 + 0.00172*float64(se.running()) + 0.00163*se.context()/1000
	return time.Duration(step * float64(se.deployment.eventTokens) * se.factor * float64(time.Millisecond))
}

func (se *simEngine) advance(now time.Time) {
	if !se.loading.IsZero() && !now.Before(se.loading) {
		se.versions[se.model], se.loading = se.target, time.Time{}
	}
	if se.dead {
		return
	}
	events := float64(simTick) / float64(se.pace())
	held, active := 0.0, 0
	for _, ru := range se.order {
		if ru.state != runner.Running {
			continue
		}
		// Runs beyond the slots wait for another run to end.
		if active++; active > se.deployment.slots {
			break
		}
		// Without memory, the newest runs wait until older ones have ended.
		if held += se.tokens(ru); held > float64(se.deployment.tokens) {
			continue
		}
		ru.made += events
		prior := len(ru.launch.Prior)
		for len(ru.events) < prior+int(ru.made) && len(ru.events) < ru.length {
			ru.events = append(ru.events, runner.Event{ID: int64(len(ru.events) + 1), Data: simEvent, Version: se.versions[ru.model]})
		}
		if len(ru.events) >= ru.length {
			ru.state = runner.Complete
		}
	}
}

// exchange answers a request as an attendant does.
func (se *simEngine) exchange(
	rq runner.ExchangeRequest, trainers []*simTrainer, load time.Duration, now time.Time,
) runner.ExchangeResponse {
	for _, la := range rq.Launches {
		if se.runs[la.Key] != nil {
			continue
		}
		ru := &simRun{launch: la, events: slices.Clone(la.Prior)}
		for _, tr := range trainers {
			if length, ok := tr.lengths[la.Key.Item]; ok {
				ru.length, ru.model = length, tr.model
			}
		}
		// Prefill of the prompt and of the prior events takes time.
		read := float64(se.deployment.prompt + len(la.Prior)*se.deployment.eventTokens)
		ru.made = -read / 307 / (float64(se.pace()) / float64(time.Millisecond))
		if !se.loading.IsZero() && se.model == ru.model || se.running() > se.deployment.slots {
			ru.state = runner.NotRun
		}
		se.runs[la.Key] = ru
		se.order = append(se.order, ru)
	}
	for _, key := range rq.Stops {
		if ru := se.runs[key]; ru != nil && ru.state == runner.Running {
			ru.state = runner.Stopped
		}
	}
	for _, key := range rq.Forget {
		delete(se.runs, key)
		se.order = slices.DeleteFunc(se.order, func(ru *simRun) bool { return ru.launch.Key == key })
	}
	if rq.Order != nil && rq.Order.Version > se.versions[rq.Order.Model] && se.loading.IsZero() {
		se.loading, se.model, se.target = now.Add(load), rq.Order.Model, rq.Order.Version
	}
	re := runner.ExchangeResponse{Boot: "boot", Reachable: true, Running: se.running(), Report: runner.Report{
		Active: se.running(), Busy: !se.loading.IsZero(), Pace: se.pace(), PaceGaps: 4 * se.running(),
		Tokens: int(se.context()), Versions: maps.Clone(se.versions),
	}}
	if !se.loading.IsZero() {
		re.Ordered = se.target
	}
	for _, ru := range se.order {
		re.Runs = append(re.Runs, runner.Progress{
			Endpoint: se.id, Events: slices.Clone(ru.events), Key: ru.launch.Key, State: ru.state,
		})
	}
	return re
}
