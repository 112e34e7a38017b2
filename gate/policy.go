package gate

import (
	"cmp"
	"time"
)

// A Discipline says which waiting request starts first.
type Discipline string

// The orders.
const (
	// FirstInFirstOut is the baseline: the order of arrival, whatever the
	// class, with no share and no reserve.
	FirstInFirstOut Discipline = "first-in-first-out"
	// LiveFirst starts live calls before samples and shares what is left
	// between trainers and profiles by weight.
	LiveFirst Discipline = "live-first"
)

// Defaults of a Policy.
const (
	defaultGiveUp      = 0.5
	defaultMaxRetry    = 10 * time.Second
	defaultMaxRunning  = 16
	reserveDivisor     = 4 // the default reserve is MaxRunning divided by this
	waitingPerRunning  = 4 // the default MaxWaiting is this times MaxRunning
	defaultShareWeight = 1
)

// A Share is the weight of a trainer or, for requests that name no trainer,
// of a profile.
type Share struct {
	Name   string
	Weight int
}

// A ProfileLimit bounds what one profile may run and hold. 0 means no bound
// of its own.
type ProfileLimit struct {
	MaxRunning int
	MaxWaiting int
	Name       string
}

// A Policy says how a gate decides. The zero Policy has usable defaults.
type Policy struct {
	GiveUp      float64       // part of the time to the deadline that a request may wait; default 0.5
	LiveReserve int           // places that samples may not take; default a quarter of MaxRunning, negative none
	MaxRetry    time.Duration // longest time to come back; default 10s
	MaxRunning  int           // default 16
	MaxWaiting  int           // for each class; default 4 times MaxRunning
	MinRunning  int           // floor of the learned limit; default 1
	Order       Discipline    // default LiveFirst
	Profiles    []ProfileLimit
	Shares      []Share // default weight is 1
}

// withDefaults returns the policy with its defaults filled in.
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

// profile returns the limits of a profile.
func (po Policy) profile(name string) ProfileLimit {
	for _, li := range po.Profiles {
		if li.Name == name {
			return li
		}
	}
	return ProfileLimit{Name: name}
}

// weight returns the weight of a share.
func (po Policy) weight(name string) float64 {
	for _, sh := range po.Shares {
		if sh.Name == name && sh.Weight > 0 {
			return float64(sh.Weight)
		}
	}
	return defaultShareWeight
}
