package step

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
	"wisteriacroft/forward"
	"wisteriacroft/lease"
)

func TestNoRewardCallsWithoutNewsOfSteps(t *testing.T) {
	// Guards against a reward call that begins seconds after its step's end: a scheduler that is full
	// hears of no ends, and goes on with the calls of texts that nobody waits for.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ta := completeTexts(t, scored(stepOf("s", 2)))
		call := ta.steps["s"].items[0].item.Reward
		di := &directory.Directory{}
		di.SetConfiguration(&directory.Configuration{
			Routes:  []directory.Route{{Host: call.Host, Prefix: "/", Shares: []directory.WeightedService{{Service: "scorer", Weight: 1}}}},
			Version: 1,
		})
		di.SetEndpoint(directory.Endpoint{Address: "10.0.0.1:80", ID: "scorer-1", Service: "scorer", Slots: 6})
		sc := &Scheduler{
			CallFunc: func(ctx context.Context, _ forward.Call) forward.Response {
				<-ctx.Done()
				return forward.Response{}
			},
			Directory: di, Holder: &lease.Holder{}, Log: discardLog(), Metrics: metrics.NewSet(),
		}
		te := &term{
			newContext: func() (context.Context, context.CancelFunc) { return context.WithCancel(ctx) },
			polledAt:   time.Now().Add(-intakeWait - intakeSlack), ready: true, rewardCalls: map[*itemRow]context.CancelFunc{}, table: ta,
		}
		sc.term = te
		sc.startRewards(te, time.Now())
		assert.Check(t, len(te.rewardCalls) == 0, "%d calls", len(te.rewardCalls))
		sc.term = nil
		cancel()
		synctest.Wait()
	})
}
