package profile

import (
	"math"
	"slices"
	"time"
)

// A Key describes one key of the declarations: its type, its default and its
// text in the reference.
type Key struct {
	doc      string
	fallback any // as TOML decodes it; nil for a required key
	kinds    []Kind
	name     string
	value    value
}

// Default returns the default in TOML, or "" for a required key.
func (ke Key) Default() string {
	if ke.Required() {
		return ""
	}
	var pr Profile
	if err := ke.value.set(&pr, ke.fallback); err != nil {
		return err.Error()
	}
	return ke.value.show(&pr)
}

// Doc returns the key's description, one sentence.
func (ke Key) Doc() string { return ke.doc }

// Has reports whether declarations of a kind have the key.
func (ke Key) Has(ki Kind) bool { return slices.Contains(ke.kinds, ki) }

// Name returns the key as written in files.
func (ke Key) Name() string { return ke.name }

// Required reports whether the key has no default.
func (ke Key) Required() bool { return ke.fallback == nil }

// Type returns the name of the value's type.
func (ke Key) Type() string { return ke.value.typeName }

// Show returns the key's value in a profile, in TOML.
func (ke Key) Show(pr Profile) string { return ke.value.show(&pr) }

// Names of keys that the checks use.
const (
	answerRetentionKey = "answer-retention"
	attemptTimeoutKey  = "attempt-timeout"
	classKey           = "class"
	deadlineKey        = "deadline"
	endpointsKey       = "endpoints"
	kindKey            = "kind"
	maxRunningKey      = "max-running"
	serviceKey         = "service"
	servingFloorKey    = "serving-floor"
	sharesKey          = "shares"
	stalenessBoundKey  = "staleness-bound"
	trainersKey        = "trainers"
)

// Bounds of values.
const (
	minDuration = time.Millisecond
	maxAttempts = 100
	maxPriority = 9
	maxDuration = 24 * time.Hour
	maxRequests = 1 << 16
)

var (
	allKinds     = []Kind{Calls, Samples, Service}
	callKinds    = []Kind{Calls}
	serviceKinds = []Kind{Service}
	sampleKinds  = []Kind{Samples}
	workKinds    = []Kind{Calls, Samples}
)

// Keys returns all keys, in the order of the reference. A name can occur
// several times, each for different kinds.
func Keys() []Key {
	return slices.Concat(commonKeys(), callKeys(), sampleKeys(), serviceKeys())
}

// KeysOf returns the keys of a kind, in the order of the reference.
func KeysOf(ki Kind) []Key {
	return slices.DeleteFunc(Keys(), func(ke Key) bool { return !ke.Has(ki) })
}

// commonKeys returns the keys that several kinds share.
func commonKeys() []Key {
	return []Key{
		{
			name: kindKey, kinds: allKinds,
			doc:   "What the file declares.",
			value: choiceValue(func(pr *Profile) *Kind { return &pr.kind }, allKinds...),
		},
		{
			name: serviceKey, kinds: allKinds,
			doc:   "The service that the work goes to, or that the file declares.",
			value: nameValue(func(pr *Profile) *string { return &pr.service }),
		},
		{
			name: classKey, kinds: workKinds, fallback: "default",
			doc:   "The class of work, at most one profile each for a service and kind; a request that names no profile runs under class \"default\".",
			value: nameValue(func(pr *Profile) *string { return &pr.class }),
		},
	}
}

