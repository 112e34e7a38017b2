package rollout

// A Phase is the state of the last order to an engine, as its attendant sees it.
type Phase uint8

// The phases. The zero Phase is Unknown.
const (
	Unknown  Phase = iota // the engine may be loading, or may start to
	Idle                  // no order in progress: none was sent, or the last one was not accepted
	Sending               // being sent to the engine
	Settling              // accepted by the engine, which is loading
	Loaded                // the engine's report shows the ordered version
	Failed                // the engine's report shows another version
)

var phaseNames = [...]string{
	Unknown: "unknown", Idle: "idle", Sending: "passing",
	Settling: "settling", Loaded: "loaded", Failed: "failed",
}

// String returns the name of the phase.
func (ph Phase) String() string { return phaseNames[ph] }

// settled reports whether no order is in progress, so that the engine's report shows its version.
func (ph Phase) settled() bool { return ph == Idle || ph == Loaded || ph == Failed }

// A Verdict is an attendant's decision on an order.
type Verdict uint8

// The verdicts. The engine has acted on the order only after Accepted.
const (
	Accepted         Verdict = iota // passed to the engine; the status has the outcome
	Busy                            // another order is not settled
	EngineFenced                    // the engine refused the epoch
	Fenced                          // a later owner has sent an order or a probe
	NotSent                         // the engine was not reached
	Unconfirmed                     // repeat with the status' token, if the lease is still held
	WrongIncarnation                // the attendant has restarted since
)

var verdictNames = [...]string{
	Accepted: "taken", Busy: "busy", EngineFenced: "engine-fenced", Fenced: "fenced", NotSent: "not-sent",
	Unconfirmed: "unconfirmed", WrongIncarnation: "wrong-incarnation",
}

// String returns the name of the verdict.
func (ve Verdict) String() string { return verdictNames[ve] }
