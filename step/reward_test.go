package step

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"wisteriacroft/finding"
	"wisteriacroft/forward"
	"wisteriacroft/runner"
)

var errNoAnswer = errors.New("no complete answer")

// scored adds a reward call to each item of a step.
func scored(st *Step) *Step {
	for i := range st.Items {
		st.Items[i].Reward = &forward.Call{Host: "desk", ID: "call-" + st.Items[i].ID, Path: "/score"}
	}
	return st
}

// oneService returns a locate function that maps all calls to one service.
func oneService(places int) func(*forward.Call) plainService {
	return func(*forward.Call) plainService { return plainService{name: "desk", places: places} }
}

// completeTexts returns a table with a step whose texts are all complete.
func completeTexts(t *testing.T, st *Step) *Table {
	t.Helper()
	ta := tableOf(t, 1, "a")
	ta.Accept(st, StoredStep{}, false, begin)
	for i := range st.Items {
		ta.Place(begin)
		end(ta, t, st.ID, i, runner.Complete, events(1, 3, 1), begin)
	}
	return ta
}

func scoredResponse(ir *itemRow) forward.Response {
	return forward.Response{MaxAttempts: 2, Signature: "mark of " + ir.item.Reward.ID, Status: 200}
}

func dueResults(ta *Table, now time.Time) []Result {
	var res []Result
	for _, ch := range ta.DueChunks(now) {
		res = append(res, ch.Results...)
	}
	return res
}

func TestNoResultWithoutItsScore(t *testing.T) {
	// Guards against listing a result whose text is complete but whose score is pending.
	ta := completeTexts(t, scored(stepOf("s", 2)))
	irs := ta.startRewards(oneService(6), begin)
	assert.Equal(t, len(irs), 2)
	assert.Equal(t, len(ta.startRewards(oneService(6), begin)), 0, "they are in flight")
	assert.Equal(t, len(dueResults(ta, begin.Add(time.Minute))), 0)
	ta.handleReward(irs[0], scoredResponse(irs[0]), time.Millisecond, begin)
	res := dueResults(ta, begin.Add(time.Minute))
	assert.Equal(t, len(res), 1)
	assert.Equal(t, res[0].Score, "mark of "+irs[0].item.Reward.ID)
	assert.Equal(t, res[0].Item, irs[0].item.ID)
}

func TestOnlyFailuresLoseItem(t *testing.T) {
	// Guards against abandoning an item for refused or unanswered reward calls: only failures count.
	refused := forward.Response{MaxAttempts: 3, NotRun: true}
	silent := forward.Response{Err: errNoAnswer, MaxAttempts: 3}
	failed := forward.Response{Failures: 1, MaxAttempts: 3, Status: 500}
	both := forward.Response{Failures: 2, MaxAttempts: 3, Status: 500}
	for _, tc := range []struct {
		name    string
		replies []forward.Response
		state   itemState
	}{
		{"never run", []forward.Response{refused, silent, refused, silent, refused, silent}, scoring},
		{"failures below the route's limit", []forward.Response{failed, failed}, scoring},
		{"failures reach both limits", []forward.Response{failed, silent, failed, refused, failed}, lost},
		{"two failures in one response, and one more", []forward.Response{both, failed}, lost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := completeTexts(t, scored(stepOf("s", 1)))
			now := begin
			var ir *itemRow
			for _, re := range tc.replies {
				now = now.Add(maxRewardPause)
				irs := ta.startRewards(oneService(6), now)
				assert.Equal(t, len(irs), 1)
				ir = irs[0]
				ta.handleReward(ir, re, time.Millisecond, now)
			}
			assert.Equal(t, ir.state, tc.state)
		})
	}
}

func TestRewardCallBackoff(t *testing.T) {
	// Guards against retrying refused reward calls without backoff.
	ta := completeTexts(t, scored(stepOf("s", 1)))
	calls := 0
	for now := begin; now.Before(begin.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for _, ir := range ta.startRewards(oneService(6), now) {
			calls++
			ta.handleReward(ir, forward.Response{NotRun: true}, time.Millisecond, now)
		}
	}
	assert.Equal(t, calls, 8, "after 0.1, 0.2, 0.4 and 0.8 s, and then each second")
}

func TestRewardCallsLeaveSlotsToLiveCallers(t *testing.T) {
	// Guards against reward calls occupying all slots of a plain service, which live callers share. The step with the
	// least time left goes first, and within it the group with the fewest open items.
	ta := tableOf(t, 1, "a", "b", "c", "d", "e", "f")
	older, newer := scored(stepOf("older", 3, 2)), scored(stepOf("newer", 1))
	older.Due -= time.Second
	for _, st := range []*Step{newer, older} {
		ta.Accept(st, StoredStep{}, false, begin)
	}
	ta.Place(begin)
	for _, sr := range ta.openSteps {
		for i := range sr.items {
			end(ta, t, sr.step.ID, i, runner.Complete, events(1, 3, 1), begin)
		}
	}
	order := []string{}
	for len(order) < 6 {
		irs := ta.startRewards(oneService(6), begin)
		assert.Assert(t, len(irs) > 0 && len(irs) <= 3, "%d calls", len(irs))
		for _, ir := range irs {
			order = append(order, ir.step.step.ID+" "+ir.item.Group)
			ta.handleReward(ir, scoredResponse(ir), time.Millisecond, begin)
		}
	}
	assert.DeepEqual(t, order, []string{"older g1", "older g1", "older g0", "older g0", "older g0", "newer g0"})
	assert.Equal(t, len(ta.startRewards(oneService(1), begin)), 0)
}

