package batch

import (
	"cmp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/keyvalue"
	"wisteriacroft/message"
)

// A session is a scenario: a fault in a world, its policy and its number of steps.
type session struct {
	fault  func(wo *world)
	policy Policy
	steps  int // 0 means 2
}

// kill makes entry a crash at a ledger write: 1 adopts, 2 accepts step 0, 3 seals it, 4 acknowledges
// it.
func kill(write int, late bool) func(wo *world) {
	return func(wo *world) { wo.nodes[0].killAt, wo.nodes[0].killLate = write, late }
}

// wipe deletes the contents of data folders.
func wipe(wo *world, instances ...string) {
	for _, in := range instances {
		clear(wo.folders[in])
	}
	wo.note("%s lost", strings.Join(instances, " and "))
}

// faults injects faults of the key-value service for a period.
func faults(wo *world, after, length time.Duration, fa keyvalue.Faults) {
	wo.at(after, func() { wo.me.SetFaults(fa); wo.note("key-value service has faults") })
	wo.at(after+length, func() { wo.me.SetFaults(keyvalue.Faults{}); wo.note("key-value service has recovered") })
}

// sessions guard against samples that are duplicated, lost, stale or wrongly attributed after the
// fault that the name states.
var sessions = map[string]session{
	"plain":                           {fault: func(*world) {}},
	"owner-dies-before-adoption":      {fault: kill(1, false)},
	"owner-dies-before-acceptance":    {fault: kill(2, false)},
	"owner-dies-after-acceptance":     {fault: kill(2, true)},
	"owner-dies-before-seal":          {fault: kill(3, false)},
	"owner-dies-after-seal":           {fault: kill(3, true)},
	"owner-dies-before-acknowledging": {fault: kill(4, false)},
	"owner-dies-after-acknowledging":  {fault: kill(4, true)},
	"owner-dies-after-hand-over": {fault: func(wo *world) {
		wo.onHandOver = func() { wo.kill(wo.nodes[0], "after the hand-over") }
	}},
	"owner-leaves": {fault: func(wo *world) {
		wo.at(time.Second, func() {
			wo.note("a releases its lease")
			wo.nodes[0].renewAt = time.Now().Add(time.Hour)
			if err := wo.nodes[0].holder.Release(wo.ctx); err != nil {
				wo.fail("release", "%v", err)
			}
		})
	}},
	"owner-is-paused-and-wakes": {fault: func(wo *world) {
		wo.at(time.Second, func() { wo.nodes[0].paused = true; wo.note("a is paused") })
		wo.at(9*time.Second, func() { wo.nodes[0].paused = false; wo.note("a resumes") })
	}, steps: 4},
	"owner-is-cut-off": {fault: func(wo *world) {
		wo.at(time.Second, func() { wo.nodes[0].cut = true; wo.note("a is cut off") })
		wo.at(12*time.Second, func() { wo.nodes[0].cut = false; wo.note("a is connected") })
	}, steps: 4},
	"owner-is-cut-off-after-seal": {fault: func(wo *world) {
		wo.onHandOver = func() {
			wo.nodes[0].cut, wo.trainer.idle = true, true
			wo.note("a is cut off, trainer stops pulling")
		}
		wo.at(8*time.Second, func() { wo.trainer.idle = false })
		wo.at(12*time.Second, func() { wo.nodes[0].cut = false; wo.note("a is connected") })
	}, steps: 4},
	"two-owners-seal-other-groups": {fault: func(wo *world) {
		wo.slow = func(ru *run) bool {
			other := strings.Contains(ru.at.ID, "-e2-") != (ru.at.Slot.Group == 1)
			return other && time.Since(wo.started) < 8*time.Second
		}
		wo.at(time.Second, func() {
			wo.nodes[0].cut, wo.nodes[0].renewAt = true, time.Now().Add(12*time.Second)
			wo.note("a is cut off")
		})
		wo.at(8*time.Second, func() {
			wo.nodes[0].cut = false
			wo.note("a is connected, but does not renew its lease yet")
			wo.kill(wo.nodes[1], "after the hand-over")
		})
	}, policy: Policy{StalenessBound: 1}},
	"trainer-goes-back-past-a-cut-off-owner": {fault: func(wo *world) {
		wo.trainer.ahead = 1
		wo.at(7*time.Second, func() { wo.trainer.idle = true })
		wo.at(10*time.Second, func() { wo.nodes[0].cut = true; wo.note("a is cut off") })
		wo.at(15*time.Second, func() {
			wo.trainer.restart(3)
			wo.trainer.idle, wo.trainer.edition = false, 1
			wo.note("trainer asks for other prompts")
		})
	}, policy: Policy{StalenessBound: 9, WholeSteps: true}, steps: 6},
	"trainer-restarts-after-hand-over": {fault: func(wo *world) {
		wo.onHandOver = func() { wo.trainer.restart(0) }
	}},
	"trainer-restarts-one-step-back": {fault: func(wo *world) {
		wo.at(4*time.Second, func() { wo.trainer.restart(1) })
	}, steps: 3},
	"trainer-restarts-behind-kept-steps": {fault: func(wo *world) {
		wo.at(5*time.Second, func() { wo.trainer.restart(3) })
	}, steps: 4},
	"late-pull-of-a-former-trainer": {fault: func(wo *world) {
		wo.at(5*time.Second, func() {
			former := wo.trainer.cursor
			wo.trainer.restart(3)
			wo.at(time.Second, func() {
				_, err := wo.nodes[0].ow.Pull(wo.ctx, name, message.PullRequest{Cursor: former})
				wo.note("late pull: %v", err)
			})
		})
	}, steps: 4},
	"trainer-restarts-before-clean-up": {fault: func(wo *world) {
		kill(8, false)(wo) // write 8 would release step 0
		wo.at(6*time.Second, func() { wo.trainer.restart(2) })
	}, steps: 3},
	"outage-in-a-step": {fault: func(wo *world) {
		faults(wo, time.Second, time.Minute, keyvalue.Faults{Outage: true})
	}},
	"outage-after-hand-over": {fault: func(wo *world) {
		wo.onHandOver = func() {
			faults(wo, 0, time.Minute, keyvalue.Faults{Outage: true})
			wo.trainer.restart(0)
		}
	}},
	"answers-lost": {fault: func(wo *world) {
		faults(wo, 200*time.Millisecond, 5*time.Second, keyvalue.Faults{LoseAnswers: true})
	}},
	"folder-lost": {fault: func(wo *world) {
		wo.onHandOver = func() { wipe(wo, "store-1") }
	}},
	"both-folders-lost": {fault: func(wo *world) {
		wo.onHandOver = func() { wipe(wo, "store-1", "store-2") }
	}},
	"both-folders-out-of-reach": {fault: func(wo *world) {
		wo.onHandOver = func() {
			wo.note("all payloads are unreachable")
			wo.cutOff = map[string]bool{}
			for digest := range wo.generated {
				wo.cutOff[digest] = true
			}
			wo.trainer.version, wo.serving = 2, 2 // samples generated again then differ in version
		}
	}},
	"request-lost-with-its-owner": {fault: func(wo *world) {
		wo.at(time.Second, func() {
			wo.kill(wo.nodes[0], "in the step")
			wipe(wo, "store-1", "store-2")
		})
	}},
	"weights-swap-mid-sample": {fault: func(wo *world) {
		wo.at(time.Second, func() { wo.serving = 2; wo.note("engines serve version 2") })
	}},
	"weights-move-before-hand-over": {fault: func(wo *world) {
		wo.trainer.idle = true
		wo.at(0, func() { wo.trainer.submit(wo.nodes[0]) })
		wo.at(5*time.Second, func() {
			wo.trainer.idle, wo.trainer.version, wo.serving = false, 3, 3
			wo.note("trainer and engines are at version 3")
		})
	}},
	"weights-move-after-hand-over": {fault: func(wo *world) {
		wo.onHandOver = func() {
			wo.trainer.restart(0)
			wo.trainer.version, wo.serving = 3, 3
			wo.note("trainer and engines are at version 3")
		}
	}},
	"owner-dies-in-an-outage": {fault: func(wo *world) {
		faults(wo, time.Second, 20*time.Second, keyvalue.Faults{Outage: true})
		wo.at(5*time.Second, func() { wo.kill(wo.nodes[0], "in the outage") })
	}},
	"owner-dies-and-folder-lost": {fault: func(wo *world) {
		wo.onHandOver = func() {
			wo.kill(wo.nodes[0], "after the hand-over")
			wipe(wo, "store-1", "store-2")
		}
	}},
	"groups-as-they-complete": {fault: func(wo *world) {
		kill(5, false)(wo)
		wo.slow = func(ru *run) bool { return ru.at.Slot.Group == 1 && time.Since(wo.started) < 5*time.Second }
	}, policy: Policy{StalenessBound: 1}},
	"step-submitted-before-the-pull": {fault: func(wo *world) {
		wo.trainer.ahead, wo.trainer.eager = 1, true
	}, steps: 4},
	"straggler-resumed": {fault: func(wo *world) {
		wo.slow = func(ru *run) bool { return ru.at.Slot.Member == 1 && ru.at.ResumeFrom == nil && ru.tokens > 1 }
	}, policy: Policy{StalenessBound: 1, StragglerAfter: 5 * time.Second, WholeSteps: true}},
}

func TestSessions(t *testing.T) {
	for name, se := range sessions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wo := newWorld(t.Context(), cmp.Or(se.policy, Policy{StalenessBound: 1, WholeSteps: true}), "a", "b")
				wo.fail = func(invariant, format string, args ...any) {
					t.Fatalf(invariant+": "+format+"\n%s", append(args, strings.Join(wo.lines, "\n"))...)
				}
				wo.trainer.wanted = cmp.Or(se.steps, 2)
				se.fault(wo)
				for i := 0; i < 1200 && !wo.trainer.done(); i++ {
					wo.step()
					wo.trainer.act()
				}
				assert.Assert(t, wo.trainer.done(), "lost:\n%s", strings.Join(wo.lines, "\n"))
				golden.Assert(t, strings.Join(wo.lines, "\n")+"\n", name+".golden")
			})
		})
	}
}
