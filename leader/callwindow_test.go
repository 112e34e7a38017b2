package leader

import (
	"hash/maphash"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What follows explores all that two holders, their successors and restarts, the
// key-value service and who takes the reports can do within six seconds, in steps of
// three quarters of a second: the lease is taken from its holder at any moment, and the holder does
// not know; writes take effect and their answers are lost; calls begin a step after a
// write at most, and arrive at any moment until their connections are reset, or never; each holder would report another count.

const (
	modelCalls  = 3
	modelTakes  = 3
	testOverlap = 3 * time.Second
)

// A modelProcess may hold the reports. Its count is its index and one.
type modelProcess struct {
	durable int // the count that it knows to last, or 0
	epoch   uint64
	holds   bool // as it believes
	turn    CallWindow
}

type modelCall struct {
	at    time.Duration // it arrived; while under way, the moment of its reset
	count int
	epoch uint64
	owner int // its index and one; 0 is no call
}

// A model is a state of the whole. It is comparable, so that none is explored twice.
type model struct {
	arrived   [modelCalls]modelCall
	calls     int // begun
	count     int // that is kept, or 0
	epoch     uint64
	now       time.Duration
	processes [2]modelProcess
	restarted bool // a process has; one restart is explored
	sender    int  // of the record: index and one, or 0
	underWay  [modelCalls]modelCall
}

// An explorer visits all states that can be reached.
type explorer struct {
	broken string
	early  bool // begin calls as if no other holder had been, to see that it is noticed
	seed   maphash.Seed
	long   bool            // let calls last as long from their own begin on, likewise
	seen   map[uint64]bool // hashes of states
	span   time.Duration
	step   time.Duration
	unkept bool // report counts that are not known to last, likewise
}

func (ex *explorer) visit(mo model) {
	hash := maphash.Comparable(ex.seed, mo)
	if ex.broken != "" || ex.seen[hash] {
		return
	}
	ex.seen[hash] = true
	for i := range mo.processes {
		ex.take(mo, i)
		ex.restart(mo, i)
		ex.write(mo, i)
		ex.call(mo, i)
	}
	for i := range mo.underWay {
		ex.arrive(mo, i)
	}
	if mo.now < ex.span {
		mo.now += ex.step
		for i := range mo.underWay {
			if mo.now >= mo.underWay[i].at {
				mo.endCall(i) // its connection is reset
			}
		}
		ex.visit(mo)
	}
}

// take gives the lease to a process, which reads what lasts.
func (ex *explorer) take(mo model, i int) {
	first := mo.epoch == 0 && i > 0 // the two are alike
	if first || mo.epoch >= modelTakes || mo.processes[i].holds && mo.processes[i].epoch == mo.epoch {
		return
	}
	for _, ca := range mo.underWay {
		if ca.owner == i+1 {
			return // a holder ends its call before it looks at the lease again
		}
	}
	mo.epoch++
	pr := &mo.processes[i]
	pr.holds, pr.epoch, pr.durable = true, mo.epoch, mo.count
	pr.turn.Begin(mo.now, mo.sender == i+1)
	if ex.early {
		pr.turn.allowedAt = mo.now
	}
	ex.visit(mo)
}

func (ex *explorer) restart(mo model, i int) {
	if !mo.processes[i].holds || mo.restarted {
		return
	}
	mo.restarted = true
	mo.processes[i] = modelProcess{turn: NewCallWindow(testOverlap, mo.now)}
	for j := range mo.underWay {
		if mo.underWay[j].owner == i+1 {
			mo.underWay[j] = modelCall{}
		}
	}
	ex.visit(mo)
}

// write keeps a process's count unless one is kept. Its answer may be lost. One that comes
// late is no other than a call that begins late.
func (ex *explorer) write(mo model, i int) {
	pr := &mo.processes[i]
	if !pr.holds {
		return
	}
	if pr.epoch != mo.epoch {
		pr.holds = false // the service refuses the write
		ex.visit(mo)
		return
	}
	if mo.count == 0 {
		mo.count = i + 1
	}
	mo.sender = i + 1
	ex.visit(mo)
	pr.durable = mo.count
	pr.turn.Confirm(mo.now)
	ex.visit(mo)
}

func (ex *explorer) call(mo model, i int) {
	pr := &mo.processes[i]
	count := pr.durable
	if ex.unkept {
		count = i + 1
	}
	if !pr.holds || count == 0 || mo.calls == modelCalls || !pr.turn.Allowed(mo.now) || !pr.turn.Confirmed(mo.now) {
		return
	}
	left := pr.turn.Call(mo.now)
	if ex.long {
		left = callTime
	}
	mo.underWay[mo.calls] = modelCall{at: mo.now + left, count: count, epoch: pr.epoch, owner: i + 1}
	mo.calls++
	ex.visit(mo)
}

// endCall ends a call, which its process notes.
func (mo *model) endCall(i int) {
	if owner := mo.underWay[i].owner; owner > 0 {
		mo.processes[owner-1].turn.calledAt = mo.now
	}
	mo.underWay[i] = modelCall{}
}

// arrive delivers a call, and notes which rule it breaks.
func (ex *explorer) arrive(mo model, i int) {
	ca := mo.underWay[i]
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
			ex.broken = "two counts of one window"
		case old.epoch > ca.epoch:
			ex.broken = "a lower epoch after a higher one"
		case between && old.owner == ca.owner && ca.at-old.at < testOverlap:
			ex.broken = "holders took turns"
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
		mo.processes[i].turn = NewCallWindow(testOverlap, -time.Hour)
	}
	ex.visit(mo)
	return ex
}

