package keyvalue

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestCallersDoNotCancelEachOther(t *testing.T) {
	// Guards against a livelock in which two callers cancel each other's new calls: only calls that were sent before the
	// answered one are canceled.
	synctest.Test(t, func(t *testing.T) {
		var re Recovery
		old, cancelOld := re.Context(t.Context())
		defer cancelOld()
		time.Sleep(time.Millisecond)
		answered := time.Now()
		young, cancelYoung := re.Context(t.Context())
		re.Notify(answered)
		synctest.Wait()
		assert.Assert(t, old.Err() != nil)
		assert.NilError(t, young.Err())
		time.Sleep(time.Millisecond)
		re.Notify(time.Now())
		synctest.Wait()
		assert.Assert(t, young.Err() != nil, "it was sent before the second recovery")
		cancelYoung()
		synctest.Wait()
	})
}
