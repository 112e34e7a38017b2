package step

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestCallsAreNotBrokenOffInTurns(t *testing.T) {
	// Symptom: two callers make call after call and none comes to its end.
	// Sequence: after an outage one is answered and tells the other, whose new call is
	// answered and tells the first, which has just begun another.
	// Cause: whatever was under way was broken off, however young.
	synctest.Test(t, func(t *testing.T) {
		var re revival
		old, cancelOld := re.bound(t.Context())
		defer cancelOld()
		time.Sleep(swallowedAfter)
		young, cancelYoung := re.bound(t.Context())
		re.tell()
		synctest.Wait()
		assert.Assert(t, old.Err() != nil)
		assert.NilError(t, young.Err())
		time.Sleep(swallowedAfter)
		re.tell()
		synctest.Wait()
		assert.Assert(t, young.Err() != nil, "it has grown old")
		cancelYoung()
		synctest.Wait()
	})
}
