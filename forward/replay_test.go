package forward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
)

// A simCall is a live request or a reward call to plain endpoints.
type simCall struct {
	begun   time.Duration
	hedged  bool
	reward  bool
	service time.Duration // at an endpoint of normal speed
	took    time.Duration // 0 until it is answered
	tried   map[string]bool
	places  []*simAttempt
}

// A simAttempt is a call queued or running at an endpoint.
type simAttempt struct {
	call *simCall
	sent time.Duration
	left time.Duration
}

// A simEndpoint is a plain endpoint with slots and a queue.
type simEndpoint struct {
	endpoint directory.Endpoint
	factor   float64 // slowdown
	places   []*simAttempt
}

// A simService simulates plain endpoints, with an entry and a scheduler that each see only their
// own calls.
type simService struct {
	calls     []*simCall // sent and not answered
	endpoints []*simEndpoint
	ens       []directory.Endpoint
	entry     Table
	now       time.Duration
	rewards   int // maximum concurrent reward calls
	rng       *rand.Rand
	sched     Table
	waiting   []*simCall // reward calls not sent yet
}

const (
	simStep = time.Millisecond
	simDay  = 12 * time.Second
	// simGoal is the latency goal of live requests.
	simGoal = 150 * time.Millisecond
)

// simBegin is the start of simulated time.
var simBegin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimService(endpoints, slow int, part float64, seed uint64) *simService {
	se := &simService{rng: rand.New(rand.NewPCG(seed, 1))}
	se.entry.drawFunc, se.sched.drawFunc = se.rng.IntN, se.rng.IntN
	for i := range endpoints {
		de := &simEndpoint{endpoint: directory.Endpoint{ID: fmt.Sprint("desk-", i), Slots: 6}, factor: 1}
		if i < slow {
			de.factor = 6
		}
		se.endpoints = append(se.endpoints, de)
		se.ens = append(se.ens, de.endpoint)
	}
	se.rewards = int(part * float64(6*endpoints))
	return se
}

func (se *simService) table(ca *simCall) *Table {
	if ca.reward {
		return &se.sched
	}
	return &se.entry
}

// send sends a call to the endpoint that its sender's table picks.
func (se *simService) send(ca *simCall) {
	en, ok := se.table(ca).Pick(se.ens, ca.tried, "", simBegin.Add(se.now))
	if !ok {
		return
	}
	if len(ca.tried) == 0 {
		se.calls = append(se.calls, ca)
	}
	ca.tried[en.ID] = true
	for _, de := range se.endpoints {
		if de.endpoint.ID == en.ID {
			pl := &simAttempt{call: ca, left: time.Duration(float64(ca.service) * de.factor), sent: se.now}
			ca.places = append(ca.places, pl)
			de.places = append(de.places, pl)
		}
	}
}

// step simulates an endpoint for one time step.
func (se *simService) step(de *simEndpoint) {
	served := 0
	de.places = slices.DeleteFunc(de.places, func(pl *simAttempt) bool {
		if served == de.endpoint.Slots {
			return false
		}
		served++
		pl.left -= simStep
		if pl.left > 0 {
			return false
		}
		ta := se.table(pl.call)
		ta.Done(de.endpoint.ID)
		ta.Answered(de.endpoint.ID, admission.Response{
			At: simBegin.Add(se.now), Load: admission.Load{Places: de.endpoint.Slots, Running: served},
			Slots: de.endpoint.Slots, Told: true, Took: se.now - pl.sent,
		})
		if pl.call.took == 0 {
			pl.call.took = se.now - pl.call.begun
		}
		return true
	})
}

