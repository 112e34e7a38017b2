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
	// expireInterval is how often state of removed endpoints is released.
	expireInterval = time.Second
	// attemptRatio and attemptBurst bound retries: a fraction of the requests, so that
	// retries don't amplify an overload, and a burst for all requests of a failed endpoint.
	attemptRatio = 0.2
	attemptBurst = 30
	// heldMemoryFraction is the fraction of the memory limit for buffered bodies of slow
	// callers. It leaves room for the copy that a growing buffer needs.
	heldMemoryFraction = 0.25
)

// forwarder returns the forwarder of requests to plain endpoints: callers' requests at an
// entry, reward calls at a scheduler.
func (ho *host) forwarder() *forward.Forwarder {
	fo := &forward.Forwarder{
		Access:    platform.NewChecker(ho.directory, ho.metrics),
		Budget:    retry.NewBudget(retry.Policy{Burst: attemptBurst, MaxAttempts: attemptBurst, Ratio: attemptRatio}, 1),
		Directory: ho.directory, Domain: ho.settings.Domain, Headers: platform.Headers(), Log: ho.log, Metrics: ho.metrics,
		Quarantine: ho.quarantine,
	}
	ho.live.Store(fo)
	ho.limitHeldMemory()
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

// limitHeldMemory sets the limit of buffered bodies from the current memory limit.
func (ho *host) limitHeldMemory() {
	if fo := ho.live.Load(); fo != nil {
		fo.SetMemory(int64(heldMemoryFraction * float64(ho.memoryLimit.Load())))
	}
}

// saveQuarantine returns a function that saves the process's records of requests that crash
// endpoints, until its context is done.
func (ho *host) saveQuarantine() func(ctx context.Context) {
	return (&quarantine.Store{Client: ho.store, Log: ho.log, Table: ho.quarantine}).Run
}

// expire returns a function that releases state of removed endpoints, until its context is
// done.
func expire(fo *forward.Forwarder) func(ctx context.Context) {
	return (&tick.Loop{
		Every: expireInterval, Systems: []tick.System{{Name: "expire", Run: func(time.Time) { fo.Expire() }}},
	}).Run
}
