package step

import (
	"cmp"
	"slices"
	"time"

	"wisteriacroft/forward"
)

// Bounds of reward calls.
const (
	// rewardPart is the part of a plain service's places that reward calls may
	// take: live callers share them, and must find places when all of a step's
	// texts become whole at once.
	rewardPart = 0.5
	// rewardPause and maxRewardPause bound the pause before a call that was not
	// answered is made again; it doubles with each. Endpoints that are full have
	// a place after about the first, and are asked once a second at most while
	// they fail.
	rewardPause    = 100 * time.Millisecond
	maxRewardPause = time.Second
	// usualReward is how long a text is expected to wait for its score before
	// any has been seen: the plain service's work of 80 ms and the way to it.
	usualReward = 100 * time.Millisecond
	// rewardWeight is the part of a new time in the mean.
	rewardWeight = 0.05
)

// A rewardRow is where the reward call of an item stands.
type rewardRow struct {
	calling  bool
	calls    int       // made until now
	failures int       // answers of endpoints that they failed
	nextAt   time.Time // the call may be made again
	score    string
	since    time.Time // the text is whole
	unrouted bool      // no route led the call anywhere, which is logged
}

// open reports whether an item is still worked on.
func (ir *itemRow) open() bool { return ir.state != complete && ir.state != lost }

// whole takes in that an item's text is whole. It is complete once it has its
// score, if it is to have one.
func (ta *Table) whole(ir *itemRow, now time.Time) {
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

// A rewardGauge tells how long a whole text waits for its score. The zero gauge
// has seen none.
type rewardGauge struct{ mean time.Duration }

func (ga *rewardGauge) observe(took time.Duration) {
	if ga.mean == 0 {
		ga.mean = took
		return
	}
	ga.mean += time.Duration(rewardWeight * float64(took-ga.mean))
}

// usual returns how long a whole text is expected to wait for its score.
func (ga *rewardGauge) usual() time.Duration {
	if ga == nil || ga.mean == 0 {
		return usualReward
	}
	return ga.mean
}

// A plainService is where a reward call goes by the route in force.
type plainService struct {
	name   string // empty if no route leads there
	places int    // of its endpoints
}

// startRewards returns the items whose reward calls are to be made now, and
// counts them as made until rewarded. Locate tells where a call goes now.
//
// Load pattern: the last texts of a step's groups become whole at once, and
// share the places of a few plain endpoints with live callers, of which four in
// ten may be six times slower than usual. Calls take a part of the places, so
// that a live caller finds one. The call goes first whose step has the least
// time left, and then the one whose group lacks the fewest items: a group counts
// only when it is whole.
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
			ta.noteUnrouted(ir)
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
		if active[se.name] >= max(1, int(rewardPart*float64(se.places))) {
			continue
		}
		active[se.name]++
		ta.startReward(ir, active[se.name], now)
		started = append(started, ir)
	}
	return started
}

// noteUnrouted logs once that no route leads an item's reward call anywhere. It
// waits for one: a later configuration may have it.
func (ta *Table) noteUnrouted(ir *itemRow) {
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

// rewarded takes in what became of an item's reward call. An item is lost only
// after as many answers that an endpoint failed as its step and the call's route
// both allow: refusals, cut connections and silence say nothing of the item.
func (ta *Table) rewarded(ir *itemRow, re forward.Response, took time.Duration, now time.Time) {
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
		ta.giveUp(ir, "its reward call failed too often", now)
	default:
		ir.reward.nextAt = now.Add(max(re.HeldFor, min(rewardPause<<min(ir.reward.calls-1, 10), maxRewardPause)))
	}
}
