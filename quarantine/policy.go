package quarantine

import "time"

// Limits of what a request may do to its endpoints.
const (
	// suspectStrikes is how many endpoints may end under a request before it
	// rests. One may end for a reason of its own, and the request deserves another;
	// that two in a row did is rarely chance, and a service may have no more than
	// three.
	suspectStrikes = 2
	// suspectRest is how long it rests then, so that both endpoints are back before
	// it may take another one: they start again within some seconds.
	suspectRest = 10 * time.Second
	// suspectLife is how long the ends of endpoints are remembered of a request that
	// has not been barred: clients come back within minutes.
	suspectLife = 10 * time.Minute
	// barStrikes is how many endpoints may end under a request before it is barred.
	barStrikes = 3
	// itemRestStrikes is how many engines may end under an item of a step before it
	// rests between its runs: an item lasts some seconds, and two engines may end in
	// them for reasons of their own. It rests for itemRest, so that no more than two
	// engines of a fleet are down for it.
	itemRestStrikes = 3
	itemRest        = 4 * time.Second
	// itemBarStrikes is how many engines may end before the item is barred. It is
	// given more tries than a caller's request, since its trainer waits for it and
	// can't ask again.
	itemBarStrikes = 6
	// barTime is for how long it is: a day, in which its owners can mend it or the
	// service.
	barTime = 24 * time.Hour
)

// A policy says how long something rests after the last endpoint that ended under
// it.
type policy struct {
	bar  int // endpoints after which it rests for barTime
	rest time.Duration
	some int // endpoints after which it rests for rest
}

var (
	requestPolicy = policy{bar: barStrikes, rest: suspectRest, some: suspectStrikes}
	itemPolicy    = policy{bar: itemBarStrikes, rest: itemRest, some: itemRestStrikes}
)
