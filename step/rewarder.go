package step

import (
	"context"
	"time"

	"wisteriacroft/directory"
	"wisteriacroft/forward"
)

// startRewards makes the reward calls that are due, and ends those whose steps
// have ended. It is called with the scheduler's lock held.
//
// Reward calls go on while the key-value service is away, as live calls do: no
// step can end meanwhile, and a text that has its score is listed at once when
// the service is back.
func (sc *Scheduler) startRewards(te *term, now time.Time) {
	for ir, cancel := range te.rewardCalls {
		if ir.step.ended {
			cancel()
		}
	}
	co := sc.Directory.Configuration()
	if co == nil || sc.CallFunc == nil || len(te.table.unscored) == 0 {
		return
	}
	places := map[string]int{}
	locate := func(ca *forward.Call) plainService { return sc.locate(co, places, ca) }
	for _, ir := range te.table.startRewards(locate, now) {
		ctx, cancel := te.newContext()
		te.rewardCalls[ir] = cancel
		go sc.reward(ctx, te, ir)
	}
}

// locate returns where a call goes by a configuration. Places holds what is
// known of services' places already.
func (sc *Scheduler) locate(co *directory.Configuration, places map[string]int, ca *forward.Call) plainService {
	ro, ok := co.Route(ca.Host, ca.Path)
	if !ok || ro.StepService() == "" {
		return plainService{}
	}
	se := plainService{name: ro.StepService()}
	count, known := places[se.name]
	if !known {
		for _, en := range sc.Directory.Endpoints(se.name) {
			if !en.Leaving {
				count += en.Slots
			}
		}
		places[se.name] = count
	}
	se.places = count
	return se
}

// reward makes one reward call.
func (sc *Scheduler) reward(ctx context.Context, te *term, ir *itemRow) {
	begun := time.Now()
	ca := *ir.item.Reward
	ca.Customer = ir.step.step.Customer
	re := sc.CallFunc(ctx, ca)
	now := time.Now()
	sc.Metrics.GetOrCreateHistogram(`wisteriacroft_reward_seconds`).UpdateDuration(begun)
	sc.Metrics.GetOrCreateCounter(`wisteriacroft_reward_calls_total{outcome="` + re.Outcome() + `"}`).Inc()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	te.rewardCalls[ir]()
	delete(te.rewardCalls, ir)
	if sc.term != te {
		return // the next scheduler makes the call again
	}
	te.table.rewarded(ir, re, now.Sub(begun), now)
	sc.startRewards(te, now)
	te.writeIfUrgent()
}
