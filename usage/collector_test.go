package usage

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

// Trouble strikes after some windows of calm, and lasts a while. No rule of the reports
// may break in any of these, and the windows must be right but for those named.
func TestReports(t *testing.T) {
	cases := []struct {
		name    string
		trouble func(ctx context.Context, wo *world)
		wrong   int // windows that may be missing or off
	}{
		{name: "calm", trouble: func(context.Context, *world) {}},
		// An entry is killed in the midst of a window, 200 ms after it last began
		// something: what it had pushed counts.
		{name: "entry killed", trouble: func(_ context.Context, wo *world) {
			wo.killEntry(wo.entries[0])
		}},
		// The holder and an entry are lost in one moment. What the entry had pushed
		// and the holder had not written is lost: half a second of one entry's.
		{name: "holder and entry killed", trouble: func(_ context.Context, wo *world) {
			wo.killEntry(wo.entries[0])
			wo.current().kill()
		}, wrong: 1},
		{name: "holder killed", trouble: func(_ context.Context, wo *world) {
			wo.current().kill()
		}},
		{name: "holder killed twice", trouble: func(_ context.Context, wo *world) {
			wo.current().kill()
			time.Sleep(5 * time.Second)
			wo.current().kill()
		}},
		{name: "holder killed and started again", trouble: func(ctx context.Context, wo *world) {
			pr := wo.current()
			pr.kill()
			time.Sleep(300 * time.Millisecond)
			wo.startProcess(ctx, pr.name)
		}},
		// The key-value service is silent over a window's end: leases lapse.
		{name: "service away", trouble: func(_ context.Context, wo *world) {
			wo.memory.SetFaults(keyvalue.Faults{Outage: true})
			time.Sleep(4500 * time.Millisecond)
			wo.memory.SetFaults(keyvalue.Faults{})
		}},
		{name: "answers of the service lost", trouble: func(_ context.Context, wo *world) {
			wo.memory.SetFaults(keyvalue.Faults{LoseAnswers: true})
			time.Sleep(4500 * time.Millisecond)
			wo.memory.SetFaults(keyvalue.Faults{})
		}},
		{name: "service slow", trouble: func(_ context.Context, wo *world) {
			wo.memory.SetFaults(keyvalue.Faults{Delay: 240 * time.Millisecond})
			time.Sleep(6 * time.Second)
			wo.memory.SetFaults(keyvalue.Faults{})
		}},
		// Symptom: no report is made for as long as the service is slow. Events: each
		// write takes longer than the time for which it allowed calls, so that the
		// holder wrote without end.
		{name: "service very slow", trouble: func(_ context.Context, wo *world) {
			wo.memory.SetFaults(keyvalue.Faults{Delay: 600 * time.Millisecond})
			time.Sleep(25 * time.Second)
			wo.memory.SetFaults(keyvalue.Faults{})
		}},
		// The time of day jumps by minutes on a third of the instances, that of the
		// holder among them, and then the holder is lost.
		{name: "clocks step", trouble: func(_ context.Context, wo *world) {
			wo.current().skew = 3 * time.Minute
			wo.entries[1].skew = 3 * time.Minute
			time.Sleep(3 * time.Second)
			wo.current().kill()
			time.Sleep(5 * time.Second)
			wo.entries[1].skew = -time.Minute
		}},
		{name: "authority slow", trouble: func(_ context.Context, wo *world) {
			wo.authority.set(time.Second, false, false)
			time.Sleep(6 * time.Second)
			wo.authority.set(0, false, false)
		}},
		{name: "authority's answers lost", trouble: func(_ context.Context, wo *world) {
			wo.authority.set(0, true, false)
			time.Sleep(6 * time.Second)
			wo.authority.set(0, false, false)
		}},
		{name: "authority refuses", trouble: func(_ context.Context, wo *world) {
			wo.authority.set(0, false, true)
			time.Sleep(6 * time.Second)
			wo.authority.set(0, false, false)
		}},
		{name: "authority slow and holder killed", trouble: func(_ context.Context, wo *world) {
			wo.authority.set(time.Second, true, false)
			time.Sleep(2 * time.Second)
			wo.current().kill()
			time.Sleep(2 * time.Second)
			wo.authority.set(0, false, false)
		}},
		// The holder is frozen past its lease, another takes over, the first thaws.
		{name: "holder frozen", trouble: func(_ context.Context, wo *world) {
			pr := wo.current()
			pr.set(true, false)
			time.Sleep(4 * time.Second)
			pr.set(false, false)
		}},
		// The holder is cut off from the service and not from who takes the reports.
		// The others believe it dead and take the lease from it while it still counts
		// it as its own.
		{name: "holder cut off and replaced early", trouble: func(_ context.Context, wo *world) {
			pr := wo.current()
			wo.suspect(pr.name, true)
			pr.set(false, true)
			time.Sleep(4 * time.Second)
			pr.set(false, false)
			wo.suspect(pr.name, false)
		}},
		// Both believe the other dead, and replace each other in turns.
		{name: "holders replace each other", trouble: func(_ context.Context, wo *world) {
			for range 4 {
				pr := wo.current()
				if pr == nil {
					time.Sleep(time.Second)
					continue
				}
				wo.suspect(pr.name, true)
				pr.set(false, true)
				time.Sleep(1200 * time.Millisecond)
				pr.set(false, false)
				wo.suspect(pr.name, false)
			}
		}, wrong: 1},
	}
	for _, tc := range cases {
		for _, phase := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 4800 * time.Millisecond} {
			t.Run(tc.name+" at "+phase.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					wo := newWorld(ctx, t, 3, 4)
					time.Sleep(10 * time.Second) // requests begin when all is up
					go func() {
						time.Sleep(10*time.Second + phase)
						tc.trouble(ctx, wo)
					}()
					wo.serve(35 * time.Second)
					time.Sleep(12 * time.Second)
					cancel()
					time.Sleep(2 * time.Second) // all that runs comes to its end
					right, of := wo.right()
					assert.Assert(t, of >= 7)
					assert.Assert(t, right >= of-tc.wrong, "%d of %d", right, of)
					assert.DeepEqual(t, wo.authority.broken, []string(nil))
				})
			})
		}
	}
}

func (au *authority) set(delay time.Duration, lose, refuse bool) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.delay, au.lose, au.refuse = delay, lose, refuse
}

// suspect makes all other processes believe one dead.
func (wo *world) suspect(name string, yes bool) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	for _, pr := range wo.processes {
		pr.suspects(name, yes)
	}
}
