package rollout

// A Phase is what an attendant knows of the last order to an engine.
type Phase uint8

// The phases. The zero Phase is Unknown, so that whoever knows nothing claims
// nothing.
const (
	Unknown  Phase = iota // the engine may be loading or may load yet
	Idle                  // no order under way: none came, or the last one was not taken
	Sending               // on its way to the engine
	Settling              // taken by the engine, which loads
	Loaded                // the engine's report names the ordered version
	Failed                // the engine's report names another version
)

var phaseNames = [...]string{
	Unknown: "unknown", Idle: "idle", Sending: "passing",
	Settling: "settling", Loaded: "loaded", Failed: "failed",
}

// String returns the phase's name.
func (ph Phase) String() string { return phaseNames[ph] }

// settled reports whether no order is under way, so that the engine's report
// tells its version.
func (ph Phase) settled() bool { return ph == Idle || ph == Loaded || ph == Failed }

// A Verdict is what an attendant did with an order.
type Verdict uint8

// The verdicts. After any but Accepted the engine did not act on the order.
const (
	Accepted         Verdict = iota // passed to the engine; see the status
	Busy                            // another order is not settled yet
	EngineFenced                    // the engine itself refused the epoch
	Fenced                          // an order or a probe of a later owner came before
	NotSent                         // the engine could not be reached
	Unconfirmed                     // repeat it with the status' token, if the lease still holds
	WrongIncarnation                // the attendant has started anew since
)

var verdictNames = [...]string{
	Accepted: "taken", Busy: "busy", EngineFenced: "engine-fenced", Fenced: "fenced", NotSent: "not-sent",
	Unconfirmed: "unconfirmed", WrongIncarnation: "wrong-incarnation",
}

// String returns the verdict's name.
func (ve Verdict) String() string { return verdictNames[ve] }
