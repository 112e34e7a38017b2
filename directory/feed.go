package directory

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/hold"
	"wisteriacroft/quarantine"
)

// Settings of the feed, a long poll for changes.
const (
	feedMethod = "directory.Feed"
	// feedWait is how long a response waits for changes.
	feedWait    = 800 * time.Millisecond
	feedTimeout = feedWait + 400*time.Millisecond
	// feedPause is the pause after a change, so that the changes of one batch are sent together.
	feedPause = 20 * time.Millisecond
	// feedAgeStep is the unit to which the age in a response is rounded up, so that followers that ask
	// at the same time get the same response.
	feedAgeStep = 100 * time.Millisecond
)

// unknownGeneration is the generation of endpoints that did not come from a feeder.
const unknownGeneration = math.MaxUint64

// Errors of the feed.
var (
	// ErrNotFeeder means that the process does not follow the key-value service itself.
	ErrNotFeeder = errors.New("does not feed")
	// ErrOldState means that the feeder has not confirmed one of the topics recently.
	ErrOldState = errors.New("state is old")
)

var (
	errNoFeeder = errors.New("no feeder is known")
	// errGap means that differences don't follow the follower's state.
	errGap = errors.New("differences do not follow the known endpoints")
)

// A FeedRequest asks for everything that differs from the caller's state: the endpoints, the
// configuration, the holds and the quarantined requests.
type FeedRequest struct {
	Address string `cbor:",omitempty"` // of a caller that can feed others
	Boot    string // boot ID of the process that Generation and Held belong to
	// Differences means that the caller can apply a partial response. Processes of earlier releases
	// can't.
	Differences bool `cbor:",omitempty"`
	Generation  uint64
	Held        uint64              // generation of the quarantined requests
	Holds       int64               // version of the operators' holds; 0 for none
	Probe       bool                `cbor:",omitempty"` // asks only whether the process feeds
	Standbys    uint64              `cbor:",omitempty"` // see hashStandbys
	Unsaved     []quarantine.Record `cbor:",omitempty"` // records that the caller could not save yet
	Version     int64               // of the configuration; 0 for none
}

// A FeedResponse holds the changes: the endpoints, if Fresh or Partial, and the configuration and the
// quarantined requests, if newer than the caller's.
type FeedResponse struct {
	// Age is the time since all topics were known to be the newest. It is 0 in responses of earlier releases.
	Age           time.Duration `cbor:",omitempty"`
	Boot          string
	Configuration *Configuration `cbor:",omitempty"`
	Endpoints     []Endpoint     // all if Fresh; if Partial, those that changed since the caller's generation
	Fresh         bool
	Generation    uint64
	Held          uint64
	Holder        string              `cbor:",omitempty"` // if Stale: address of the feeder, as far as known
	Holds         *hold.Set           `cbor:",omitempty"` // if other than the caller's
	Partial       bool                `cbor:",omitempty"`
	Quarantine    []quarantine.Record `cbor:",omitempty"`
	Removed       []string            `cbor:",omitempty"` // IDs of endpoints, if Partial
	// ReturnVersion and SinceReturn tell the last outage while endpoints may register again after it; see outage.
	ReturnVersion int64         `cbor:",omitempty"`
	Since         uint64        `cbor:",omitempty"` // the generation that a partial response follows
	SinceReturn   time.Duration `cbor:",omitempty"`
	// Stale means that only Holder and Quarantine are set: the process is not a feeder, or its
	// state is old.
	Stale bool `cbor:",omitempty"`
	// Standbys are the addresses of the processes that feed while this one is away, if other than the
	// caller's, separated by spaces.
	Standbys string `cbor:",omitempty"`
	Total    int    `cbor:",omitempty"` // endpoints of the feeder, if Partial
}
