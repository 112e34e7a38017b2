package leader

import (
	"hash/maphash"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The tests are a model checker. It explores all interleavings of two holders with restarts, the
// key-value service and the platform within some seconds, in discrete steps. The lease changes its
// holder at any time without the former one noticing; writes take effect and their responses may be
// lost; calls arrive at any time until their connections are reset, or never. Each holder would
// report a different count.

const (
	modelCalls        = 3
	modelAcquisitions = 3
	testOverlap       = 3 * time.Second
)

// A modelProcess is a potential holder. The count that it reports is its index + 1.
type modelProcess struct {
	durable int // the count that is known to be saved, or 0
	epoch   uint64
	holds   bool // the lease, by the process's own state
	window  CallWindow
}

type modelCall struct {
	at    time.Duration // of its arrival; while in flight, of its reset
	count int
	epoch uint64
	owner int // index of its process + 1; 0 means no call
}

// A model is a state of the system. It is comparable, so that each is explored only once.
type model struct {
	arrived   [modelCalls]modelCall
	calls     int // started
	count     int // that is saved, or 0
	epoch     uint64
	now       time.Duration
	processes [2]modelProcess
	restarted bool // a process has restarted; only one restart is explored
	sender    int  // of the record: index + 1, or 0
	inFlight  [modelCalls]modelCall
}

// An explorer visits all reachable states.
type explorer struct {
	violation string
	early     bool // mutation: make calls without the takeover delay
	seed      maphash.Seed
	long      bool            // mutation: count callTimeout from the start of a call
	seen      map[uint64]bool // hashes of states
	span      time.Duration
	step      time.Duration
	unsaved   bool // mutation: report counts that are not known to be saved
}

func (ex *explorer) visit(mo model) {
	hash := maphash.Comparable(ex.seed, mo)
	if ex.violation != "" || ex.seen[hash] {
		return
	}
	ex.seen[hash] = true
	for i := range mo.processes {
		ex.acquire(mo, i)
		ex.restart(mo, i)
		ex.write(mo, i)
		ex.call(mo, i)
	}
	for i := range mo.inFlight {
		ex.arrive(mo, i)
	}
	if mo.now < ex.span {
		mo.now += ex.step
		for i := range mo.inFlight {
			if mo.now >= mo.inFlight[i].at {
				mo.endCall(i) // reset of its connection
			}
		}
		ex.visit(mo)
	}
}

// acquire gives the lease to a process, which reads the record.
func (ex *explorer) acquire(mo model, i int) {
	redundant := mo.epoch == 0 && i > 0 // the processes are symmetric
	if redundant || mo.epoch >= modelAcquisitions || mo.processes[i].holds && mo.processes[i].epoch == mo.epoch {
		return
	}
	for _, ca := range mo.inFlight {
		if ca.owner == i+1 {
			return // a holder ends its call before it checks the lease again
		}
	}
	mo.epoch++
	pr := &mo.processes[i]
	pr.holds, pr.epoch, pr.durable = true, mo.epoch, mo.count
	pr.window.Begin(mo.now, mo.sender == i+1)
	if ex.early {
		pr.window.allowedAt = mo.now
	}
	ex.visit(mo)
}

func (ex *explorer) restart(mo model, i int) {
	if !mo.processes[i].holds || mo.restarted {
		return
	}
	mo.restarted = true
	mo.processes[i] = modelProcess{window: NewCallWindow(testOverlap, mo.now)}
	for j := range mo.inFlight {
		if mo.inFlight[j].owner == i+1 {
			mo.inFlight[j] = modelCall{}
		}
	}
	ex.visit(mo)
}

// write saves a process's count unless one is saved already. Its response may be lost. A late
// response is equivalent to a late start of the call.
func (ex *explorer) write(mo model, i int) {
	pr := &mo.processes[i]
	if !pr.holds {
		return
	}
	if pr.epoch != mo.epoch {
		pr.holds = false // the fenced write fails
		ex.visit(mo)
		return
	}
	if mo.count == 0 {
		mo.count = i + 1
	}
	mo.sender = i + 1
	ex.visit(mo)
	pr.durable = mo.count
	pr.window.Confirm(mo.now)
	ex.visit(mo)
}

func (ex *explorer) call(mo model, i int) {
	pr := &mo.processes[i]
	count := pr.durable
	if ex.unsaved {
		count = i + 1
	}
	if !pr.holds || count == 0 || mo.calls == modelCalls || !pr.window.Allowed(mo.now) || !pr.window.Confirmed(mo.now) {
		return
	}
	left := pr.window.Call(mo.now)
	if ex.long {
		left = callTimeout
	}
	mo.inFlight[mo.calls] = modelCall{at: mo.now + left, count: count, epoch: pr.epoch, owner: i + 1}
	mo.calls++
	ex.visit(mo)
}

// endCall ends a call and records that at its process.
func (mo *model) endCall(i int) {
	if owner := mo.inFlight[i].owner; owner > 0 {
		mo.processes[owner-1].window.calledAt = mo.now
	}
	mo.inFlight[i] = modelCall{}
}

// arrive delivers a call, and records which rule it violates.
func (ex *explorer) arrive(mo model, i int) {
	ca := mo.inFlight[i]
	if ca.owner == 0 {
		return
	}
	mo.endCall(i)
	ca.at = mo.now
	between := false
	for j := modelCalls - 1; j >= 0; j-- {
		old := mo.arrived[j]
		if old.owner == 0 {
			continue
		}
		switch {
		case old.count != ca.count:
			ex.violation = "two counts for one window"
		case old.epoch > ca.epoch:
			ex.violation = "epoch went back"
		case between && old.owner == ca.owner && ca.at-old.at < testOverlap:
			ex.violation = "calls of holders alternated"
		}
		between = between || old.owner != ca.owner
	}
	for j := range mo.arrived {
		if mo.arrived[j].owner == 0 {
			mo.arrived[j] = ca
			break
		}
	}
	ex.visit(mo)
}

func explore(ex *explorer) *explorer {
	ex.seed, ex.seen = maphash.MakeSeed(), map[uint64]bool{}
	if ex.step == 0 {
		ex.span, ex.step = 6*time.Second, 750*time.Millisecond
	}
	var mo model
	for i := range mo.processes {
		mo.processes[i].window = NewCallWindow(testOverlap, -time.Hour)
	}
	ex.visit(mo)
	return ex
}

func TestHolderProtocol(t *testing.T) {
	ex := explore(&explorer{})
	assert.Equal(t, ex.violation, "")
	t.Logf("%d states", len(ex.seen))
}

// Late calls after a slow write are explored with shorter steps.
func TestHolderProtocolSlowService(t *testing.T) {
	ex := explore(&explorer{span: 3500 * time.Millisecond, step: 500 * time.Millisecond})
	assert.Equal(t, ex.violation, "")
	t.Logf("%d states", len(ex.seen))
	ex = explore(&explorer{long: true, span: 3500 * time.Millisecond, step: 500 * time.Millisecond})
	assert.Equal(t, ex.violation, "epoch went back")
}

func TestExplorerDetectsViolations(t *testing.T) {
	assert.Assert(t, explore(&explorer{early: true}).violation != "")
	assert.Equal(t, explore(&explorer{unsaved: true}).violation, "two counts for one window")
}

// Guards against alternating calls of two processes that replace each other as the holder.
func TestAlternatingHolders(t *testing.T) {
	at := 10 * time.Second
	first, second := NewCallWindow(testOverlap, -time.Hour), NewCallWindow(testOverlap, -time.Hour)
	first.Confirm(at)
	first.Call(at)
	second.Begin(at, false)
	assert.Assert(t, !second.Allowed(at+callTimeout), "a call of the former holder may still arrive")
	assert.Assert(t, second.Allowed(at+takeoverDelay))
	first.Begin(at+100*time.Millisecond, false)
	assert.Assert(t, !first.Allowed(at+testOverlap-time.Millisecond))

	alone := NewCallWindow(testOverlap, -time.Hour)
	alone.Call(at)
	alone.Begin(at+100*time.Millisecond, true)
	assert.Assert(t, alone.Allowed(at+100*time.Millisecond), "no other process has made calls since")
}

// Guards against a new holder skipping its takeover delay after it lost the lease briefly, because
// the last record is its own.
func TestOwnWriteKeepsDelay(t *testing.T) {
	cw := NewCallWindow(testOverlap, -time.Hour)
	cw.Begin(0, false)
	cw.Confirm(100 * time.Millisecond)
	cw.Begin(200*time.Millisecond, true)
	assert.Assert(t, !cw.Allowed(300*time.Millisecond))
	assert.Assert(t, cw.Allowed(takeoverDelay))
}

// A slow write allows one call, with the remaining time, and no other.
func TestSlowWriteAllowsOneCall(t *testing.T) {
	cw := NewCallWindow(testOverlap, -time.Hour)
	cw.Confirm(0)
	assert.Assert(t, cw.Confirmed(storeTimeout))
	assert.Equal(t, cw.Call(storeTimeout), callTimeout-storeTimeout)
	cw.Called(storeTimeout + 10*time.Millisecond)
	assert.Assert(t, !cw.Confirmed(storeTimeout+10*time.Millisecond))
	cw.Confirm(2 * time.Second)
	assert.Assert(t, !cw.Confirmed(2*time.Second+callTimeout-minCallTime+1), "less than minCallTime left")
	cw.Confirm(4 * time.Second)
	cw.Call(4 * time.Second)
	assert.Assert(t, cw.Confirmed(4*time.Second+confirmTTL), "a fast write allows more calls")
	cw.Begin(5*time.Second, true)
	assert.Assert(t, !cw.Confirmed(5*time.Second))
}
