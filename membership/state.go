package membership

// A State determines which work may be sent to an endpoint.
type State uint8

// The states. Attendants report the first four; an entry sets Suspect for attendants that are
// silent.
const (
	Ready     State = iota // any work
	Loading                // loading weights: no work that requires a version
	Unhealthy              // no work: the endpoint does not respond to its attendant
	Leaving                // no new work, permanently
	Suspect                // work only if no other endpoint is left
)

var stateNames = [...]string{
	Ready: "ready", Loading: "loading", Unhealthy: "unhealthy", Leaving: "leaving", Suspect: "suspect",
}

// String returns the state's name.
func (st State) String() string { return stateNames[st] }

// A Suspicion is an entry's assessment of whether an attendant is alive. A later heartbeat
// resets it to Alive.
type Suspicion uint8

// The levels of suspicion, in ascending order.
const (
	Alive  Suspicion = iota
	Silent           // has not reported to its entry in time
	Gone             // silent, and no longer on the platform's list; kept as a tombstone
)
