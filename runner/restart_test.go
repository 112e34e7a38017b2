package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"wisteriacroft/incarnation"
)

// set changes what the engine reports.
func (fe *fakeEngine) set(change func(re *Report)) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	change(&fe.report)
}

func TestEngineRestartsUnderSameID(t *testing.T) {
	// Guards against treating an order as accepted and a run as running after the engine
	// has restarted under the same ID and lost both.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fe := &fakeEngine{length: 500, report: Report{Incarnation: 10, Sequence: 3, Versions: map[string]uint64{"m": 1}}}
		rn := newRunner(fe)
		rn.newRunContext = func() (context.Context, context.CancelFunc) { return context.WithCancel(ctx) }
		go rn.Run(ctx)
		synctest.Wait()
		key := Key{Attempt: 1, Item: "i", Step: "s"}
		or := &Order{Endpoint: "e", Fence: 1, Model: "m", Version: 2}
		exchange(t, rn, ExchangeRequest{Epoch: 1, Launches: []RunRequest{{Endpoint: "e", Key: key}}})
		time.Sleep(time.Second)
		exchange(t, rn, ExchangeRequest{Epoch: 1, Order: or})
		synctest.Wait()
		assert.DeepEqual(t, fe.ordered(), []uint64{2})
		time.Sleep(time.Second) // the load has ended; the crash discards it
		fe.set(func(re *Report) {
			*re = Report{Incarnation: 20, Versions: map[string]uint64{"m": 1}}
		})
		time.Sleep(2 * reportInterval)
		re := exchange(t, rn, ExchangeRequest{Epoch: 1, Order: or})
		assert.Equal(t, re.Runs[0].State, Broken)
		assert.Equal(t, re.Report.PaceGaps, 0, "the pace was that of the previous start")
		assert.Equal(t, re.Report.Incarnation, incarnation.Number(20))
		time.Sleep(reportInterval)
		assert.DeepEqual(t, fe.ordered(), []uint64{2, 2})
		fe.set(func(re *Report) { re.Incarnation, re.Versions = 10, map[string]uint64{"m": 9} })
		time.Sleep(reportInterval)
		re = exchange(t, rn, ExchangeRequest{Epoch: 1, Order: or})
		assert.Assert(t, re.Report.Versions["m"] != 9, "a report of the previous start")
		cancel()
		synctest.Wait()
	})
}

func TestReportWithoutIncarnation(t *testing.T) {
	// A report without an incarnation is neither a restart nor outdated.
	var rn Runner
	rn.init()
	rn.Log = newRunner(&fakeEngine{}).Log
	rn.storeReport(Report{Incarnation: 10, Sequence: 4})
	rn.orderTracker.order, rn.orderTracker.acceptedAt = Order{Version: 2}, time.Now()
	rn.storeReport(Report{Sequence: 5})
	assert.Equal(t, rn.report.Sequence, uint64(5))
	assert.Equal(t, rn.report.Incarnation, incarnation.Number(10))
	assert.Assert(t, !rn.orderTracker.acceptedAt.IsZero(), "the order is still accepted")
}

func TestUnreachableEngineIsNotNamed(t *testing.T) {
	// Guards against reporting the ID of an engine that has stopped answering: the engine
	// may restart under another ID, and a new scheduler can't detect that the reported
	// one is outdated.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fe := &fakeEngine{length: 2}
		rn := newRunner(fe)
		var down atomic.Bool
		report := rn.Engine.ReportFunc
		rn.Engine.ReportFunc = func(ctx context.Context) (Report, error) {
			if down.Load() {
				return Report{}, errors.New("connection refused")
			}
			return report(ctx)
		}
		go rn.Run(ctx)
		synctest.Wait()
		exchange(t, rn, ExchangeRequest{Endpoint: "old", Epoch: 1, Launches: []RunRequest{{Endpoint: "old", Key: Key{Attempt: 1, Item: "i"}}}})
		time.Sleep(time.Second)
		assert.Equal(t, exchange(t, rn, ExchangeRequest{Endpoint: "old", Epoch: 1}).Engine, "old")
		down.Store(true)
		time.Sleep(time.Second)
		down.Store(false)
		time.Sleep(time.Second)
		assert.Equal(t, exchange(t, rn, ExchangeRequest{Endpoint: "new", Epoch: 1}).Engine, "")
		cancel()
		synctest.Wait()
	})
}
