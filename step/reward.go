package step

import (
	"cmp"
	"slices"
	"time"

	"wisteriacroft/forward"
)

// Limits of reward calls.
const (
	// maxRewardShare is the share of a plain service's slots that reward calls may use, so that live callers find
	// free slots when many texts complete at once.
	maxRewardShare = 0.5
	// minRewardPause and maxRewardPause bound the pause before an unanswered call is retried. It doubles with each
	// attempt. Endpoints that are full have a free slot after about the first.
	minRewardPause = 100 * time.Millisecond
	maxRewardPause = time.Second
	// defaultRewardTime is the expected time from a complete text to its score while no score has been received.
	defaultRewardTime = 100 * time.Millisecond
	// rewardTimeWeight is the weight of a new sample in the moving average.
	rewardTimeWeight = 0.05
)

// A rewardRow is the state of an item's reward call.
type rewardRow struct {
	calling  bool      // a call is in flight
	calls    int       // attempts
	failures int       // answers that report a failure of the endpoint
	nextAt   time.Time // earliest time of the next attempt
	score    string
	since    time.Time // time when the text was complete
	unrouted bool      // a missing route has been logged
}

// open reports whether an item is neither complete nor lost.
func (ir *itemRow) open() bool { return ir.state != complete && ir.state != lost }

// completeText handles the completion of an item's text. The item is complete once it also has its score, if it has a
// reward call.
func (ta *Table) completeText(ir *itemRow, now time.Time) {
	ir.knownEvents = max(ir.knownEvents, len(ir.events))
	if ir.item.Reward == nil || ir.reward.score != "" {
		ta.finish(ir, complete, now)
		return
	}
	ta.releaseReserved(ir)
	ta.setState(ir, scoring)
	ir.reward.since = now
	ta.unscored[ir] = true
}

// A rewardEstimator estimates the time from a complete text to its score. The zero value has no samples.
type rewardEstimator struct{ mean time.Duration }

func (es *rewardEstimator) observe(took time.Duration) {
	if es.mean == 0 {
		es.mean = took
		return
	}
	es.mean += time.Duration(rewardTimeWeight * float64(took-es.mean))
}

// expected returns the expected time from a complete text to its score.
func (es *rewardEstimator) expected() time.Duration {
	if es == nil || es.mean == 0 {
		return defaultRewardTime
	}
	return es.mean
}

// A plainService is the service that the current route of a reward call leads to.
type plainService struct {
	name   string // empty if there is no route
	places int    // slots of its endpoints
}

// startRewards returns the items whose reward calls are to be made now, and marks the calls as in flight until
// handleReward. locate returns the service of a call.
//
// Many texts may complete at once, and live callers share the slots of plain services. Reward calls use at most
// maxRewardShare of the slots. Calls of the step with the least time left go first and, within a step, those of the
// group with the fewest open items, since only complete groups count.
func (ta *Table) startRewards(locate func(ca *forward.Call) plainService, now time.Time) []*itemRow {
	var due []*itemRow
	active := map[string]int{}
	services := map[*itemRow]plainService{}
	for ir := range ta.unscored {
		se := locate(ir.item.Reward)
		switch {
		case ir.reward.calling:
			active[se.name]++
		case se.name == "":
			ta.logUnrouted(ir)
		case !now.Before(ir.reward.nextAt):
			services[ir] = se
			due = append(due, ir)
		}
	}
	slices.SortFunc(due, func(a, b *itemRow) int {
		return cmp.Or(
			cmp.Compare(a.step.step.Due-a.step.age(now), b.step.step.Due-b.step.age(now)),
			cmp.Compare(a.step.groups[a.item.Group].openItems, b.step.groups[b.item.Group].openItems),
			a.reward.since.Compare(b.reward.since),
			cmp.Compare(a.item.ID, b.item.ID),
		)
	})
	var started []*itemRow
	for _, ir := range due {
		se := services[ir]
		if active[se.name] >= max(1, int(maxRewardShare*float64(se.places))) {
			continue
		}
		active[se.name]++
		ta.startReward(ir, active[se.name], now)
		started = append(started, ir)
	}
	return started
}

// logUnrouted logs once that no route matches an item's reward call. The call waits until a later configuration has
// one.
func (ta *Table) logUnrouted(ir *itemRow) {
	if ir.reward.unrouted {
		return
	}
	ir.reward.unrouted = true
	ta.log("reward call has no route", map[string]any{
		callField: ir.item.Reward.ID, "host": ir.item.Reward.Host, itemField: ir.item.ID, "path": ir.item.Reward.Path,
		stepField: ir.step.step.ID,
	})
}

func (ta *Table) startReward(ir *itemRow, active int, now time.Time) {
	ir.reward.calling = true
	ir.reward.calls++
	ta.log("reward call sent", map[string]any{
		"active": active, callField: ir.item.Reward.ID, itemField: ir.item.ID, stepField: ir.step.step.ID,
		"try": ir.reward.calls, "waited-ms": now.Sub(ir.reward.since).Milliseconds(),
	})
}

// handleReward handles the reply to an item's reward call. An item is lost only after as many failures of endpoints
// as both its step and the route of the call allow. Refusals, broken connections and timeouts don't count.
func (ta *Table) handleReward(ir *itemRow, re forward.Response, took time.Duration, now time.Time) {
	ir.reward.calling = false
	ir.reward.failures += re.Failures
	ta.log("reward call answered", map[string]any{
		"attempts": re.Attempts, callField: ir.item.Reward.ID, "endpoint": re.Endpoint, "error": re.Err, "failures": ir.reward.failures,
		itemField: ir.item.ID, "ms": took.Milliseconds(), "outcome": re.Outcome(), "status": re.Status,
		stepField: ir.step.step.ID, "try": ir.reward.calls, "version": re.Version,
	})
	if ir.state != scoring || ir.step.ended {
		return
	}
	switch {
	case re.Signature != "":
		ir.reward.score = re.Signature
		ta.rewards.observe(now.Sub(ir.reward.since))
		ta.finish(ir, complete, now)
	case ir.reward.failures >= max(ir.step.step.MaxAttempts, re.MaxAttempts, 1):
		ta.releaseRun(ir)
		ta.markLost(ir, "its reward call failed too often", now)
	default:
		ir.reward.nextAt = now.Add(max(re.HeldFor, min(minRewardPause<<min(ir.reward.calls-1, 10), maxRewardPause)))
	}
}
