package step

import (
	"context"
	"time"

	"wisteriacroft/directory"
	"wisteriacroft/forward"
)

// startRewards makes the reward calls that are due, and cancels those whose steps have ended. The caller holds sc.mu.
//
// Reward calls continue while the key-value service is unavailable. No step can end meanwhile, and scored texts can
// be listed as soon as the service recovers.
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
		go sc.callReward(ctx, te, ir)
	}
}

// locate returns the service that a configuration routes a call to. places caches the slots by service.
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

// callReward makes one reward call.
func (sc *Scheduler) callReward(ctx context.Context, te *term, ir *itemRow) {
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
		return // the next scheduler repeats the call
	}
	te.table.handleReward(ir, re, now.Sub(begun), now)
	sc.startRewards(te, now)
	te.writeIfUrgent()
}
