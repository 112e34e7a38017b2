package call

import (
	"cmp"
	"time"

	"wisteriacroft/idempotency"
	"wisteriacroft/retry"
)

// Defaults of a Policy.
const (
	defaultDeadline      = 10 * time.Second
	defaultMaxAnswerHeld = 1 << 20
	defaultMaxBodySize   = 1 << 20
)

// A Kind is the kind of a service.
type Kind string

// The kinds.
const (
	Engine Kind = "engine"
	Plain  Kind = "plain"
)

// A Policy is what the edge needs to know of the profile in force.
type Policy struct {
	AttemptTimeout time.Duration           // of one attempt at a repeatable call; 0 means the deadline only
	Deadline       time.Duration           // for callers that name none, and the most that they may ask for; default 10s
	FailureDomain  string                  // preferred; "" means the entry's own
	Homes          idempotency.EndpointSet // may run keys of requests that are not repeatable
	Kind           Kind
	MaxAnswerHeld  int // bytes of an answer held back until it is whole; default 1 MB
	MaxBodySize    int // bytes; default 1 MB
	Profile        string
	Repeatable     bool
	Retry          retry.Policy
	Revision       uint64
	Service        string
}

// withDefaults returns the policy with its defaults filled in.
func (po Policy) withDefaults() Policy {
	po.Deadline = cmp.Or(po.Deadline, defaultDeadline)
	po.MaxAnswerHeld = cmp.Or(po.MaxAnswerHeld, defaultMaxAnswerHeld)
	po.MaxBodySize = cmp.Or(po.MaxBodySize, defaultMaxBodySize)
	return po
}
