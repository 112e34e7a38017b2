package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestExchangeWaitsForRunEnd(t *testing.T) {
	// Guards against a response that misses a run's end just after the request, which
	// delays the end of the step by an exchange interval.
	synctest.Test(t, func(t *testing.T) {
		const await = 500 * time.Millisecond
		rn := newRunner(&fakeEngine{length: 5})
		key := Key{Attempt: 1, Item: "i", Step: "s"}
		startedAt := time.Now()
		re := exchange(t, rn, ExchangeRequest{Await: await, Epoch: 1, Launches: []RunRequest{{Endpoint: "e", Key: key}}})
		assert.Equal(t, time.Since(startedAt), 240*time.Millisecond, "six gaps of 40 ms")
		assert.Equal(t, re.Runs[0].State, Complete)
		re = exchange(t, rn, ExchangeRequest{Await: await, Epoch: 1})
		assert.Equal(t, time.Since(startedAt), 240*time.Millisecond, "the end is not known yet")
		assert.Equal(t, len(re.Runs), 1)
		re = exchange(t, rn, ExchangeRequest{Await: await, Epoch: 1, Seen: []Ack{{Ended: true, Events: 5, Key: key}}})
		assert.Equal(t, time.Since(startedAt), 240*time.Millisecond+await, "nothing runs")
		assert.Equal(t, len(re.Runs), 0)
	})
}

func TestExchangeWaitsForLoadedWeights(t *testing.T) {
	// Guards against an engine that stays unused after a load until the next exchange.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		rn := newRunner(&fakeEngine{})
		go rn.Run(ctx)
		time.Sleep(time.Millisecond)
		or := Order{Endpoint: "e", Fence: 1, Model: "m", Version: 2}
		exchange(t, rn, ExchangeRequest{Epoch: 1, Order: &or})
		begun, loaded := time.Now(), false
		for !loaded && time.Since(begun) < 5*time.Second {
			re := exchange(t, rn, ExchangeRequest{Await: 10 * time.Second, Epoch: 1, Order: &or})
			loaded = re.Ordered == 0 && re.Report.Versions["m"] == 2
		}
		assert.Assert(t, time.Since(begun) <= 900*time.Millisecond+2*reportInterval, "%s", time.Since(begun))
		cancel()
		synctest.Wait()
	})
}

func TestLaterRequestReplacesWaitingOne(t *testing.T) {
	// Guards against two requests that both return the same end: the item would be requeued, and its
	// failure counted, twice.
	synctest.Test(t, func(t *testing.T) {
		rn := newRunner(&fakeEngine{length: 5})
		first := make(chan error, 1)
		go func() {
			_, err := rn.Exchange(t.Context(), ExchangeRequest{Await: time.Minute, Endpoint: "e", Epoch: 1, Number: 1})
			first <- err
		}()
		synctest.Wait()
		key := Key{Attempt: 1, Item: "i", Step: "s"}
		begun := time.Now()
		re, err := rn.Exchange(t.Context(), ExchangeRequest{Endpoint: "e", Epoch: 1, Launches: []RunRequest{{Endpoint: "e", Key: key}}, Number: 2})
		assert.NilError(t, err)
		assert.Equal(t, re.Running, 1)
		assert.Assert(t, errors.Is(<-first, errOutOfOrder))
		assert.Equal(t, time.Since(begun), time.Duration(0))

		go func() {
			_, err := rn.Exchange(t.Context(), ExchangeRequest{Await: time.Minute, Endpoint: "e", Epoch: 1, Number: 3})
			first <- err
		}()
		synctest.Wait()
		re, err = rn.Exchange(t.Context(), ExchangeRequest{Endpoint: "e", Epoch: 2, Number: 1})
		assert.NilError(t, err)
		assert.Equal(t, len(re.Runs), 1, "the next scheduler is told all")
		assert.Assert(t, errors.Is(<-first, ErrOldEpoch))
		time.Sleep(time.Second)
	})
}
