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

func TestEngineStartsAgainUnderItsID(t *testing.T) {
	// Symptom: an engine that has started again stays on old weights for 6 s, and a
	// run that it no longer has counts as running for 2 s.
	// Sequence: an engine takes an order, falls silent with a run under way, and
	// comes back under its ID, empty.
	// Cause: the order counted as given and the run as alive, since the ID was the
	// same.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fe := &fakeEngine{length: 500, report: Report{Incarnation: 10, Sequence: 3, Versions: map[string]uint64{"m": 1}}}
		rn := newRunner(fe)
		rn.begin = func() (context.Context, context.CancelFunc) { return context.WithCancel(ctx) }
		go rn.Run(ctx)
		synctest.Wait()
		key := Key{Attempt: 1, Item: "i", Step: "s"}
		or := &Order{Endpoint: "e", Fence: 1, Model: "m", Version: 2}
		exchange(t, rn, ExchangeRequest{Epoch: 1, Launches: []RunRequest{{Endpoint: "e", Key: key}}})
		time.Sleep(time.Second)
		exchange(t, rn, ExchangeRequest{Epoch: 1, Order: or})
		synctest.Wait()
		assert.DeepEqual(t, fe.ordered(), []uint64{2})
		time.Sleep(time.Second) // the load has ended, and a crash undoes it
		fe.set(func(re *Report) {
			*re = Report{Incarnation: 20, Versions: map[string]uint64{"m": 1}}
		})
		time.Sleep(2 * reportEvery)
		re := exchange(t, rn, ExchangeRequest{Epoch: 1, Order: or})
		assert.Equal(t, re.Runs[0].State, Broken)
		assert.Equal(t, re.Report.PaceGaps, 0, "the pace was that of the former start")
		assert.Equal(t, re.Report.Incarnation, incarnation.Number(20))
		time.Sleep(reportEvery)
		assert.DeepEqual(t, fe.ordered(), []uint64{2, 2})
		fe.set(func(re *Report) { re.Incarnation, re.Versions = 10, map[string]uint64{"m": 9} })
		time.Sleep(reportEvery)
		re = exchange(t, rn, ExchangeRequest{Epoch: 1, Order: or})
		assert.Assert(t, re.Report.Versions["m"] != 9, "a report of the former start")
		cancel()
		synctest.Wait()
	})
}

func TestReportWithoutAStart(t *testing.T) {
	// A report that names no start is neither of a new one nor of an old one.
	var rn Runner
	rn.init()
	rn.Log = newRunner(&fakeEngine{}).Log
	rn.takeReport(Report{Incarnation: 10, Sequence: 4})
	rn.orders.order, rn.orders.givenAt = Order{Version: 2}, time.Now()
	rn.takeReport(Report{Sequence: 5})
	assert.Equal(t, rn.report.Sequence, uint64(5))
	assert.Equal(t, rn.report.Incarnation, incarnation.Number(10))
	assert.Assert(t, !rn.orders.givenAt.IsZero(), "the order counts as given")
}

func TestEngineThatAnswersNoMoreIsNotNamed(t *testing.T) {
	// As in step's TestAttendantNamesTheFormerEngine: an engine that crashes comes back
	// under another ID, and its reports say nothing of their start. A scheduler that
	// has just taken over knows no former engine, so that the attendant must not name
	// one that has stopped answering.
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
