package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"wisteriacroft/keyvalue"
	"wisteriacroft/platform/standin"
)

// A fault is an action and, if it isn't instantaneous, the action that ends it.
type fault struct {
	name string
	do   func()
	undo func() // nil if there is nothing to undo
}

// injectFaults injects random, overlapping faults for a duration.
func (rn *run) injectFaults(ctx context.Context, length time.Duration) {
	end := time.Now().Add(length)
	var undos []func()
	for !rn.opts.Quiet && time.Now().Before(end) && ctx.Err() == nil {
		fa := rn.randomFault()
		rn.recordEvent(fa.name)
		fa.do()
		if fa.undo != nil {
			timer := time.AfterFunc(time.Duration(rn.rng.IntN(5000))*time.Millisecond, fa.undo)
			undos = append(undos, func() {
				timer.Stop()
				fa.undo()
			})
		}
		sleep(ctx, time.Duration(100+rn.rng.IntN(1500))*time.Millisecond)
	}
	for _, undo := range undos {
		undo()
	}
	if rn.opts.Quiet {
		sleep(ctx, length)
	}
}

// faultPlainEndpoints sets random faults at random plain endpoints, one at a time.
func (rn *run) faultPlainEndpoints(ctx context.Context, length time.Duration) {
	rng := newStream(rn.opts.Seed, plainStream)
	for end := time.Now().Add(length); !rn.opts.Quiet && time.Now().Before(end) && ctx.Err() == nil; {
		pe, fa := rn.world.plainEndpoints[rng.IntN(plainEndpointCount)], standin.Fault(1+rng.IntN(int(standin.FaultCount)-1))
		rn.recordEvent(fmt.Sprint(fa, " ", pe.ID))
		pe.SetFault(fa)
		sleep(ctx, time.Duration(200+rng.IntN(2000))*time.Millisecond)
		pe.SetFault(standin.NoFault)
		sleep(ctx, time.Duration(rng.IntN(1000))*time.Millisecond)
	}
}

// restartEndpoints restarts random endpoints under the same ID, and writes malformed
// endpoint entries to the store.
func (rn *run) restartEndpoints(ctx context.Context, length time.Duration) {
	rng := newStream(rn.opts.Seed, restartsStream)
	for end := time.Now().Add(length); !rn.opts.Quiet && time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(500+rng.IntN(3000))*time.Millisecond)
		switch rng.IntN(3) {
		case 0:
			en := rn.world.engines[rng.IntN(len(rn.world.engines))]
			rn.recordEvent("restart " + en.ID)
			en.Restart()
			continue
		case 1:
			pe := rn.world.plainEndpoints[rng.IntN(plainEndpointCount)]
			rn.recordEvent("restart " + pe.ID)
			pe.Restart()
			continue
		}
		entry := malformedEntries[rng.IntN(len(malformedEntries))]
		rn.recordEvent(fmt.Sprint("entry of another writer ", entry))
		rn.world.operator().WriteMalformed(ctx, fmt.Sprint("foreign-", rng.IntN(3)), entry)
	}
}

// malformedEntries are invalid or unknown endpoint entries.
var malformedEntries = []any{
	nil, "text",
	[]int{1},
	map[string]any{"service": plainService, "state": "ready"},
	map[string]any{"service": plainService, "address": 80, "zone": domain, "slots": slots, "state": "ready"},
	map[string]any{"service": engineService, "address": "127.0.0.1:1", "zone": domain, "slots": slots, "state": "warming"},
	map[string]any{"service": "none", "address": "127.0.0.1:1", "zone": domain, "slots": slots, "state": "ready"},
}

func (rn *run) recordEvent(name string) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.report.Faults = append(rn.report.Faults, fmt.Sprintf("%.1f %s", time.Since(rn.begun).Seconds(), name))
}

// randomFault returns a random fault.
func (rn *run) randomFault() fault {
	pg := rn.world.programs[rn.rng.IntN(len(rn.world.programs))]
	switch rn.rng.IntN(10) {
	case 0:
		return fault{name: "kill " + pg.name, do: func() { pg.signal(syscall.SIGKILL) }}
	case 1:
		return fault{name: "terminate " + pg.name, do: func() { pg.signal(syscall.SIGTERM) }}
	case 2:
		return fault{name: "hang up " + pg.name, do: func() { pg.signal(syscall.SIGHUP) }}
	case 3:
		return fault{
			name: "pause " + pg.name,
			do:   func() { pg.signal(syscall.SIGSTOP) }, undo: func() { pg.signal(syscall.SIGCONT) },
		}
	case 4:
		return proxyFault("store of "+pg.name, pg.store, rn.rng.IntN(int(modes)))
	case 5:
		at := rn.rng.IntN(len(rn.world.proxies))
		return proxyFault(fmt.Sprint("endpoint ", at), rn.world.proxies[at], rn.rng.IntN(int(modes)))
	case 6:
		return rn.outage()
	case 7:
		st := rn.world.store
		return fault{name: "store loses answers", do: func() { st.LoseAnswers.Store(true) }, undo: func() { st.LoseAnswers.Store(false) }}
	case 8:
		return fault{name: "store forgets", do: rn.world.store.Memory.Forget}
	default:
		en := rn.world.engines[rn.rng.IntN(len(rn.world.engines))]
		return fault{name: "slow " + en.ID, do: func() { en.Slow(5) }, undo: func() { en.Slow(1) }}
	}
}

// proxyFault sets a proxy's mode; for the mode pass, it resets the open connections.
func proxyFault(name string, pr *proxy, how int) fault {
	mo := mode(how)
	if mo == pass {
		return fault{name: "reset " + name, do: pr.reset}
	}
	return fault{
		name: modeNames[mo] + " " + name, do: func() { pr.set(mo) }, undo: func() {
			pr.set(pass)
			pr.reset() // drops the bytes that were held back
		},
	}
}

// outage makes the whole store unavailable or slow.
func (rn *run) outage() fault {
	me := &rn.world.store.Memory
	set := func(fa keyvalue.Faults) func() { return func() { me.SetFaults(fa) } }
	if rn.rng.IntN(2) == 0 {
		return fault{name: "store slow", do: set(keyvalue.Faults{Delay: 200 * time.Millisecond}), undo: set(keyvalue.Faults{})}
	}
	return fault{name: "store unavailable", do: set(keyvalue.Faults{Outage: true}), undo: set(keyvalue.Faults{})}
}
