package quarantine

import "time"

// Thresholds, in crashed endpoints, and durations of the quarantine.
const (
	// cooldownThreshold starts a cooldown of a request. A single crash may have another cause; two in a row rarely
	// do, and a service may have no more than three endpoints.
	cooldownThreshold = 2
	// requestCooldown is long enough for crashed endpoints to restart.
	requestCooldown = 10 * time.Second
	// suspectTTL is how long crashes are kept of a request that is not blocked. Clients retry
	// within minutes.
	suspectTTL = 10 * time.Minute
	// blockThreshold blocks a request.
	blockThreshold = 3
	// itemCooldownThreshold starts a cooldown of an item of a step. Items run for seconds, in
	// which two engines may crash for other reasons.
	itemCooldownThreshold = 3
	// itemCooldown is long enough that at most two engines are down because of an item.
	itemCooldown = 4 * time.Second
	// itemBlockThreshold blocks an item. It is higher than for a request, as a trainer cannot
	// retry an item.
	itemBlockThreshold = 6
	// blockTime is how long a request or an item is blocked, for its owners to fix the cause.
	blockTime = 24 * time.Hour
)

// A policy determines how long a request or an item is held after its last crash.
type policy struct {
	blockAfter    int // crashes after which it is held for blockTime
	cooldown      time.Duration
	cooldownAfter int // crashes after which it is held for cooldown
}

var (
	requestPolicy = policy{blockAfter: blockThreshold, cooldown: requestCooldown, cooldownAfter: cooldownThreshold}
	itemPolicy    = policy{blockAfter: itemBlockThreshold, cooldown: itemCooldown, cooldownAfter: itemCooldownThreshold}
)
