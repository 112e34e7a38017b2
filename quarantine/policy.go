package quarantine

import "time"

// Thresholds, in crashed endpoints, and durations of the quarantine.
const (
	// cooldownThreshold starts a cooldown of a request. A single crash may have another cause; two in a row rarely
	// do, and a service may have no more than three endpoints.
	cooldownThreshold = 2
	// cooldown is long enough for crashed endpoints to restart.
	cooldown = 10 * time.Second
	// suspectTTL is how long crashes are kept of a request that is not blocked. Clients retry
	// within minutes.
	suspectTTL = 10 * time.Minute
	// blockThreshold blocks a request.
	blockThreshold = 3
	// blockTime is how long a request is blocked, for its owners to fix the cause.
	blockTime = 24 * time.Hour
)
