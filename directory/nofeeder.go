package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriacroft/keyvalue"
	"wisteriacroft/quarantine"
)

// Settings of a process that has no feeder.
const (
	// staleReadDelay is how long a process that starts waits for a feeder before readStale, and
	// staleReadSpread the time over which the reads of many such processes are spread.
	staleReadDelay  = 200 * time.Millisecond
	staleReadSpread = 600 * time.Millisecond
	// scanPause is the pause between scans of all endpoints while no feeder is reachable, and
	// scanTimeout bounds one. Together they stay below contactTimeout.
	scanPause   = 500 * time.Millisecond
	scanTimeout = 800 * time.Millisecond
	// maxReadPause bounds the pause after scans that failed, and maxReadDoublings how often it doubles. With
	// jitter and a call, the process has news within 3 s after the service is back.
	maxReadPause     = 1400 * time.Millisecond
	maxReadDoublings = 2
)

// staleOffset returns the time within staleReadSpread at which this process makes its stale read.
func (fo *Follower) staleOffset() time.Duration {
	return time.Duration(xxhash.Sum64String(fo.Name) % uint64(staleReadSpread))
}

// readDirectly reads from the key-value service for a process without a feeder, and returns the pause
// until the next read.
//
// While the service is away, the pause grows and the configuration isn't followed: calls of all
// entries would add to the service's load.
func (fo *Follower) readDirectly(ctx context.Context, fb *feedFallback) time.Duration {
	fo.counts.reads.Add(1)
	called := time.Now()
	ch, err := fo.scanEndpoints(ctx)
	fo.recordContact(err)
	fo.setUnavailable(fo.Source.EndpointPrefix, err)
	if err != nil {
		fb.end()
		fo.failedReads++
		pause := min(scanPause<<min(fo.failedReads, maxReadDoublings), maxReadPause)
		return pause/2 + rand.N(pause)
	}
	fo.failedReads = 0
	fo.recordOutage(ch.Version)
	fo.applyEndpoints(ch.Items, true)
	fo.Directory.Confirm(TopicEndpoints, called)
	fo.readQuarantine(ctx)
	fb.begin(ctx, fo)
	return scanPause
}

// A feedFallback follows the configuration and the holds while no feeder is reachable.
type feedFallback struct{ cancel context.CancelFunc }

// begin starts following, with a scan first to get changes that the feeder had not sent yet.
func (fb *feedFallback) begin(ctx context.Context, fo *Follower) {
	if fb.cancel != nil {
		return
	}
	ctx, fb.cancel = context.WithCancel(ctx)
	go fo.Prefix(ctx, fo.Source.ConfigurationKey, followWait, 0, fo.applyOperator)
	go fo.followHolds(ctx)
}

func (fb *feedFallback) end() {
	if fb.cancel != nil {
		fb.cancel()
		fb.cancel = nil
	}
}

// readStale initializes a process that waits for a feeder with a cheap stale read of the
// configuration, the endpoints and the quarantined requests. They may be seconds old, until
// the feeder sends its state.
//
// Without this read, entries that start before the feeder would reject requests of live callers
// meanwhile. If all processes start at once, the reads of all entries would fill the service's link,
// and delay those by which the feeder itself starts: so each entry waits for the feeder first.
func (fo *Follower) readStale(ctx context.Context) {
	if fo.Patience == 0 || fo.Directory.Ready() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	// The quarantine comes first: with the others the process begins to serve.
	for _, rd := range []struct {
		apply  func([]keyvalue.Item, bool)
		prefix string
	}{
		{apply: fo.applyQuarantine, prefix: quarantine.Key},
		{apply: fo.applyOperator, prefix: fo.Source.ConfigurationKey},
		{apply: fo.applyEndpoints, prefix: fo.Source.EndpointPrefix},
	} {
		ch, err := fo.Client.ScanStale(ctx, rd.prefix)
		fo.recordContact(err)
		fo.setUnavailable(rd.prefix, err)
		if err == nil {
			rd.apply(ch.Items, true)
		}
	}
}

func (fo *Follower) scanEndpoints(ctx context.Context) (keyvalue.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	return fo.Client.Scan(ctx, fo.Source.EndpointPrefix)
}
