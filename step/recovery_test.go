package step

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestCallersDoNotCancelEachOther(t *testing.T) {
	// Guards against a livelock in which two callers cancel each other's new calls: only calls older than
	// minCancelAge are canceled.
	synctest.Test(t, func(t *testing.T) {
		var re recoverySignal
		old, cancelOld := re.callContext(t.Context())
		defer cancelOld()
		time.Sleep(minCancelAge)
		young, cancelYoung := re.callContext(t.Context())
		re.notify()
		synctest.Wait()
		assert.Assert(t, old.Err() != nil)
		assert.NilError(t, young.Err())
		time.Sleep(minCancelAge)
		re.notify()
		synctest.Wait()
		assert.Assert(t, young.Err() != nil, "it has reached minCancelAge")
		cancelYoung()
		synctest.Wait()
	})
}
