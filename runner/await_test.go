package runner

import (
	"testing"
	"testing/synctest"
	"time"

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
