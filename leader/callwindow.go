package leader

import "time"

// Times of the calls of one holder and the next. The platform does not check the
// number that grows from holder to holder, so that nothing but these keeps the order.
const (
	// confirmLife is for how long after a write that only the holder could make it may
	// begin any number of calls, counted from when the write was sent.
	confirmLife = 300 * time.Millisecond
	// leastTime is what is left of callTime at least when a call begins. A write that took
	// storeTimeout leaves more.
	leastTime = 500 * time.Millisecond
	// callTime bounds a call, from the write before it on. Its connection is reset
	// then, so that no byte of it arrives later. A platform that is slow still answers
	// within it.
	callTime = 1500 * time.Millisecond
	// settleTime is how long a holder waits after it has taken over from another one,
	// whose last call has come to its end by then.
	settleTime = callTime + 500*time.Millisecond
)

// A CallWindow says when a process may make calls as the holder. Times are by its steady
// clock.
//
// A holder that is cut off from the others, but not from the platform, may be replaced
// before it notices, and goes on calling: its lower number would come after its
// successor's. So each call follows a write of its own that the service refuses to
// anyone but the holder, and a successor waits until the last such call has ended.
//
// Holders that take each other's place would call in turns: A, B, A within a moment. A
// process that another one has replaced calls no sooner again than its own last call,
// or its start, is Overlap ago.
type CallWindow struct {
	overlap time.Duration // holders must not take turns within it

	allowedAt   time.Duration
	called      bool          // since the last write
	calledAt    time.Duration // last, or the process's start
	confirmedAt time.Duration // the last write that only the holder could make was sent
}

// NewCallWindow returns the turn of a process that starts at a moment. One that ran before it
// on the same machine may have called just now.
func NewCallWindow(overlap, now time.Duration) CallWindow {
	return CallWindow{allowedAt: now + max(settleTime, overlap), calledAt: now, overlap: overlap}
}

// Begin begins a turn. Again means that the process wrote last before, so that no other
// one has called since; what it waits for, it waits for still.
func (tu *CallWindow) Begin(now time.Duration, again bool) {
	tu.confirmedAt = now - callTime
	if !again {
		tu.allowedAt = max(now+settleTime, tu.calledAt+tu.overlap)
	}
}

// Confirm takes in that a write that only the holder could make was sent at a moment,
// and applied.
func (tu *CallWindow) Confirm(sent time.Duration) { tu.called, tu.confirmedAt = false, sent }

// Allowed reports whether a call may be made after a write.
func (tu *CallWindow) Allowed(now time.Duration) bool { return now >= tu.allowedAt }

// Confirmed reports whether the last write is fresh enough to call.
//
// A slow service may need longer for a write than confirmLife, so that no call would ever
// follow one. The first call after a write may begin as long as its time will do: what
// makes a holder's claim certain is that its calls end at callTime, whenever they begin.
func (tu *CallWindow) Confirmed(now time.Duration) bool {
	age := now - tu.confirmedAt
	return age <= confirmLife || !tu.called && age <= callTime-leastTime
}

// Called notes that a call has ended.
func (tu *CallWindow) Called(now time.Duration) { tu.calledAt = now }

// AllowedIn returns how long it is until calls are allowed.
func (tu *CallWindow) AllowedIn(now time.Duration) time.Duration { return tu.allowedAt - now }

// Call notes a call and returns for how long it may last.
func (tu *CallWindow) Call(now time.Duration) time.Duration {
	tu.called, tu.calledAt = true, now
	return tu.confirmedAt + callTime - now
}
