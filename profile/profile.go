package profile

import (
	"math"
	"time"
)

// A Profile is one declaration of how a class of work is served or how a service
// is run. Keys that its kind doesn't have are at their zero values.
type Profile struct {
	answerRetention time.Duration
	attemptTimeout  time.Duration
	class           string
	deadline        time.Duration
	delivery        Delivery
	endpoints       []string
	freshnessWeight float64
	kind            Kind
	leaveTimeout    time.Duration
	maxAnswerSize   Size
	maxAttempts     int
	maxRequestSize  Size
	maxRunning      int
	maxWaiting      int
	name            string
	preference      Preference
	priority        int
	repeatable      bool
	retryBudget     float64
	service         string
	servingFloor    float64
	shares          []Share
	source          string
	stalenessBound  int
	stragglerAfter  time.Duration
	stragglerRate   float64
	stragglerRule   StragglerRule
	trainers        []string
	serviceType     ServiceType
	versionInterval time.Duration
}

// A Share is a trainer's weight when several trainers compete for the same engines.
type Share struct {
	Trainer string
	Weight  float64
}

// AnswerRetention returns how long the answer to a call that is not repeatable
// is kept for retries with its idempotency key.
func (pr Profile) AnswerRetention() time.Duration { return pr.answerRetention }

// AttemptTimeout returns how long one attempt at a call or sample may run.
func (pr Profile) AttemptTimeout() time.Duration { return pr.attemptTimeout }

// Class returns the class of work, which is unique in a service and kind.
func (pr Profile) Class() string { return pr.class }

// Deadline returns how long a call, or a step of samples, may take in total.
func (pr Profile) Deadline() time.Duration { return pr.deadline }

// Delivery returns when samples are delivered.
func (pr Profile) Delivery() Delivery { return pr.delivery }

// Endpoints returns the names of the service's endpoints, in the order of the
// declaration. The caller must not modify them.
func (pr Profile) Endpoints() []string { return pr.endpoints }

// FreshnessWeight returns the weight of staleness against trainer idle time:
// 1 counts staleness only, 0 idle time only.
func (pr Profile) FreshnessWeight() float64 { return pr.freshnessWeight }

// Kind returns what the profile declares.
func (pr Profile) Kind() Kind { return pr.kind }

// LeaveTimeout returns how long a leaving endpoint may take to finish its requests.
func (pr Profile) LeaveTimeout() time.Duration { return pr.leaveTimeout }

// MaxAnswerSize returns the largest body of an answer to a call.
func (pr Profile) MaxAnswerSize() Size { return pr.maxAnswerSize }

// MaxAttempts returns the maximum number of attempts, the first included.
func (pr Profile) MaxAttempts() int { return pr.maxAttempts }

// MaxRequestSize returns the largest body of a call.
func (pr Profile) MaxRequestSize() Size { return pr.maxRequestSize }

// MaxRunning returns how many requests one endpoint runs at once: of the
// profile, or, in a service's profile, of all profiles together.
func (pr Profile) MaxRunning() int { return pr.maxRunning }

// MaxWaiting returns how many requests wait at one endpoint, counted like
// MaxRunning.
func (pr Profile) MaxWaiting() int { return pr.maxWaiting }

// Name returns the profile's name, that of its file without ".toml".
func (pr Profile) Name() string { return pr.name }

// Preference returns which endpoints are tried first.
func (pr Profile) Preference() Preference { return pr.preference }

// Priority returns the priority, 0 to 9; the higher goes first.
func (pr Profile) Priority() int { return pr.priority }

// Repeatable reports whether a call may run more than once.
func (pr Profile) Repeatable() bool { return pr.repeatable }

// RetryBudget returns the maximum number of retries as a fraction of the
// profile's calls.
func (pr Profile) RetryBudget() float64 { return pr.retryBudget }

// Service returns the name of the profile's service.
func (pr Profile) Service() string { return pr.service }

// ServiceType returns the type of the service's endpoints.
func (pr Profile) ServiceType() ServiceType { return pr.serviceType }

// ServingFloor returns how many endpoints must keep serving during a weight
// rollout.
func (pr Profile) ServingFloor() int {
	return int(math.Floor(pr.servingFloor * float64(len(pr.endpoints))))
}

// Share returns the trainer's weight: the declared one, or 1 for a trainer
// without one, or 0 for a trainer that the profile doesn't cover.
func (pr Profile) Share(trainer string) float64 {
	for _, sh := range pr.shares {
		if sh.Trainer == trainer {
			return sh.Weight
		}
	}
	for _, name := range pr.trainers {
		if name == trainer {
			return 1
		}
	}
	return 0
}

// Shares returns the declared shares, sorted by trainer.
func (pr Profile) Shares() []Share { return pr.shares }

// Source returns the text of the declaration's file.
func (pr Profile) Source() string { return pr.source }

// StalenessBound returns how many versions the oldest segment of a sample may
// be behind the trainer at delivery.
func (pr Profile) StalenessBound() int { return pr.stalenessBound }

// StragglerAfter returns after how long without progress an attempt counts as a
// straggler.
func (pr Profile) StragglerAfter() time.Duration { return pr.stragglerAfter }

// StragglerRate returns the fraction of the median rate of progress below which
// an attempt counts as a straggler.
func (pr Profile) StragglerRate() float64 { return pr.stragglerRate }

// StragglerRule returns how stragglers are handled.
func (pr Profile) StragglerRule() StragglerRule { return pr.stragglerRule }

// Trainers returns the trainers whose samples the profile covers.
func (pr Profile) Trainers() []string { return pr.trainers }
