package step

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriacroft/directory"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/runner"
)

// Limits of the detection of a dead scheduler.
const (
	// maxWitnesses is how many attendants are asked when the scheduler last called them. A scheduler that
	// is alive calls all in turn, so that one of many was called just before, even if each is called three
	// times less often than deadAfter.
	maxWitnesses = 32
	// minSilentFraction is the least fraction of the asked attendants that must be reachable, and not
	// have been called, before their silence counts. The others may be cut off together with this process.
	minSilentFraction = 0.25
	// deadAfter is how long the scheduler must not have called any of them. It calls each attendant at least every
	// maxExchangeInterval, or maxIdleInterval while it is overloaded.
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

// IsDead reports whether the scheduler at address owner is dead: it can't be reached from here, and of
// the attendants that are asked none was called by it recently.
//
// Without asking attendants, a scheduler that is cut off from this process only would be replaced, and the two could
// replace each other repeatedly. A scheduler that is overloaded doesn't respond in time either: replacing it would
// add to the load, as all processes begin anew with the next one.
func (sc *Scheduler) IsDead(owner string) bool {
	sc.mu.Lock()
	paused := time.Since(sc.termEndedAt) < takeoverPause && !sc.termEndedAt.IsZero()
	sc.mu.Unlock()
	if paused || ping[Empty](sc, owner, pingMethod) == nil {
		return false
	}
	ev := sc.askWitnesses(sc.witnesses(owner))
	sc.Log.WithField("owner", owner).WithField("asked", ev.asked).WithField("heard", ev.recent).WithField("silent", ev.silent).
		WithField("dead", ev.dead()).Warn("scheduler can't be reached")
	return ev.dead()
}

// An evidence is what attendants say of a scheduler that can't be reached.
type evidence struct {
	asked  int
	recent int // were called recently
	silent int // were not
}

// dead reports whether the evidence is enough to replace the scheduler.
func (ev evidence) dead() bool {
	return ev.recent == 0 && ev.silent > 0 && float64(ev.silent) >= minSilentFraction*float64(ev.asked)
}

// witnesses returns the addresses of the attendants to ask about the scheduler at owner: they are spread
// over all, and differ between the processes that ask.
func (sc *Scheduler) witnesses(owner string) []string {
	var engines []directory.Endpoint
	for _, en := range sc.Directory.Endpoints("") {
		if len(en.Models) > 0 {
			engines = append(engines, en)
		}
	}
	count := min(maxWitnesses, len(engines))
	first := xxhash.Sum64String(sc.Holder.Owner + " " + owner)
	addresses := make([]string, 0, count)
	for i := range count {
		index := (first + uint64(i*len(engines)/count)) % uint64(len(engines))
		addresses = append(addresses, sc.attendantAddress(engines[index]))
	}
	return addresses
}

// askWitnesses asks attendants concurrently when they were last called.
func (sc *Scheduler) askWitnesses(addresses []string) evidence {
	type answer struct {
		err error
		re  runner.LastContactResponse
	}
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() {
			re, err := probe[Empty, runner.LastContactResponse](sc, address, runner.LastContactMethod)
			answers <- answer{err: err, re: re}
		}()
	}
	ev := evidence{asked: len(addresses)}
	for range addresses {
		an := <-answers
		switch {
		case an.err != nil:
		case an.re.Since < deadAfter:
			ev.recent++
		default:
			ev.silent++
		}
	}
	return ev
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
