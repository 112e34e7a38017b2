// Package membership keeps each entry's view of the endpoints: attendants report
// to an entry near them, and entries pass on what changed to each other. No
// view is authoritative: the attendant still decides whether work may run.
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
	// retryInterval is how soon urgent news are sent again to an entry that
	// did not acknowledge them.
	retryInterval = 500 * time.Millisecond
	// tombstoneLife is how long a removed attendant is remembered, so that a
	// late message does not bring it back.
	tombstoneLife = time.Hour
	// smallGroup is how many may go silent at once without its telling
	// anything of this entry's own connection.
	smallGroup = 2
	// smallLoad is the load below which a change counts as of this load.
	smallLoad = 4
	// burst is how many seconds' worth of bytes may be sent at once.
	burst = 60
	// messageSize and knownSize are about how many bytes a message and a
	// KnownState take.
	messageSize = 100
	knownSize   = 32
	// callTimeout bounds a call between an attendant and an entry or between
	// entries; each is answered from memory.
	callTimeout = time.Second
	// startSpread is over how long the first readings of the platform's list
	// spread when everything starts at once.
	startSpread = time.Second
	// shortestFailure and longestFailure bound how long an attendant leaves
	// out an entry that did not answer.
	shortestFailure = 10 * time.Second
	longestFailure  = 10 * time.Minute
	// leavingHomes is how many entries an attendant tells that it leaves.
	leavingHomes = 2
)

// entryRole is an entry's role in the platform's list.
const entryRole = "entry"
