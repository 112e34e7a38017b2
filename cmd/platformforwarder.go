package cmd

import (
	"context"
	"time"

	"wisteriacroft/forward"
	"wisteriacroft/platform"
	"wisteriacroft/quarantine"
	"wisteriacroft/retry"
	"wisteriacroft/tick"
)

const (
	// expireEvery is how often what concerns endpoints that are gone is closed.
	expireEvery = time.Second
	// attemptRatio and attemptBurst bound attempts beyond the first: one for
	// each five requests, so that an overload isn't doubled, and some at once
	// when an endpoint fails under all that it serves.
	attemptRatio = 0.2
	attemptBurst = 30
	// heldPart is the part of the memory that the platform grants which may be held
	// for callers that read or write slowly. A body exists twice while it grows.
	heldPart = 0.25
)

// forwarder returns what sends requests to plain endpoints: callers' at an
// entry, reward calls at a scheduler.
func (ho *host) forwarder() *forward.Forwarder {
	fo := &forward.Forwarder{
		Access:    platform.NewChecker(ho.directory, ho.metrics),
		Budget:    retry.NewBudget(retry.Policy{Burst: attemptBurst, MaxAttempts: attemptBurst, Ratio: attemptRatio}, 1),
		Directory: ho.directory, Domain: ho.settings.Domain, Headers: platform.Headers(), Log: ho.log, Metrics: ho.metrics,
		Quarantine: ho.requests,
	}
	ho.live.Store(fo)
	ho.boundMemory()
	ho.metrics.NewGauge("wisteriacroft_live_held_bytes", func() float64 {
		total, _, _ := fo.Held()
		return float64(total)
	})
	ho.metrics.NewGauge("wisteriacroft_live_held_bytes_most", func() float64 {
		_, _, most := fo.Held()
		return float64(most)
	})
	return fo
}

// boundMemory bounds what is held for callers by the memory that the settings grant.
func (ho *host) boundMemory() {
	if fo := ho.live.Load(); fo != nil {
		fo.SetMemory(int64(heldPart * float64(ho.memoryLimit.Load())))
	}
}

// keepQuarantine returns what saves, until it is told to end, what the process has
// seen of requests that end their endpoints.
func (ho *host) keepQuarantine() func(ctx context.Context) {
	return (&quarantine.Store{Client: ho.store, Log: ho.log, Table: ho.requests}).Run
}

// expire returns what closes, until it is told to end, what concerns endpoints
// that are gone.
func expire(fo *forward.Forwarder) func(ctx context.Context) {
	return (&tick.Loop{
		Every: expireEvery, Systems: []tick.System{{Name: "expire", Run: func(time.Time) { fo.Expire() }}},
	}).Run
}