func TestOneRewardCallWithoutKnownSlots(t *testing.T) {
	ta := completeTexts(t, scored(stepOf("s", 2)))
	assert.Equal(t, len(ta.startRewards(oneService(0), begin)), 1)
}

func TestRewardCallWithoutRouteWaits(t *testing.T) {
	// Guards against abandoning an item, or flooding the log, while no route matches its reward call.
	lines := 0
	ta := completeTexts(t, scored(stepOf("s", 1)))
	ta.log = func(event string, _ map[string]any) {
		if event == "reward call has no route" {
			lines++
		}
	}
	nowhere := func(*forward.Call) plainService { return plainService{} }
	for range 100 {
		assert.Equal(t, len(ta.startRewards(nowhere, begin)), 0)
	}
	assert.Equal(t, lines, 1)
	assert.Equal(t, len(ta.startRewards(oneService(6), begin)), 1)
}

func TestNoRewardCallsAfterStepEnd(t *testing.T) {
	// Guards against reward calls being sent, or their answers applied, after the end of their step.
	ta := completeTexts(t, scored(stepOf("s", 2)))
	irs := ta.startRewards(oneService(2), begin)
	assert.Equal(t, len(irs), 1)
	ta.End("s")
	assert.Equal(t, len(ta.startRewards(oneService(2), begin.Add(time.Minute))), 0)
	ta.handleReward(irs[0], scoredResponse(irs[0]), time.Millisecond, begin) // an answer in flight
	assert.Equal(t, irs[0].state, scoring)
}

func TestScoreOfAnEarlierStep(t *testing.T) {
	// Guards against reusing a score from an earlier step for a different reward call.
	for _, tc := range []struct {
		name   string
		min    uint64
		change func(ca *forward.Call)
		state  itemState
	}{
		{"the same call", 1, func(*forward.Call) {}, complete},
		{"another id", 1, func(ca *forward.Call) { ca.ID = "other" }, scoring},
		{"another body", 1, func(ca *forward.Call) { ca.Body = []byte("other") }, scoring},
		{"another path", 1, func(ca *forward.Call) { ca.Path = "/other" }, scoring},
		{"another host", 1, func(ca *forward.Call) { ca.Host = "other" }, scoring},
		{"text is generated again", 2, func(*forward.Call) {}, waiting},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := tableOf(t, 1, "a")
			ta.Accept(scored(stepOf("s", 2)), StoredStep{}, false, begin)
			ta.Place(begin)
			end(ta, t, "s", 0, runner.Complete, events(1, 3, 1), begin)
			irs := ta.startRewards(oneService(6), begin)
			ta.handleReward(irs[0], scoredResponse(irs[0]), time.Millisecond, begin)
			ta.End("s")
			again := scored(stepOf("s", 2))
			again.ID, again.MinVersion = "again", tc.min
			tc.change(again.Items[0].Reward)
			ta.Accept(again, StoredStep{}, false, begin)
			ir := ta.steps["again"].items[0]
			assert.Equal(t, ir.state, tc.state)
			assert.Equal(t, ir.reward.score != "", tc.state == complete)
		})
	}
}

func TestSuccessorRepeatsRewardCall(t *testing.T) {
	// Guards against losing or regenerating a complete text that is not scored, or not listed, when the scheduler
	// fails twice: the attendant holds the text, and the successor sends the reward call again.
	for _, calls := range []string{"none", "in flight", "answered"} {
		t.Run(calls, func(t *testing.T) {
			ta := completeTexts(t, scored(stepOf("s", 1)))
			if calls != "none" {
				for _, ir := range ta.startRewards(oneService(6), begin) {
					if calls == "answered" {
						ta.handleReward(ir, scoredResponse(ir), time.Millisecond, begin)
					}
				}
			}
			key := ta.steps["s"].items[0].run.key
			for epoch := range uint64(2) {
				next := NewTable(epoch+2, nil)
				addEngines(next, begin, "a")
				next.Accept(scored(stepOf("s", 1)), StoredStep{}, false, begin)
				respond(next, "a", runner.ExchangeResponse{Runs: []runner.Progress{
					{Events: events(1, 3, 1), Key: key, State: runner.Complete},
				}}, begin)
				ir := next.steps["s"].items[0]
				assert.Equal(t, ir.state, scoring)
				rq, _ := next.Request("a")
				assert.Equal(t, len(rq.Forget), 0, "the attendant holds the text until it is listed")
				irs := next.startRewards(oneService(6), begin)
				assert.Equal(t, len(irs), 1)
				next.handleReward(ir, scoredResponse(ir), time.Millisecond, begin)
				assert.Equal(t, dueResults(next, begin.Add(time.Minute))[0].Score, "mark of call-s-0-0")
			}
		})
	}
}

