package leader

import "time"

// Timing of the calls of successive holders. The platform does not check epochs, so that only the
// timing keeps their order.
const (
	// confirmTTL is how long after a fenced write was sent any number of calls may start.
	confirmTTL = 300 * time.Millisecond
	// minCallTime is the minimum time left of callTimeout when a call starts. It is met even
	// after a write that took storeTimeout.
	minCallTime = 500 * time.Millisecond
	// callTimeout bounds a call, counted from when the write before it was sent. Then its
	// connection is reset, so that no bytes arrive later.
	callTimeout = 1500 * time.Millisecond
	// takeoverDelay is how long a new holder waits for the last call of its predecessor to
	// end.
	takeoverDelay = callTimeout + 500*time.Millisecond
)

// A CallWindow determines when a process may make calls as the holder. Times are of the monotonic
// clock.
//
// A holder that is cut off from other processes, but not from the platform, may be replaced before
// it notices, and its calls would arrive after those of its successor. So each call must follow a
// fenced write, and a successor waits until the last such call has ended.
//
// If holders replace each other repeatedly, their calls must not alternate within Overlap. So a
// process that was replaced makes no call until Overlap after its own last call, or its start.
type CallWindow struct {
	overlap time.Duration // within which calls of two holders must not alternate

	allowedAt   time.Duration
	called      bool          // since the last write
	calledAt    time.Duration // last call, or the process's start
	confirmedAt time.Duration // when the last fenced write was sent
}

// NewCallWindow returns the window of a process that starts now. A previous run of it may have just
// made a call.
func NewCallWindow(overlap, now time.Duration) CallWindow {
	return CallWindow{allowedAt: now + max(takeoverDelay, overlap), calledAt: now, overlap: overlap}
}

// Begin starts leadership. Again means that this process wrote the last record, so that no other one
// has made calls since; a delay that has not passed yet still applies.
func (cw *CallWindow) Begin(now time.Duration, again bool) {
	cw.confirmedAt = now - callTimeout
	if !again {
		cw.allowedAt = max(now+takeoverDelay, cw.calledAt+cw.overlap)
	}
}

// Confirm records a successful fenced write, by the time at which it was sent.
func (cw *CallWindow) Confirm(sent time.Duration) { cw.called, cw.confirmedAt = false, sent }

// Allowed reports whether calls may be made, each after a write.
func (cw *CallWindow) Allowed(now time.Duration) bool { return now >= cw.allowedAt }

// Confirmed reports whether the last write is recent enough for a call.
//
// The first call after a write may start later than confirmTTL, as long as minCallTime is left;
// otherwise a slow service would prevent all calls. That is safe since a call ends at callTimeout
// after the write, whenever it starts.
func (cw *CallWindow) Confirmed(now time.Duration) bool {
	age := now - cw.confirmedAt
	return age <= confirmTTL || !cw.called && age <= callTimeout-minCallTime
}

// Called records the end of a call.
func (cw *CallWindow) Called(now time.Duration) { cw.calledAt = now }

// AllowedIn returns the time until calls are allowed.
func (cw *CallWindow) AllowedIn(now time.Duration) time.Duration { return cw.allowedAt - now }

// Call records the start of a call, and returns its timeout.
func (cw *CallWindow) Call(now time.Duration) time.Duration {
	cw.called, cw.calledAt = true, now
	return cw.confirmedAt + callTimeout - now
}
