package capacity

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// controlPlaneSizes are the numbers of engines that BenchmarkControlPlane measures.
var controlPlaneSizes = flag.String("engines", "250,500,1000", "sizes of BenchmarkControlPlane, in engines")

// BenchmarkControlPlane prints what each role of a deployment costs in each phase of its life, and how
// long changes take to reach all processes. Time is that of a bubble, so that no process is ever late:
// processor time is what the work asks for, also where a real processor couldn't give it.
func BenchmarkControlPlane(b *testing.B) {
	for size := range strings.SplitSeq(*controlPlaneSizes, ",") {
		engines, err := strconv.Atoi(size)
		assert.NilError(b, err)
		b.Run(size, func(b *testing.B) {
			for b.Loop() {
				fmt.Print(header, measureControlPlane(b, newProfiler(b), engines))
			}
		})
	}
}

// measureControlPlane plays a deployment and returns the rows of its phases.
func measureControlPlane(tb testing.TB, pr *profiler, engines int) string {
	var sb strings.Builder
	bubble(tb, func() {
		cp := newControlPlane(tb, engines)
		defer cp.stop()
		report := func(ph phase) { sb.WriteString(ph.rows(engines)) }
		report(cp.measure(pr, "start", func() {
			cp.startAll(tb)
			waitUntil(func() bool { return cp.allKnow(engines) })
		}))
		time.Sleep(2 * time.Second)
		report(cp.measure(pr, "idle", func() { time.Sleep(5 * time.Second) }))
		fmt.Fprintf(&sb, "%-8d %.2f s until all follow a configuration\n", engines, cp.changeConfiguration(tb, 2).Seconds())
		report(cp.measure(pr, "return", func() { cp.massReturn(tb, engines) }))

		trainers := cp.startTrainers(tb)
		time.Sleep(2 * stepInterval)
		report(cp.measure(pr, "work", func() { time.Sleep(2 * stepInterval) }))
		report(cp.measure(pr, "work, return", func() { cp.massReturn(tb, engines) }))
		fmt.Fprintf(&sb, "%-8d %.2f s until all follow a configuration, at work\n", engines, cp.changeConfiguration(tb, 3).Seconds())
		var taken, heard time.Duration
		report(cp.measure(pr, "takeover", func() { taken, heard = cp.loseScheduler() }))
		fmt.Fprintf(&sb, "%-8d %.2f s until another scheduler, %.2f s until all attendants hear of it\n", engines, taken.Seconds(), heard.Seconds())
		trainers.stop()
		fmt.Fprintf(&sb, "%-8d %d items requested, %d completed\n", engines, trainers.requested(), trainers.completed())
	})
	return sb.String()
}

// bubble runs a function in a bubble of its own.
func bubble(tb testing.TB, fn func()) {
	tb.Helper()
	switch t := tb.(type) {
	case *testing.T:
		synctest.Test(t, func(*testing.T) { fn() })
	default:
		ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{
			{Name: "bubble", F: func(t *testing.T) { synctest.Test(t, func(*testing.T) { fn() }) }},
		})
		assert.Assert(tb, ok)
	}
}

// changeConfiguration puts a configuration in force and returns how long it takes to reach all entries.
func (cp *controlPlane) changeConfiguration(tb testing.TB, version int64) time.Duration {
	cp.configure(tb, version)
	return waitUntil(func() bool { return cp.allFollow(version) })
}

// massReturn removes the entries of a third of the engines within a second, and writes them again
// within another, as after a loss of power.
func (cp *controlPlane) massReturn(tb testing.TB, engines int) {
	returning := cp.attendants[:engines/3]
	pause := time.Second / time.Duration(len(returning))
	for _, an := range returning {
		cp.unregister(tb, an)
		time.Sleep(pause)
	}
	for _, an := range returning {
		cp.register(tb, an, false)
		time.Sleep(pause)
	}
	waitUntil(func() bool { return cp.allKnow(engines) })
}

// loseScheduler kills the scheduler at work. It returns how long it takes until another is at work,
// and until all attendants have heard of it.
func (cp *controlPlane) loseScheduler() (taken, heard time.Duration) {
	lost := cp.atWork()
	epoch, _ := lost.scheduler.Holder.Held(time.Now())
	begun := time.Now()
	lost.kill()
	waitUntil(func() bool { return cp.atWork() != nil })
	taken = time.Since(begun)
	waitUntil(func() bool { return cp.allHear(epoch) })
	return taken, time.Since(begun)
}

// A simulatedTrainers holds the trainers of a deployment, one for each model.
type simulatedTrainers struct {
	all  []*simulatedTrainer
	stop func()
}

// startTrainers starts the trainers.
func (cp *controlPlane) startTrainers(tb testing.TB) *simulatedTrainers {
	ctx, cancel := context.WithCancel(context.Background())
	sts := &simulatedTrainers{}
	for model := range modelCount {
		st := &simulatedTrainer{model: model}
		sts.all = append(sts.all, st)
		cp.work.Go(func() { runAs("trainer", func() { st.run(ctx, cp, tb) }) })
	}
	sts.stop = cancel
	return sts
}

func (sts *simulatedTrainers) requested() int64 {
	return sts.sum(func(st *simulatedTrainer) int64 { return st.requested.Load() })
}

func (sts *simulatedTrainers) completed() int64 {
	return sts.sum(func(st *simulatedTrainer) int64 { return st.completed.Load() })
}

func (sts *simulatedTrainers) sum(of func(st *simulatedTrainer) int64) int64 {
	var sum int64
	for _, st := range sts.all {
		sum += of(st)
	}
	return sum
}
