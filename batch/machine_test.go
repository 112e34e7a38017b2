package batch

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriacroft/engine"
	"wisteriacroft/keyvalue"
	"wisteriacroft/message"
)

// A machine drives a world through random events: normal operation, faults, and single steps of
// time, I/O, lease renewals, tokens and the trainer, in any order.
type machine struct {
	*world
	done []*run // finished runs, whose results may be delivered again
	held []heldAnswer
	rt   *rapid.T
}

// A heldAnswer is a pull answer that the trainer has not processed yet.
type heldAnswer struct {
	answer message.PullResponse
	cursor message.Cursor
	node   *node
}

func (ma *machine) node(label string) *node {
	return ma.nodes[rapid.IntRange(0, len(ma.nodes)-1).Draw(ma.rt, label)]
}

func (ma *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"go-on":      ma.runTicks,
		"go-on-2":    ma.runTicks,
		"go-on-3":    ma.runTicks,
		"go-on-4":    ma.runTicks,
		"service-up": func(*rapid.T) { ma.me.SetFaults(keyvalue.Faults{}) },
		"mend": func(*rapid.T) {
			for _, no := range ma.nodes {
				no.cut, no.paused = false, false
			}
		},
		"tick":     func(*rapid.T) { ma.tick() },
		"sleep":    func(rt *rapid.T) { time.Sleep(ttl * time.Duration(rapid.IntRange(1, 8).Draw(rt, "quarters")) / 4) },
		"io":       ma.io,
		"renew":    ma.renew,
		"generate": ma.generateOne,
		"fail": func(rt *rapid.T) {
			if ru := ma.run(rt); ru != nil && !ru.node.dead {
				ru.node.ow.Failed(ru.at.ID, errDead)
			}
		},
		"deliver-again": func(rt *rapid.T) {
			if len(ma.done) > 0 {
				ma.deliver(ma.done[rapid.IntRange(0, len(ma.done)-1).Draw(rt, "run")])
			}
		},
		"kill": ma.killOne,
		"pause": func(*rapid.T) {
			no := ma.node("node")
			no.paused = !no.paused
		},
		"cut": func(*rapid.T) {
			no := ma.node("node")
			no.cut = !no.cut
		},
		"service": func(rt *rapid.T) {
			ma.me.SetFaults(keyvalue.Faults{
				LoseAnswers: rapid.Bool().Draw(rt, "lose-answers"),
				Outage:      rapid.Bool().Draw(rt, "outage"),
			})
		},
		"swap": func(rt *rapid.T) {
			ma.serving = engine.Version(rapid.Uint64Range(uint64(ma.serving), uint64(ma.trainer.version)).Draw(rt, "serving"))
		},
		"train":   func(*rapid.T) { ma.trainer.version++ },
		"submit":  func(*rapid.T) { ma.trainer.submit(ma.node("node")) },
		"pull":    ma.pullOne,
		"take":    ma.takeOne,
		"restart": func(rt *rapid.T) { ma.trainer.restart(rapid.IntRange(0, 3).Draw(rt, "back")) },
		"wipe": func(rt *rapid.T) {
			clear(ma.folders[rapid.SampledFrom([]string{"store-1", "store-2"}).Draw(rt, "folder")])
		},
	}
}

// runTicks runs some ticks, with or without the trainer.
func (ma *machine) runTicks(rt *rapid.T) {
	acts := rapid.Bool().Draw(rt, "trainer-acts")
	for range rapid.IntRange(1, 25).Draw(rt, "ticks") {
		ma.step()
		if acts {
			ma.trainer.act()
		}
	}
}

// tick runs the systems of all running entries without their I/O.
func (ma *machine) tick() {
	time.Sleep(tickEvery)
	for _, no := range ma.nodes {
		if !no.dead && !no.paused {
			no.tick()
		}
	}
}

// io runs one pending I/O function, possibly one that a dead entry had started.
func (ma *machine) io(rt *rapid.T) {
	no := ma.node("node")
	if len(no.jobs) > 0 && !no.paused {
		no.job(rapid.IntRange(0, len(no.jobs)-1).Draw(rt, "job"))
	}
}

func (ma *machine) renew(*rapid.T) {
	if no := ma.node("node"); !no.dead && !no.paused {
		no.holder.Step(ma.ctx)
	}
}

func (ma *machine) run(rt *rapid.T) *run {
	if len(ma.runs) == 0 {
		return nil
	}
	return ma.runs[rapid.IntRange(0, len(ma.runs)-1).Draw(rt, "run")]
}

