package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestFirstExchangeHasReport(t *testing.T) {
	// Guards against an attendant that polls its engine only after a scheduler's first
	// call, which delays the first items after a restart of all processes.
	for _, tt := range []struct {
		name   string
		silent time.Duration // before the call
	}{
		{"attendant has just started", 350 * time.Millisecond},
		{"attendant has stopped polling", 3*schedulerTimeout + reportInterval/3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				rn := newRunner(&fakeEngine{})
				go rn.Run(ctx)
				time.Sleep(tt.silent)
				synctest.Wait()
				re := exchange(t, rn, ExchangeRequest{Epoch: 1})
				if tt.silent > schedulerTimeout {
					synctest.Wait() // the engine's answer
					re = exchange(t, rn, ExchangeRequest{Epoch: 1})
				}
				assert.Assert(t, re.Reachable)
				assert.Assert(t, re.ReportAge <= reportInterval)
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestEngineIsNotPolledWithoutScheduler(t *testing.T) {
	// Guards against polling the engine for reports that no scheduler fetches.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		rn := newRunner(&fakeEngine{})
		reports := 0
		report := rn.Engine.ReportFunc
		rn.Engine.ReportFunc = func(ctx context.Context) (Report, error) {
			reports++
			return report(ctx)
		}
		go rn.Run(ctx)
		time.Sleep(2 * schedulerTimeout)
		synctest.Wait()
		previous := reports
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, reports, previous)
		cancel()
		synctest.Wait()
	})
}