// callKeys returns the other keys of kind Calls.
func callKeys() []Key {
	return []Key{
		{
			name: deadlineKey, kinds: callKinds, fallback: "2s",
			doc:   "How long a call may take as a whole, retries included, if the caller gives no shorter deadline.",
			value: durationValue(func(pr *Profile) *time.Duration { return &pr.deadline }),
		},
		{
			name: attemptTimeoutKey, kinds: callKinds, fallback: "1s",
			doc:   "How long one attempt may go without an answer before another endpoint is tried, where the call may be repeated.",
			value: durationValue(func(pr *Profile) *time.Duration { return &pr.attemptTimeout }),
		},
		{
			name: "repeatable", kinds: callKinds, fallback: false,
			doc:   "Whether a call may run more than once; a call that may not is never tried again unless it surely did not run.",
			value: boolValue(func(pr *Profile) *bool { return &pr.repeatable }),
		},
		{
			name: answerRetentionKey, kinds: callKinds, fallback: "10m",
			doc:   "How long the answer to a call that may not be repeated is kept for repeats of its idempotency key.",
			value: durationValue(func(pr *Profile) *time.Duration { return &pr.answerRetention }),
		},
		{
			name: "max-attempts", kinds: callKinds, fallback: int64(3),
			doc:   "How often a call is tried, the first attempt included.",
			value: intValue(func(pr *Profile) *int { return &pr.maxAttempts }, 1, maxAttempts),
		},
		{
			name: "retry-budget", kinds: callKinds, fallback: 0.1,
			doc:   "How many retries the profile may add to its calls, as a fraction of them.",
			value: fractionValue(func(pr *Profile) *float64 { return &pr.retryBudget }),
		},
		{
			name: maxRunningKey, kinds: callKinds, fallback: int64(4),
			doc:   "How many calls of the profile one endpoint runs at once.",
			value: intValue(func(pr *Profile) *int { return &pr.maxRunning }, 1, maxRequests),
		},
		{
			name: "max-waiting", kinds: callKinds, fallback: int64(16),
			doc:   "How many calls of the profile wait at one endpoint; a call beyond is refused as overloaded.",
			value: intValue(func(pr *Profile) *int { return &pr.maxWaiting }, 0, maxRequests),
		},
		{
			name: "max-request-size", kinds: callKinds, fallback: "64KB",
			doc:   "The largest body of a call.",
			value: sizeValue(func(pr *Profile) *Size { return &pr.maxRequestSize }, 64*Megabyte),
		},
		{
			name: "max-answer-size", kinds: callKinds, fallback: "1MB",
			doc:   "The largest body of an answer.",
			value: sizeValue(func(pr *Profile) *Size { return &pr.maxAnswerSize }, 64*Megabyte),
		},
		{
			name: "priority", kinds: callKinds, fallback: int64(7),
			doc:   "Which work goes first at an endpoint, 0 to 9; the higher goes first.",
			value: intValue(func(pr *Profile) *int { return &pr.priority }, 0, maxPriority),
		},
	}
}

// sampleKeys returns the other keys of kind Samples.
func sampleKeys() []Key {
	return []Key{
		{
			name: trainersKey, kinds: sampleKinds,
			doc:   "The trainers whose samples the profile covers.",
			value: namesValue(func(pr *Profile) *[]string { return &pr.trainers }),
		},
		{
			name: sharesKey, kinds: sampleKinds, fallback: map[string]any{},
			doc:   "The weight of each trainer when several want the same engines; a trainer that is not named weighs 1.",
			value: sharesValue(func(pr *Profile) *[]Share { return &pr.shares }),
		},
		{
			name: stalenessBoundKey, kinds: sampleKinds, fallback: int64(1),
			doc:   "How many versions the oldest segment of a sample may lie behind its trainer at hand-over.",
			value: intValue(func(pr *Profile) *int { return &pr.stalenessBound }, 0, math.MaxInt16),
		},
		{
			name: "freshness-weight", kinds: sampleKinds, fallback: 0.5,
			doc:   "The weighing of staleness against trainer idle time: 1 counts staleness only, 0 idle time only.",
			value: fractionValue(func(pr *Profile) *float64 { return &pr.freshnessWeight }),
		},
		{
			name: "delivery", kinds: sampleKinds, fallback: string(WholeSteps),
			doc:   "Whether samples are handed over as whole steps or as groups complete.",
			value: choiceValue(func(pr *Profile) *Delivery { return &pr.delivery }, WholeSteps, Groups),
		},
		{
			name: deadlineKey, kinds: sampleKinds, fallback: "10m",
			doc:   "How long a step may take until its samples are whole.",
			value: durationValue(func(pr *Profile) *time.Duration { return &pr.deadline }),
		},
		{
			name: attemptTimeoutKey, kinds: sampleKinds, fallback: "5m",
			doc:   "How long one attempt at a sample may run.",
			value: durationValue(func(pr *Profile) *time.Duration { return &pr.attemptTimeout }),
		},
		{
			name: "max-attempts", kinds: sampleKinds, fallback: int64(2),
			doc:   "How many attempts at one sample may run side by side.",
			value: intValue(func(pr *Profile) *int { return &pr.maxAttempts }, 1, maxAttempts),
		},
		{
			name: "straggler-rule", kinds: sampleKinds, fallback: string(Move),
			doc:   "What is done about a straggler: wait for it, move it to another engine, which goes on from the tokens made so far, or race a second attempt from the prompt against it.",
			value: choiceValue(func(pr *Profile) *StragglerRule { return &pr.stragglerRule }, Wait, Move, Race),
		},
		{
			name: "straggler-after", kinds: sampleKinds, fallback: "30s",
			doc:   "How long an attempt may make no progress before it counts as a straggler.",
			value: durationValue(func(pr *Profile) *time.Duration { return &pr.stragglerAfter }),
		},
		{
			name: "straggler-rate", kinds: sampleKinds, fallback: 0.25,
			doc:   "The part of the median rate of progress below which an attempt counts as a straggler; a long sample that makes progress is none.",
			value: fractionValue(func(pr *Profile) *float64 { return &pr.stragglerRate }),
		},
		{
			name: maxRunningKey, kinds: sampleKinds, fallback: int64(8),
			doc:   "How many samples of the profile one endpoint runs at once.",
			value: intValue(func(pr *Profile) *int { return &pr.maxRunning }, 1, maxRequests),
		},
		{
			name: "max-waiting", kinds: sampleKinds, fallback: int64(8),
			doc:   "How many samples of the profile wait at one endpoint; the others wait at the entry.",
			value: intValue(func(pr *Profile) *int { return &pr.maxWaiting }, 0, maxRequests),
		},
		{
			name: "priority", kinds: sampleKinds, fallback: int64(2),
			doc:   "Which work goes first at an endpoint, 0 to 9; the higher goes first.",
			value: intValue(func(pr *Profile) *int { return &pr.priority }, 0, maxPriority),
		},
	}
}