func TestProtocolOfHolders(t *testing.T) {
	ex := explore(&explorer{})
	assert.Equal(t, ex.broken, "")
	t.Logf("%d states", len(ex.seen))
}

// Calls that begin late after their write need steps that are shorter than what is left
// of their time and of a successor's wait.
func TestProtocolOfHoldersWithASlowService(t *testing.T) {
	ex := explore(&explorer{span: 3500 * time.Millisecond, step: 500 * time.Millisecond})
	assert.Equal(t, ex.broken, "")
	t.Logf("%d states", len(ex.seen))
	ex = explore(&explorer{long: true, span: 3500 * time.Millisecond, step: 500 * time.Millisecond})
	assert.Equal(t, ex.broken, "a lower epoch after a higher one")
}

func TestExplorerNoticesBrokenProtocols(t *testing.T) {
	assert.Assert(t, explore(&explorer{early: true}).broken != "")
	assert.Equal(t, explore(&explorer{unkept: true}).broken, "two counts of one window")
}

// Two processes hold the lease in turns, and each calls as soon as it may. The first
// had called a moment before it lost the lease.
func TestTakingTurns(t *testing.T) {
	at := 10 * time.Second
	first, second := NewCallWindow(testOverlap, -time.Hour), NewCallWindow(testOverlap, -time.Hour)
	first.Confirm(at)
	first.Call(at)
	second.Begin(at, false)
	assert.Assert(t, !second.Allowed(at+callTime), "a call of the first may still arrive")
	assert.Assert(t, second.Allowed(at+settleTime))
	first.Begin(at+100*time.Millisecond, false)
	assert.Assert(t, !first.Allowed(at+testOverlap-time.Millisecond))

	alone := NewCallWindow(testOverlap, -time.Hour)
	alone.Call(at)
	alone.Begin(at+100*time.Millisecond, true)
	assert.Assert(t, alone.Allowed(at+100*time.Millisecond), "no one has called since")
}

// A process took over, wrote what it decided and lost the lease for a moment. It took
// its own write for a sign that no one had called, and called in the time that it had
// still to wait.
func TestOwnWriteEndsNoWait(t *testing.T) {
	tu := NewCallWindow(testOverlap, -time.Hour)
	tu.Begin(0, false)
	tu.Confirm(100 * time.Millisecond)
	tu.Begin(200*time.Millisecond, true)
	assert.Assert(t, !tu.Allowed(300*time.Millisecond))
	assert.Assert(t, tu.Allowed(settleTime))
}

// A write that took long allows the call for which it was made, with what is left of its
// time, and no other.
func TestSlowWriteAllowsOneCall(t *testing.T) {
	tu := NewCallWindow(testOverlap, -time.Hour)
	tu.Confirm(0)
	assert.Assert(t, tu.Confirmed(storeTimeout))
	assert.Equal(t, tu.Call(storeTimeout), callTime-storeTimeout)
	tu.Called(storeTimeout + 10*time.Millisecond)
	assert.Assert(t, !tu.Confirmed(storeTimeout+10*time.Millisecond))
	tu.Confirm(2 * time.Second)
	assert.Assert(t, !tu.Confirmed(2*time.Second+callTime-leastTime+1), "too little time for a call")
	tu.Confirm(4 * time.Second)
	tu.Call(4 * time.Second)
	assert.Assert(t, tu.Confirmed(4*time.Second+confirmLife), "a fast one allows more")
	tu.Begin(5*time.Second, true)
	assert.Assert(t, !tu.Confirmed(5*time.Second))
}
