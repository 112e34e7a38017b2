// Package rollout rolls out new weights to the engines of a service. One owner, an entry, decides
// which engine loads next. The attendant of each engine refuses orders of replaced owners.
package rollout

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of Rollout and Fence.
const (
	DefaultBackoffLongest = time.Minute
	DefaultBackoffFirst   = 2 * time.Second
	DefaultLoadTimeout    = 2 * time.Minute
	DefaultPassTimeout    = 3 * time.Second
	DefaultProbeInterval  = 5 * time.Second
	DefaultSettleLag      = time.Second
	DefaultTokenLife      = time.Second
)

// maxProbes bounds concurrent probes. A new owner probes all engines.
const maxProbes = 64

// maxBackoffShift bounds the exponent of the backoff against overflow.
const maxBackoffShift = 10

// reprobeDelay is the delay before a probe after an order without a usable status.
const reprobeDelay = time.Second

// ErrUnknownEndpoint means that the attendant does not serve the endpoint.
var ErrUnknownEndpoint = errors.New("unknown endpoint")
