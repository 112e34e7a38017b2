package membership

// A State says what an endpoint may be given.
type State uint8

// The states. Attendants report the first four; Suspect is an entry's own
// judgement of an attendant that it has not heard of.
const (
	Ready     State = iota // any work
	Loading                // weights change: no work that is bound to a version
	Unhealthy              // no work: the endpoint does not answer its attendant
	Leaving                // no new work, for good
	Suspect                // work only where no other endpoint is left
)

var stateNames = [...]string{
	Ready: "ready", Loading: "loading", Unhealthy: "unhealthy", Leaving: "leaving", Suspect: "suspect",
}

// String returns the state's name.
func (st State) String() string { return stateNames[st] }

// A Suspicion is what an entry holds against an attendant that has gone silent. A
// later beat of the attendant clears it.
type Suspicion uint8

// The doubts, in the order in which they may rise.
const (
	Alive  Suspicion = iota
	Silent           // its home has not heard of it in time
	Gone             // silent, and no longer on the platform's list
)