// serviceKeys returns the other keys of kind Service.
func serviceKeys() []Key {
	return []Key{
		{
			name: "type", kinds: serviceKinds,
			doc:   "What stands behind the service's endpoints.",
			value: choiceValue(func(pr *Profile) *ServiceType { return &pr.serviceType }, Engine, Plain),
		},
		{
			name: endpointsKey, kinds: serviceKinds,
			doc:   "The names of the service's endpoints; the one that may run a call that may not be repeated is picked among them.",
			value: namesValue(func(pr *Profile) *[]string { return &pr.endpoints }),
		},
		{
			name: servingFloorKey, kinds: serviceKinds, fallback: 0.75,
			doc:   "The part of the service's endpoints, rounded down to whole ones, that go on serving while weights change.",
			value: fractionValue(func(pr *Profile) *float64 { return &pr.servingFloor }),
		},
		{
			name: "leave-timeout", kinds: serviceKinds, fallback: "30s",
			doc:   "How long a leaving endpoint may finish what it runs.",
			value: durationValue(func(pr *Profile) *time.Duration { return &pr.leaveTimeout }),
		},
		{
			name: "failure-domain-preference", kinds: serviceKinds, fallback: string(Nearest),
			doc:   "Whether endpoints in the entry's own failure domain are tried first.",
			value: choiceValue(func(pr *Profile) *Preference { return &pr.preference }, Nearest, None),
		},
		{
			name: "version-interval", kinds: serviceKinds, fallback: "6m",
			doc:   "The usual time between two versions of the weights; staleness bounds are checked against it.",
			value: durationValue(func(pr *Profile) *time.Duration { return &pr.versionInterval }),
		},
		{
			name: maxRunningKey, kinds: serviceKinds, fallback: int64(16),
			doc:   "How many requests one endpoint runs at once, all profiles together.",
			value: intValue(func(pr *Profile) *int { return &pr.maxRunning }, 1, maxRequests),
		},
		{
			name: "max-waiting", kinds: serviceKinds, fallback: int64(64),
			doc:   "How many requests wait at one endpoint, all profiles together.",
			value: intValue(func(pr *Profile) *int { return &pr.maxWaiting }, 0, maxRequests),
		},
	}
}
