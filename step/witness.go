package step

import (
	"context"
	"time"

	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/runner"
)

// Bounds of telling that a scheduler is dead.
const (
	// witnesses is how many attendants are asked when the scheduler last called
	// them.
	witnesses = 4
	// deadAfter is how long none of them may have been called. The scheduler
	// calls each ten times a second, or each 0.4 s while no step is open.
	deadAfter = 800 * time.Millisecond
	// witnessTimeout bounds one question, a few milliseconds away.
	witnessTimeout = 300 * time.Millisecond
	// usurpPause is how long a scheduler that was replaced does not replace its
	// successor in turn.
	usurpPause = 6 * time.Second
)

// pingMethod asks whether a scheduler's process is there.
const pingMethod = "step.Ping"

// registerPing answers to other schedulers' pings.
func registerPing(sv *peer.Server) {
	peer.Handle(sv, pingMethod, func(context.Context, message.Header, Empty) (Empty, error) { return Empty{}, nil })
}

// IsDead reports whether the scheduler at an address is dead: it can't be
// reached from here, and no attendant that can be has heard from it of late.
//
// While it is cut off from this process alone, attendants still hear from it;
// without asking them, two schedulers would replace each other in turns.
func (sc *Scheduler) IsDead(owner string) bool {
	sc.mu.Lock()
	paused := time.Since(sc.termEndedAt) < usurpPause && !sc.termEndedAt.IsZero()
	sc.mu.Unlock()
	if paused || call[Empty](sc, owner, pingMethod) == nil {
		return false
	}
	heard, silent := 0, 0
	for _, en := range sc.Directory.Endpoints("") {
		if len(en.Models) == 0 || heard+silent >= witnesses {
			continue
		}
		re, err := callFor[Empty, runner.LastContactResponse](sc, sc.attendantAddress(en), runner.LastContactMethod)
		switch {
		case err != nil:
		case re.Since < deadAfter:
			heard++
		default:
			silent++
		}
	}
	dead := heard == 0 && silent > 0
	sc.Log.WithField("owner", owner).WithField("heard", heard).WithField("silent", silent).
		WithField("dead", dead).Warn("scheduler can't be reached")
	return dead
}

func callFor[Req, Resp any](sc *Scheduler, address, method string) (Resp, error) {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	var rq Req
	return peer.Call[Req, Resp](ctx, sc.Pool, address, method, rq)
}

func call[Req any](sc *Scheduler, address, method string) error {
	_, err := callFor[Req, Empty](sc, address, method)
	return err
}
