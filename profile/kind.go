package profile

// A Kind is what a profile declares.
type Kind string

// The kinds of profiles.
const (
	Calls   Kind = "calls"   // live calls of a service
	Samples Kind = "samples" // samples for trainers
	Service Kind = "service" // the service itself
)

// A ServiceType is the type of a service's endpoints.
type ServiceType string

// The types of services.
const (
	Engine ServiceType = "engine" // model engines
	Plain  ServiceType = "plain"  // any other HTTP service
)

// A Delivery is when samples are delivered to their trainer.
type Delivery string

// The ways of delivery.
const (
	Groups     Delivery = "groups"      // each group once it is complete
	WholeSteps Delivery = "whole-steps" // a step once all its groups are complete
)

// A StragglerRule is how an attempt is handled that makes no progress, or far
// less than others. A long sample that makes progress is not a straggler.
type StragglerRule string

// The straggler rules.
const (
	Move StragglerRule = "move" // continue on another engine from the tokens generated so far
	Race StragglerRule = "race" // start a second attempt from the prompt; the first complete one wins
	Wait StragglerRule = "wait" // let it run
)

// A Preference is which endpoints are tried first.
type Preference string

// The failure-domain preferences.
const (
	Nearest Preference = "nearest" // those in the entry's own failure domain
	None    Preference = "none"    // no preference
)
