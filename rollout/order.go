// Package rollout rolls new weights out over the engines of a service: one
// owner, an entry, decides which engine loads next, and the attendant beside
// each engine refuses orders of owners that have been replaced.
package rollout

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of the zero Rollout and the zero Fence.
const (
	DefaultBackoffLongest = time.Minute
	DefaultBackoffFirst   = 2 * time.Second
	DefaultLoadTimeout    = 2 * time.Minute
	DefaultPassTimeout    = 3 * time.Second
	DefaultProbeInterval  = 5 * time.Second
	DefaultSettleLag      = time.Second
	DefaultTokenLife      = time.Second
)

// maxCalls is how many probes may be on their way at once: a new owner has to
// ask every engine, but not all in one moment.
const maxCalls = 64

// maxBackoffShift bounds the doublings of BackoffFirst, so that they don't
// overflow.
const maxBackoffShift = 10

// settleProbe is how long after an order that failed without a status its
// engine is asked what became of it.
const settleProbe = time.Second

// ErrUnknownEndpoint means that the attendant does not serve the endpoint.
var ErrUnknownEndpoint = errors.New("unknown endpoint")
