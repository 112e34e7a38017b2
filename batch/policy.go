package batch

import (
	"cmp"
	"time"

	"wisteriacroft/engine"
)

// A Discipline is the order in which the slots of a step are started.
type Discipline int

// The orders.
const (
	LongestFirst Discipline = iota // by expected length
	FirstInFirstOut
)

// A FreshnessRule says when a sample may start, given the weights that engines serve.
type FreshnessRule int

// The gates.
const (
	// FreshAtHandOver starts a sample only on weights that will still be
	// within the bound when the trainer is expected to take its batch.
	FreshAtHandOver FreshnessRule = iota
	// StartAtOnce starts a sample on weights that are within the bound now.
	StartAtOnce
)

// A StragglerRule is what is done about an attempt that makes no progress, or far
// less than others. A sample is never dropped for being long: that would bias
// the batch. All attempts of a slot share one seed for the same reason.
type StragglerRule int

// The ways to treat stragglers.
const (
	ResumeStragglers  StragglerRule = iota // elsewhere, with the tokens made so far
	RestartStragglers                      // elsewhere, from the prompt
	KeepStragglers                         // wait
)

// A Policy says how a trainer's samples are made, as its profile declares.
// The zero Policy is safe. More kept and open steps than its own need smaller
// ones: the manifests of all share one value of the key-value service.
type Policy struct {
	Deadline        time.Duration // after which an open step is reported as overdue; 0 means never
	FreshnessWeight float64       // from 0, which weighs trainer idle time only, to 1, staleness only
	Gate            FreshnessRule
	KeptSteps       int // taken, for a trainer that restarts with an older cursor; 0 means 1
	MaxAttempts     int // running at one time for a slot; 0 means 2
	MaxOpenSteps    int // accepted and not yet taken, besides one that is sealed whole; 0 means 2
	MaxRunning      int // attempts of the trainer; 0 means no bound
	Order           Discipline
	Patience        time.Duration  // how long the next step waits for fresher weights than the bound asks for; 0 means 30s
	RetryAfter      time.Duration  // before the first new attempt after a failure; 0 means 1s
	Share           float64        // of the running attempts, against other trainers; 0 means 1
	StalenessBound  engine.Version // versions that a sample may be behind its trainer at hand-over
	StragglerAfter  time.Duration  // without progress; 0 means 30s
	StragglerRate   float64        // of the median rate of progress; slower is a straggler; 0 means 0.25
	Straggling      StragglerRule
	WholeSteps      bool // hand a step over whole, not groups as they complete
}

// maxRetryAfter bounds the wait between attempts at one slot.
const maxRetryAfter = 30 * time.Second

func (po *Policy) keptSteps() int { return cmp.Or(po.KeptSteps, 1) }

func (po *Policy) maxAttempts() int { return cmp.Or(po.MaxAttempts, 2) }

func (po *Policy) maxOpenSteps() int { return cmp.Or(po.MaxOpenSteps, 2) }

func (po *Policy) patience() time.Duration { return cmp.Or(po.Patience, 30*time.Second) }

func (po *Policy) share() float64 { return cmp.Or(po.Share, 1) }

func (po *Policy) stragglerAfter() time.Duration {
	return cmp.Or(po.StragglerAfter, 30*time.Second)
}

func (po *Policy) stragglerRate() float64 { return cmp.Or(po.StragglerRate, 0.25) }

// retryAfter returns how long to wait after a number of failures.
func (po *Policy) retryAfter(failures int) time.Duration {
	wait := cmp.Or(po.RetryAfter, time.Second)
	for range failures - 1 {
		wait = min(2*wait, maxRetryAfter)
	}
	return wait
}

// stale reports whether what version made is too old for a trainer at another.
func (po *Policy) stale(made, trained engine.Version) bool {
	return made+po.StalenessBound < trained
}
