// Package membership keeps each entry's view of the endpoints: attendants report to a nearby
// entry, and entries exchange updates by gossip. No view is authoritative: the attendant decides
// whether it accepts work.
package membership

import "time"

// Defaults of the zero Table and the zero Reporter.
const (
	DefaultHeartbeatInterval = 5 * time.Second
	DefaultExchangeInterval  = time.Second
	DefaultLoadShare         = 0.5
	DefaultGossipRate        = 1200 // bytes per second
	DefaultPollInterval      = 10 * time.Second
	DefaultRemoveTimeout     = time.Minute
	DefaultSilenceTimeout    = 3 * DefaultHeartbeatInterval
)

const (
	// retryInterval is the pause before urgent updates are sent again to an entry that did not
	// acknowledge them.
	retryInterval = 500 * time.Millisecond
	// tombstoneTTL is how long a removed attendant is kept as a tombstone, so that a late
	// message does not add it again.
	tombstoneTTL = time.Hour
	// cutOffThreshold is the number of silent attendants or entries up to which this entry
	// does not consider itself cut off.
	cutOffThreshold = 2
	// minLoadBase is the lowest load that the relative change of a load is based on.
	minLoadBase = 4
	// burstSeconds is the capacity of the token bucket, in seconds of the rate.
	burstSeconds = 60
	// messageSize and knownSize are the approximate sizes of a message and a KnownState, in
	// bytes.
	messageSize = 100
	knownSize   = 32
	// callTimeout bounds calls of attendants and entries to entries.
	callTimeout = time.Second
	// startupJitter spreads the first reads of the platform's list.
	startupJitter = time.Second
	// minBackoff and maxBackoff bound the backoff after a failed report to an entry.
	minBackoff = 10 * time.Second
	maxBackoff = 10 * time.Minute
	// leavingReports is the number of entries to which an attendant reports that it is
	// leaving.
	leavingReports = 2
)

// entryRole is the role of entries in the platform's list.
const entryRole = "entry"
