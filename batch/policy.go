package batch

import (
	"cmp"
	"time"

	"wisteriacroft/engine"
)

// A Discipline is the order in which the slots of a step start.
type Discipline int

// The orders.
const (
	LongestFirst Discipline = iota // by expected length
	FirstInFirstOut
)

// A FreshnessRule decides which weights a sample may start on.
type FreshnessRule int

// The freshness rules.
const (
	// FreshAtHandOver requires weights that will still be within the staleness bound when the
	// trainer is expected to take the batch.
	FreshAtHandOver FreshnessRule = iota
	// StartAtOnce requires weights that are within the bound now.
	StartAtOnce
)

// A StragglerRule is the treatment of attempts that stall or are much slower than others. Long
// samples are never dropped, and all attempts of a slot share one seed, since either would bias the
// batch otherwise.
type StragglerRule int

// Treatments of stragglers.
const (
	ResumeStragglers  StragglerRule = iota // elsewhere, with the tokens so far
	RestartStragglers                      // elsewhere, from the prompt
	KeepStragglers                         // no other attempt
)

// A Policy configures the samples of a trainer. The zero Policy has usable defaults. Higher
// KeptSteps or MaxOpenSteps require smaller steps, since all manifests of a trainer share one value
// of the key-value service.
type Policy struct {
	Deadline        time.Duration // after which an open step is reported as overdue; 0 means never
	FreshnessWeight float64       // from 0, which minimizes the trainer's idle time, to 1, which minimizes staleness
	Gate            FreshnessRule
	KeptSteps       int // taken steps kept for a trainer that restarts from an older cursor; 0 means 1
	MaxAttempts     int // concurrent attempts per slot; 0 means 2
	MaxOpenSteps    int // accepted and not taken, except one that is sealed completely; 0 means 2
	MaxRunning      int // attempts of the trainer; 0 means no bound
	Order           Discipline
	Patience        time.Duration  // how long the next step waits for fresher weights than the bound requires; 0 means 30s
	RetryAfter      time.Duration  // wait before the first retry after a failure; 0 means 1s
	Share           float64        // of the running attempts, relative to other trainers; 0 means 1
	StalenessBound  engine.Version // maximum versions that a sample may be behind its trainer at hand-over
	StragglerAfter  time.Duration  // time without progress; 0 means 30s
	StragglerRate   float64        // fraction of the median rate below which an attempt straggles; 0 means 0.25
	Straggling      StragglerRule
	WholeSteps      bool // hand over whole steps, not groups as they complete
}

// maxRetryAfter bounds the wait between attempts at a slot.
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

// retryAfter returns the wait after a number of failures.
func (po *Policy) retryAfter(failures int) time.Duration {
	wait := cmp.Or(po.RetryAfter, time.Second)
	for range failures - 1 {
		wait = min(2*wait, maxRetryAfter)
	}
	return wait
}

// stale reports whether a token of version made is too old for a trainer at version trained.
func (po *Policy) stale(made, trained engine.Version) bool {
	return made+po.StalenessBound < trained
}
