// Package route picks endpoints for requests at an entry. Its view of them may be stale: an endpoint
// may still reject the request.
package route

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	defaultEjectAfter  = 3
	defaultEjectFor    = 2 * time.Second
	defaultLoadBound   = 1.25
	defaultMaxPrefixes = 1 << 16
	defaultSpill       = 0.8
	maxEjectDoublings  = 4
	// maxAvoidance is the maximum time for which an endpoint is avoided after a rejection. The
	// Retry-After of rejections is spread over callers, and so usually much longer than the time until
	// the next free slot.
	maxAvoidance = 250 * time.Millisecond
)

// A Policy is a load-balancing policy.
type Policy string

// The policies.
const (
	// LeastLoaded picks the less loaded of two random endpoints, and prefers the endpoint that last got
	// the request's prefix.
	LeastLoaded Policy = "least-loaded"
	// RoundRobin picks endpoints in turn, regardless of load, failure domain and prefix.
	RoundRobin Policy = "round-robin"
)

// Options are the settings of a Table. The zero value has usable defaults.
type Options struct {
	EjectAfter    int           // consecutive failures that eject an endpoint; default 3
	EjectFor      time.Duration // until a probe; doubled after each failed one, up to 16 times; default 2s
	FailureDomain string        // of the entry; "" means no preference
	LoadBound     float64       // maximum load of a prefix's endpoint, in multiples of the mean; default 1.25
	MaxPrefixes   int           // size of the prefix cache; default 65,536
	Policy        Policy        // default LeastLoaded
	Seed          uint64
	// Spill is the load, as a fraction of its limit, from which an endpoint in the preferred failure
	// domain is passed over for a less loaded one elsewhere; default 0.8.
	Spill float64
}

// withDefaults returns the options with their defaults filled in.
func (op Options) withDefaults() Options {
	op.EjectAfter = cmp.Or(op.EjectAfter, defaultEjectAfter)
	op.EjectFor = cmp.Or(op.EjectFor, defaultEjectFor)
	op.LoadBound = cmp.Or(op.LoadBound, defaultLoadBound)
	op.MaxPrefixes = cmp.Or(op.MaxPrefixes, defaultMaxPrefixes)
	op.Policy = cmp.Or(op.Policy, LeastLoaded)
	op.Spill = cmp.Or(op.Spill, defaultSpill)
	return op
}
