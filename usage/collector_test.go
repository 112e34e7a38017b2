package usage

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

// Injects faults for a while after some windows. The reports must not violate any rule, and all
// windows but the allowed number must be correct.
func TestReports(t *testing.T) {
	cases := []struct {
		name  string
		fault func(ctx context.Context, si *simulation)
		wrong int // windows that may be missing or inaccurate
	}{
		{name: "no fault", fault: func(context.Context, *simulation) {}},
		// An entry is killed within a window. What it had pushed counts.
		{name: "entry killed", fault: func(_ context.Context, si *simulation) {
			si.killEntry(si.entries[0])
		}},
		// The holder and an entry are killed at once. Starts that the entry had pushed and the
		// holder had not saved are lost.
		{name: "holder and entry killed", fault: func(_ context.Context, si *simulation) {
			si.killEntry(si.entries[0])
			si.current().kill()
		}, wrong: 1},
		{name: "holder killed", fault: func(_ context.Context, si *simulation) {
			si.current().kill()
		}},
		{name: "holder killed twice", fault: func(_ context.Context, si *simulation) {
			si.current().kill()
			time.Sleep(5 * time.Second)
			si.current().kill()
		}},
		{name: "holder restarted", fault: func(ctx context.Context, si *simulation) {
			pr := si.current()
			pr.kill()
			time.Sleep(300 * time.Millisecond)
			si.startProcess(ctx, pr.name)
		}},
		// The key-value service is unavailable over a window's end, and leases expire.
		{name: "outage", fault: func(_ context.Context, si *simulation) {
			si.memory.SetFaults(keyvalue.Faults{Outage: true})
			time.Sleep(4500 * time.Millisecond)
			si.memory.SetFaults(keyvalue.Faults{})
		}},
		{name: "responses of the service lost", fault: func(_ context.Context, si *simulation) {
			si.memory.SetFaults(keyvalue.Faults{LoseAnswers: true})
			time.Sleep(4500 * time.Millisecond)
			si.memory.SetFaults(keyvalue.Faults{})
		}},
		{name: "service slow", fault: func(_ context.Context, si *simulation) {
			si.memory.SetFaults(keyvalue.Faults{Delay: 240 * time.Millisecond})
			time.Sleep(6 * time.Second)
			si.memory.SetFaults(keyvalue.Faults{})
		}},
		// Guards against a holder that writes forever without making a call because each
		// write takes longer than the time for which it permits calls.
		{name: "service very slow", fault: func(_ context.Context, si *simulation) {
			si.memory.SetFaults(keyvalue.Faults{Delay: 600 * time.Millisecond})
			time.Sleep(25 * time.Second)
			si.memory.SetFaults(keyvalue.Faults{})
		}},
		// The wall clocks of a third of the instances, including the holder's, step by
		// minutes, and then the holder is killed.
		{name: "clocks step", fault: func(_ context.Context, si *simulation) {
			si.current().skew = 3 * time.Minute
			si.entries[1].skew = 3 * time.Minute
			time.Sleep(3 * time.Second)
			si.current().kill()
			time.Sleep(5 * time.Second)
			si.entries[1].skew = -time.Minute
		}},
		{name: "report server slow", fault: func(_ context.Context, si *simulation) {
			si.server.set(time.Second, false, false)
			time.Sleep(6 * time.Second)
			si.server.set(0, false, false)
		}},
		{name: "responses of the report server lost", fault: func(_ context.Context, si *simulation) {
			si.server.set(0, true, false)
			time.Sleep(6 * time.Second)
			si.server.set(0, false, false)
		}},
		{name: "report server rejects", fault: func(_ context.Context, si *simulation) {
			si.server.set(0, false, true)
			time.Sleep(6 * time.Second)
			si.server.set(0, false, false)
		}},
		{name: "report server slow and holder killed", fault: func(_ context.Context, si *simulation) {
			si.server.set(time.Second, true, false)
			time.Sleep(2 * time.Second)
			si.current().kill()
			time.Sleep(2 * time.Second)
			si.server.set(0, false, false)
		}},
		// The holder is paused until its lease has expired, another takes over, and the first
		// resumes.
		{name: "holder frozen", fault: func(_ context.Context, si *simulation) {
			pr := si.current()
			pr.set(true, false)
			time.Sleep(4 * time.Second)
			pr.set(false, false)
		}},
		// The holder is cut off from the service but not from the report server. The others
		// suspect it to be dead and take over its lease before it notices.
		{name: "holder cut off and replaced early", fault: func(_ context.Context, si *simulation) {
			pr := si.current()
			si.suspect(pr.name, true)
			pr.set(false, true)
			time.Sleep(4 * time.Second)
			pr.set(false, false)
			si.suspect(pr.name, false)
		}},
		// Two holders suspect each other to be dead, and replace each other repeatedly.
		{name: "holders replace each other", fault: func(_ context.Context, si *simulation) {
			for range 4 {
				pr := si.current()
				if pr == nil {
					time.Sleep(time.Second)
					continue
				}
				si.suspect(pr.name, true)
				pr.set(false, true)
				time.Sleep(1200 * time.Millisecond)
				pr.set(false, false)
				si.suspect(pr.name, false)
			}
		}, wrong: 1},
	}
	for _, tc := range cases {
		for _, phase := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 4800 * time.Millisecond} {
			t.Run(tc.name+" at "+phase.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					si := newSimulation(ctx, t, 3, 4)
					time.Sleep(10 * time.Second) // requests start once all processes run
					go func() {
						time.Sleep(10*time.Second + phase)
						tc.fault(ctx, si)
					}()
					si.serve(35 * time.Second)
					time.Sleep(12 * time.Second)
					cancel()
					time.Sleep(2 * time.Second) // all goroutines end
					correct, total := si.correct()
					assert.Assert(t, total >= 7)
					assert.Assert(t, correct >= total-tc.wrong, "%d of %d", correct, total)
					assert.DeepEqual(t, si.server.violations, []string(nil))
				})
			})
		}
	}
}

func (rs *reportServer) set(delay time.Duration, lose, refuse bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.delay, rs.lose, rs.refuse = delay, lose, refuse
}

// suspect sets whether all other processes suspect one to be dead.
func (si *simulation) suspect(name string, yes bool) {
	si.mu.Lock()
	defer si.mu.Unlock()
	for _, pr := range si.processes {
		pr.setSuspected(name, yes)
	}
}
