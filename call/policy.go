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

// A Policy is the configuration of calls of one profile.
type Policy struct {
	AttemptTimeout time.Duration           // of repeatable calls; 0 means only the deadline
	Deadline       time.Duration           // default and maximum for callers; default 10s
	FailureDomain  string                  // preferred; "" means that of the entry
	Homes          idempotency.EndpointSet // homes of the keys of requests that are not repeatable
	Kind           Kind
	MaxAnswerHeld  int // bytes of an answer buffered before it is forwarded; default 1 MiB
	MaxBodySize    int // bytes; default 1 MiB
	Profile        string
	Repeatable     bool
	Retry          retry.Policy
	Revision       uint64
	Service        string
}

// withDefaults returns the policy with zero fields set to their defaults.
func (po Policy) withDefaults() Policy {
	po.Deadline = cmp.Or(po.Deadline, defaultDeadline)
	po.MaxAnswerHeld = cmp.Or(po.MaxAnswerHeld, defaultMaxAnswerHeld)
	po.MaxBodySize = cmp.Or(po.MaxBodySize, defaultMaxBodySize)
	return po
}