// arrive creates the calls of one time step: live requests at a steady rate, and reward calls in the
// first 3 s of every 4 s.
func (se *simService) arrive(live, samples float64) {
	draw := func(mean time.Duration, reward bool) *simCall {
		service := time.Duration(float64(mean) * math.Exp(0.4*se.rng.NormFloat64()))
		return &simCall{begun: se.now, reward: reward, service: service, tried: map[string]bool{}}
	}
	if se.rng.Float64() < live*simStep.Seconds() {
		se.send(draw(25*time.Millisecond, false))
	}
	if se.now%(4*time.Second) < 3*time.Second {
		for range 2 {
			if se.rng.Float64() < samples/3/2*simStep.Seconds() {
				se.waiting = append(se.waiting, draw(80*time.Millisecond, true))
			}
		}
	}
}

// start sends waiting reward calls up to the concurrency limit.
func (se *simService) start() {
	active := 0
	for _, ca := range se.calls {
		if ca.reward {
			active++
		}
	}
	for len(se.waiting) > 0 && active < se.rewards {
		se.send(se.waiting[0])
		se.waiting = se.waiting[1:]
		active++
	}
}

// hedge sends slow calls to a second endpoint.
func (se *simService) hedge() {
	waits := map[bool]time.Duration{}
	for reward, ta := range map[bool]*Table{false: &se.entry, true: &se.sched} {
		waits[reward] = max(hedgeFactor*ta.Latency(se.ens), minHedge)
	}
	for _, ca := range se.calls {
		if !ca.hedged && se.now-ca.places[0].sent >= waits[ca.reward] {
			ca.hedged = true
			se.send(ca)
		}
	}
}

// run runs the simulation and returns the sorted durations of live requests and reward calls.
func (se *simService) run(live, samples float64) (callers, scores []time.Duration) {
	for ; se.now < simDay; se.now += simStep {
		se.arrive(live, samples)
		se.start()
		se.hedge()
		for _, de := range se.endpoints {
			se.step(de)
		}
		se.calls = slices.DeleteFunc(se.calls, func(ca *simCall) bool {
			if ca.took == 0 {
				return false
			}
			if ca.reward {
				scores = append(scores, ca.took)
			} else {
				callers = append(callers, ca.took)
			}
			return true
		})
	}
	slices.Sort(callers)
	slices.Sort(scores)
	return callers, scores
}

func quantile(all []time.Duration, part float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	return all[min(int(part*float64(len(all))), len(all)-1)]
}

// TestSharedPlainService simulates live requests and reward calls on shared plain endpoints, some of
// them slow, for different limits on concurrent reward calls.
func TestSharedPlainService(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "%-34s %-12s %8s %8s %8s %8s %8s %7s\n", "load", "limit", "live p50", "live p99", "in goal", "score p50", "p99", "scored")
	for _, lo := range []struct {
		name            string
		endpoints, slow int
		live, samples   float64 // a second
	}{
		{"3 endpoints, 27 samples/s", 3, 1, 6, 27},
		{"8 endpoints, 128 samples/s", 8, 3, 13.8, 128},
		{"8 endpoints, 640 samples/s", 8, 3, 13.8, 640},
	} {
		for _, po := range []struct {
			name string
			part float64
		}{{"none", 0}, {"half", 0.5}, {"no limit", 100}} {
			samples := lo.samples * 4
			if po.part == 0 {
				samples = 0
			}
			var callers, scores []time.Duration
			for seed := range uint64(2) {
				ca, sc := newSimService(lo.endpoints, lo.slow, po.part, seed).run(lo.live, samples)
				callers, scores = append(callers, ca...), append(scores, sc...)
			}
			slices.Sort(callers)
			slices.Sort(scores)
			inGoal, _ := slices.BinarySearch(callers, simGoal)
			fmt.Fprintf(&out, "%-34s %-12s %6dms %6dms %8.3f %7dms %6dms %7d\n", lo.name, po.name,
				quantile(callers, .5).Milliseconds(), quantile(callers, .99).Milliseconds(), float64(inGoal)/float64(len(callers)),
				quantile(scores, .5).Milliseconds(), quantile(scores, .99).Milliseconds(), len(scores))
		}
	}
	golden.Assert(t, out.String(), "shared.golden")
}
