package gate

import (
	"cmp"
	"time"
)

// A Discipline is the order in which waiting requests start.
type Discipline string

// The disciplines.
const (
	// FirstInFirstOut starts requests in order of arrival, without classes, shares or a reserve.
	FirstInFirstOut Discipline = "first-in-first-out"
	// LiveFirst starts live calls before samples. Trainers and profiles share the remaining slots
	// by weight.
	LiveFirst Discipline = "live-first"
)

// Defaults of a Policy.
const (
	defaultGiveUp      = 0.5
	defaultMaxRetry    = 10 * time.Second
	defaultMaxRunning  = 16
	reserveDivisor     = 4 // default LiveReserve is MaxRunning divided by this
	waitingPerRunning  = 4 // default MaxWaiting is MaxRunning times this
	defaultShareWeight = 1
)

// A Share is the weight of a trainer, or of a profile for requests without a trainer.
type Share struct {
	Name   string
	Weight int
}

// A ProfileLimit bounds the running and waiting requests of a profile. 0 means no bound.
type ProfileLimit struct {
	MaxRunning int
	MaxWaiting int
	Name       string
}

// A Policy configures a gate. The zero Policy has usable defaults.
type Policy struct {
	GiveUp      float64       // fraction of the time to the deadline that a request may wait; default 0.5
	LiveReserve int           // slots that samples may not occupy; default a quarter of MaxRunning, none if negative
	MaxRetry    time.Duration // longest Retry-After time; default 10s
	MaxRunning  int           // default 16
	MaxWaiting  int           // per class; default 4 times MaxRunning
	MinRunning  int           // minimum of the adaptive limit; default 1
	Order       Discipline    // default LiveFirst
	Profiles    []ProfileLimit
	Shares      []Share // default weight is 1
}

// withDefaults returns the policy with zero fields set to their defaults.
func (po Policy) withDefaults() Policy {
	po.GiveUp = cmp.Or(po.GiveUp, defaultGiveUp)
	po.MaxRetry = cmp.Or(po.MaxRetry, defaultMaxRetry)
	po.MaxRunning = cmp.Or(po.MaxRunning, defaultMaxRunning)
	po.MaxWaiting = cmp.Or(po.MaxWaiting, waitingPerRunning*po.MaxRunning)
	if po.LiveReserve == 0 {
		po.LiveReserve = po.MaxRunning / reserveDivisor
	}
	po.LiveReserve = max(0, po.LiveReserve)
	po.MinRunning = min(max(1, po.MinRunning), po.MaxRunning)
	po.Order = cmp.Or(po.Order, LiveFirst)
	return po
}

func (po Policy) profile(name string) ProfileLimit {
	for _, li := range po.Profiles {
		if li.Name == name {
			return li
		}
	}
	return ProfileLimit{Name: name}
}

// weight returns the weight of a trainer or profile.
func (po Policy) weight(name string) float64 {
	for _, sh := range po.Shares {
		if sh.Name == name && sh.Weight > 0 {
			return float64(sh.Weight)
		}
	}
	return defaultShareWeight
}
