package step

import (
	"context"
	"time"

	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/runner"
)

// Limits of the detection of a dead scheduler.
const (
	// maxWitnesses is how many attendants are asked when the scheduler last called them.
	maxWitnesses = 4
	// deadAfter is how long the scheduler must not have called any of them. It calls each attendant every 0.1 s, or
	// every 0.4 s while no step is open.
	deadAfter = 800 * time.Millisecond
	// witnessTimeout bounds one such call.
	witnessTimeout = 300 * time.Millisecond
	// takeoverPause is how long a scheduler that was replaced doesn't replace its successor.
	takeoverPause = 6 * time.Second
)

// pingMethod is the RPC method that checks whether a scheduler's process responds.
const pingMethod = "step.Ping"

// registerPing registers the handler of pings.
func registerPing(sv *peer.Server) {
	peer.Handle(sv, pingMethod, func(context.Context, message.Header, Empty) (Empty, error) { return Empty{}, nil })
}

// IsDead reports whether the scheduler at address owner is dead: it can't be reached from here, and no reachable
// attendant was called by it recently.
//
// Without asking attendants, a scheduler that is cut off from this process only would be replaced, and the two could
// replace each other repeatedly.
func (sc *Scheduler) IsDead(owner string) bool {
	sc.mu.Lock()
	paused := time.Since(sc.termEndedAt) < takeoverPause && !sc.termEndedAt.IsZero()
	sc.mu.Unlock()
	if paused || ping[Empty](sc, owner, pingMethod) == nil {
		return false
	}
	recent, silent := 0, 0
	for _, en := range sc.Directory.Endpoints("") {
		if len(en.Models) == 0 || recent+silent >= maxWitnesses {
			continue
		}
		re, err := probe[Empty, runner.LastContactResponse](sc, sc.attendantAddress(en), runner.LastContactMethod)
		switch {
		case err != nil:
		case re.Since < deadAfter:
			recent++
		default:
			silent++
		}
	}
	dead := recent == 0 && silent > 0
	sc.Log.WithField("owner", owner).WithField("heard", recent).WithField("silent", silent).
		WithField("dead", dead).Warn("scheduler can't be reached")
	return dead
}

func probe[Req, Resp any](sc *Scheduler, address, method string) (Resp, error) {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	var rq Req
	return peer.Call[Req, Resp](ctx, sc.Pool, address, method, rq)
}

func ping[Req any](sc *Scheduler, address, method string) error {
	_, err := probe[Req, Empty](sc, address, method)
	return err
}
