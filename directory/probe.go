package directory

import (
	"context"
	"time"

	"wisteriacroft/quarantine"
)

// Settings of the probes of the key-value service while it is away.
const (
	probePause   = 250 * time.Millisecond
	probeTimeout = time.Second
)

// mustProbe reports whether it is time for a probe.
func (fo *Follower) mustProbe(now time.Time) bool {
	if !fo.Client.Away(now) || now.Sub(fo.probedAt) < probePause {
		return false
	}
	fo.probedAt = now
	return true
}

// probe calls the key-value service while it is away. The client records the result, and an answer ends all calls from before.
//
// All calls that were sent before the return end by their timeouts only. Without probes a process would take its own notice of the return,
// up to two seconds late, for the return.
func (fo *Follower) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _ = fo.Client.Get(ctx, quarantine.Key)
}
