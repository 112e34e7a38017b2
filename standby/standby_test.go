package standby

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

// Failure: added processes follow the key-value service at full price, though none of them is needed.
func TestSurplusIsIdle(t *testing.T) {
	calls := func(domains ...string) (count int64) {
		test(t, func(wo *world) {
			time.Sleep(10 * time.Second)
			assert.Equal(t, wo.standing(), 3)
			before := wo.memory.Calls()
			time.Sleep(time.Minute)
			after := wo.memory.Calls()
			count = after.Reads + after.Watches + after.Writes - before.Reads - before.Watches - before.Writes
			assert.Equal(t, wo.standing(), 3)
			covered := map[string]bool{}
			for _, no := range wo.nodes {
				if !no.member.Idle() {
					covered[no.member.Domain] = true
				}
			}
			assert.Equal(t, len(covered), 3, "one in each failure domain")
		}, domains...)
		return count
	}
	few := calls("a", "b", "c")
	many := calls("a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c")
	assert.Assert(t, many <= few+1, "%d calls, %d without idle processes", many, few)
}

// Failure: the holder and all standbys are lost together, and the idle processes stay idle.
func TestIdleTakesOver(t *testing.T) {
	test(t, func(wo *world) {
		time.Sleep(10 * time.Second)
		for address, no := range wo.nodes {
			if !no.member.Idle() {
				wo.kill(address)
			}
		}
		time.Sleep(takeoverTime)
		assert.Equal(t, len(wo.holders()), 1)
	}, "a", "a", "a", "b", "b", "b")
}

// Failure: a standby is lost, and the next loss of the holder finds no other.
func TestStandbyIsReplaced(t *testing.T) {
	test(t, func(wo *world) {
		time.Sleep(10 * time.Second)
		for address, no := range wo.nodes {
			if !no.member.Idle() && !no.member.Lease.HeldFunc() {
				wo.kill(address)
			}
		}
		time.Sleep(reportWait + absentAfter + time.Second) // the killed ones' reports still wait
		assert.Equal(t, wo.standing(), 3)
	}, "a", "a", "b", "b", "c", "c")
}

// Failure: the last process retires, and none is left.
func TestRetireWithoutSuccessor(t *testing.T) {
	test(t, func(wo *world) {
		time.Sleep(time.Second)
		go wo.retire("n1")
		time.Sleep(time.Minute)
		assert.Assert(t, !wo.nodes["n1"].retired.Load())
		assert.DeepEqual(t, wo.holders(), []string{"n1"})
		wo.start("n2", "a")
		time.Sleep(2 * time.Second)
		assert.Assert(t, wo.nodes["n1"].retired.Load())
		assert.DeepEqual(t, wo.holders(), []string{"n2"})
	}, "a")
}

// Failure: all processes are asked to retire at the same time, each finds another one standing by, and all leave.
func TestRetireTogether(t *testing.T) {
	for count := 2; count <= 5; count++ {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			domains := []string{"a", "b", "c", "a", "b"}[:count]
			test(t, func(wo *world) {
				time.Sleep(10 * time.Second)
				for address := range wo.nodes {
					go wo.retire(address)
				}
				time.Sleep(time.Minute)
				var left []string
				for address, no := range wo.nodes {
					if !no.retired.Load() {
						left = append(left, address)
					}
				}
				assert.DeepEqual(t, wo.holders(), left)
				assert.Equal(t, len(left), 1)
				wo.start("next", "c")
				time.Sleep(2 * time.Second)
				assert.DeepEqual(t, wo.holders(), []string{"next"})
				assert.Assert(t, wo.nodes[left[0]].retired.Load())
			}, domains...)
		})
	}
}

// Failure: planned replacement of all instances, one after the other, is held up or leaves no holder.
func TestReplaceAll(t *testing.T) {
	test(t, func(wo *world) {
		for i, domain := range []string{"a", "b", "c"} {
			wo.start(fmt.Sprint("added", i+1), domain)
		}
		time.Sleep(6 * time.Second)
		for i := range 3 {
			address := fmt.Sprint("n", i+1)
			go wo.retire(address)
			time.Sleep(time.Second)
			assert.Assert(t, wo.nodes[address].retired.Load(), address)
			wo.kill(address)
			time.Sleep(4 * time.Second)
			assert.Equal(t, len(wo.holders()), 1)
			assert.Equal(t, wo.standing(), 3)
		}
	}, "a", "b", "c")
}

// Failure: an idle process, which doesn't follow the operator's keys, is never told to retire.
func TestHolderTellsIdleToRetire(t *testing.T) {
	test(t, func(wo *world) {
		time.Sleep(10 * time.Second)
		holder := wo.nodes[wo.holders()[0]]
		for address, no := range wo.nodes {
			if no.member.Idle() {
				holder.roster.Retire(address)
				time.Sleep(time.Second)
				assert.Assert(t, no.retired.Load())
			}
		}
	}, "a", "b", "c", "a", "b")
}

// Failure: in an outage of the key-value service idle processes begin to call it, and add to its load.
func TestIdleInOutage(t *testing.T) {
	test(t, func(wo *world) {
		time.Sleep(10 * time.Second)
		wo.memory.SetFaults(keyvalue.Faults{Outage: true})
		time.Sleep(8 * time.Second)
		assert.Equal(t, wo.standing(), 3)
		wo.memory.SetFaults(keyvalue.Faults{})
		time.Sleep(takeoverTime)
		assert.Equal(t, len(wo.holders()), 1)
		assert.Equal(t, wo.standing(), 3)
	}, "a", "a", "b", "b", "c", "c")
}
