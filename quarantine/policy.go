package quarantine

import "time"

// Thresholds, in crashed endpoints, and durations of the quarantine.
const (
	// cooldownThreshold starts a cooldown of a request. A single crash may have another cause; two in a row rarely
	// do, and a service may have no more than three endpoints.
	cooldownThreshold = 2
	// cooldown is long enough for crashed endpoints to restart. From trialThreshold on it doubles with each crash.
	cooldown = 10 * time.Second
	// trialThreshold is the number of crashes from which on a request is tried alone, and its crashes are
	// remembered for blockTime. They may have had a common cause.
	trialThreshold = 3
	// spreadDivisor is the part of a cooldown by which processes may try a request at different times, so that the
	// others know how the first trial ended.
	spreadDivisor = 2
	// suspectTTL is how long crashes are kept of a request that is not blocked. Clients retry
	// within minutes.
	suspectTTL = 10 * time.Minute
	// blockThreshold blocks a request, which was then tried alone three times.
	blockThreshold = 6
	// blockTime is how long a request is blocked, for its owners to fix the cause.
	blockTime = 24 * time.Hour
)