func TestScoreSurvivesFailover(t *testing.T) {
	// Guards against repeating all reward calls after a failover: attendants hold the scores until they are listed.
	ta := completeTexts(t, scored(stepOf("s", 1)))
	irs := ta.startRewards(oneService(6), begin)
	respond(ta, "a", runner.ExchangeResponse{}, begin) // acknowledges the end
	ta.handleReward(irs[0], scoredResponse(irs[0]), time.Millisecond, begin)
	rq, _ := ta.Request("a")
	key := ta.steps["s"].items[0].run.key
	want := runner.Ack{Ended: true, Events: 3, Key: key, Score: "mark of call-s-0-0"}
	assert.DeepEqual(t, rq.Seen, []runner.Ack{want})
	respond(ta, "a", runner.ExchangeResponse{}, begin)
	rq, _ = ta.Request("a")
	assert.Equal(t, len(rq.Seen), 0)

	next := NewTable(2, nil)
	addEngines(next, begin, "a")
	next.Accept(scored(stepOf("s", 1)), StoredStep{}, false, begin)
	respond(next, "a", runner.ExchangeResponse{Runs: []runner.Progress{
		{Events: events(1, 3, 1), Key: key, Score: want.Score, State: runner.Complete},
	}}, begin)
	assert.Equal(t, len(next.startRewards(oneService(6), begin)), 0)
	assert.Equal(t, dueResults(next, begin.Add(time.Minute))[0].Score, want.Score)
}

func TestAttendantLostBeforeScore(t *testing.T) {
	// Guards against regenerating a complete text when its attendant is removed before the score arrives.
	ta := completeTexts(t, scored(stepOf("s", 1)))
	ta.SetEngines(nil, begin)
	irs := ta.startRewards(oneService(6), begin)
	assert.Equal(t, len(irs), 1)
	ta.handleReward(irs[0], scoredResponse(irs[0]), time.Millisecond, begin)
	res := dueResults(ta, begin.Add(time.Minute))
	assert.Equal(t, string(res[0].Text), "e1\ne2\ne3")
}

func TestUnscoredTextsAreCheckpointed(t *testing.T) {
	// Guards against checkpoints that omit complete texts whose scores are pending.
	ta := tableOf(t, 1, "a")
	ta.Accept(scored(stepOf("s", 1)), StoredStep{}, false, begin)
	ta.Place(begin)
	end(ta, t, "s", 0, runner.Complete, events(1, minFirstEvents, 1), begin)
	cps := ta.Checkpoints(begin.Add(checkpointInterval))
	assert.Equal(t, len(cps), 1)
	assert.Equal(t, len(cps[0].Partials[0].Events), minFirstEvents)
}

func TestUnscoredItemExpires(t *testing.T) {
	ta := completeTexts(t, scored(stepOf("s", 1)))
	ta.steps["s"].step.MaxWait = 10 * time.Second
	ta.DropExpired(begin.Add(10 * time.Second))
	assert.Equal(t, ta.steps["s"].items[0].state, scoring)
	ta.DropExpired(begin.Add(10*time.Second + expirySlack))
	assert.Equal(t, ta.steps["s"].items[0].state, lost)
}

func TestSlackIncludesRewardTime(t *testing.T) {
	// Guards against ignoring the duration of the reward call in an item's slack.
	ta := tableOf(t, 1, "a")
	st := stepOf("s", 2)
	st.Items[1].Reward = &forward.Call{Host: "desk", ID: "call", Path: "/"}
	ta.Accept(st, StoredStep{}, false, begin)
	spare := func(item int) time.Duration { return ta.steps["s"].items[item].slack(begin) }
	assert.Equal(t, spare(0)-spare(1), defaultRewardTime)
	for range 200 {
		ta.rewards.observe(2 * time.Second)
	}
	assert.Equal(t, spare(0)-spare(1), 2*time.Second)
}

func TestCheckRewardCalls(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(st *Step)
		want   string
	}{
		{"sound", func(*Step) {}, ""},
		{"not scored", func(st *Step) { st.Items[0].Reward = nil }, ""},
		{"no id", func(st *Step) { st.Items[0].Reward.ID = "" }, "item s-0-0: reward call has no id"},
		{"no host", func(st *Step) { st.Items[1].Reward.Host = "" }, "item s-0-1: reward call has no host"},
		{"no path", func(st *Step) { st.Items[1].Reward.Path = "" }, "item s-0-1: reward call has no path"},
		{
			"one id twice", func(st *Step) { st.Items[1].Reward.ID = st.Items[0].Reward.ID },
			"item s-0-1: reward call has the id of that of item s-0-0",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := scored(stepOf("s", 2))
			tc.change(st)
			var findings finding.List
			st.Check(&findings)
			got := ""
			if err := findings.Err(); err != nil {
				got = fmt.Sprint(err)
			}
			assert.Equal(t, got, tc.want)
		})
	}
}