// generateOne generates some tokens of a run, possibly all. A canceled run may still finish.
func (ma *machine) generateOne(rt *rapid.T) {
	ru := ma.run(rt)
	if ru == nil {
		return
	}
	canceled := ru.canceled
	ru.canceled = false
	for range rapid.IntRange(1, 30).Draw(rt, "tokens") {
		if ru.tokens == length(ru.at.Slot) {
			ma.done = append(ma.done, ru)
			break
		}
		ma.generate(ru)
	}
	ru.canceled = canceled
}

func (ma *machine) killOne(*rapid.T) {
	no := ma.node("node")
	if !no.dead && len(ma.nodes) < 6 {
		ma.kill(no, "by chance")
		ma.boot(fmt.Sprintf("%c", 'a'+len(ma.nodes)))
	}
}

func (ma *machine) pullOne(*rapid.T) {
	no := ma.node("node")
	if no.dead || no.paused {
		return
	}
	cu := ma.trainer.cursor
	if pu, err := ma.trainer.pull(no); err == nil && pu.Batch != "" {
		ma.held = append(ma.held, heldAnswer{answer: pu, cursor: cu, node: no})
	}
}

// takeOne lets the trainer process a held answer, possibly a late one, unless its cursor has
// changed since.
func (ma *machine) takeOne(rt *rapid.T) {
	if len(ma.held) == 0 {
		return
	}
	he := ma.held[rapid.IntRange(0, len(ma.held)-1).Draw(rt, "answer")]
	if he.node.dead || he.node.paused || he.cursor != ma.trainer.cursor {
		return
	}
	if ma.trainer.take(he.node, he.answer) && he.answer.Whole {
		ma.trainer.version++
	}
}

// heal ends all faults and runs the trainer until all steps are done.
func (ma *machine) heal() {
	ma.me.SetFaults(keyvalue.Faults{})
	for _, no := range ma.nodes {
		no.cut, no.paused = false, false
	}
	for i := 0; i < 6000 && !ma.trainer.done(); i++ {
		ma.serving = ma.trainer.version
		ma.step()
		ma.trainer.act()
	}
	if !ma.trainer.done() {
		ma.fail("progress", "trainer has %d samples after %q", len(ma.trainer.taken), ma.trainer.cursor.Batch)
	}
}

// A violation is the panic value of a violated invariant; rapid reports it outside the bubble.
type violation string

// setDefaultFlag sets a flag for this test unless the command line has set it.
func setDefaultFlag(t *testing.T, name, value string) {
	fl := flag.Lookup(name)
	if fl.Value.String() != fl.DefValue {
		return
	}
	assert.NilError(t, fl.Value.Set(value))
	t.Cleanup(func() { _ = fl.Value.Set(fl.DefValue) })
}

func TestMachine(t *testing.T) {
	// Guards against samples that are duplicated, lost, stale or wrongly attributed, under random
	// faults.
	setDefaultFlag(t, "rapid.checks", "300")
	setDefaultFlag(t, "rapid.nofailfile", "true")
	setDefaultFlag(t, "rapid.seed", "1")
	setDefaultFlag(t, "rapid.steps", "100")
	rapid.Check(t, func(rt *rapid.T) {
		po := Policy{
			KeptSteps:      rapid.IntRange(1, 2).Draw(rt, "kept"),
			MaxOpenSteps:   rapid.IntRange(1, 2).Draw(rt, "open"),
			Straggling:     rapid.SampledFrom([]StragglerRule{ResumeStragglers, RestartStragglers, KeepStragglers}).Draw(rt, "straggling"),
			StalenessBound: engine.Version(rapid.Uint64Range(0, 2).Draw(rt, "bound")),
			WholeSteps:     rapid.Bool().Draw(rt, "whole"),
		}
		var failure any
		synctest.Test(t, func(t *testing.T) {
			defer func() {
				failure = recover()
				time.Sleep(2 * ttl) // let pending submissions time out
			}()
			ma := &machine{rt: rt, world: newWorld(t.Context(), po, "a", "b")}
			ma.trainer.wanted, ma.trainer.ahead = 3, po.MaxOpenSteps-1
			ma.fail = func(invariant, format string, args ...any) {
				panic(violation(fmt.Sprintf(invariant+": "+format+"\n%s", append(args, strings.Join(ma.lines, "\n"))...)))
			}
			rt.Repeat(ma.actions())
			ma.heal()
		})
		if br, ok := failure.(violation); ok {
			rt.Fatal(string(br))
		}
		if failure != nil {
			panic(failure)
		}
	})
}
