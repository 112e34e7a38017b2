package forward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
)

const (
	crowdHop      = time.Millisecond // network latency, one way
	crowdDeadline = 2 * time.Second
	crowdQueue    = 24 // maximum queue length of a desk
)

// A crowdCall is one caller's request.
type crowdCall struct {
	wa      admission.Waiter
	entry   *crowdEntry
	service time.Duration
	tried   map[string]bool
}

// A crowdJob is a call at a desk or on the way to it, or the response on its way back.
type crowdJob struct {
	at   time.Duration // time of arrival at the other end
	call *crowdCall
	left time.Duration
	load admission.Load
	sent time.Duration
}

// A crowdDesk is an endpoint that reports its load and rejects requests while its queue is full.
type crowdDesk struct {
	answers  []*crowdJob
	coming   []*crowdJob
	en       directory.Endpoint
	here     []*crowdJob // running first, then queued
	paceFunc func(now time.Duration) float64
}

// A crowdEntry is an entry, which sees only its own requests.
type crowdEntry struct {
	domain string
	line   line
	table  Table
	weight float64
}

// A crowd simulates entries and desks, and counts the outcomes of calls.
type crowd struct {
	asking   bool // entries try endpoints in turn instead of predicting capacity
	calls    map[*crowdEntry]map[uint64]*crowdCall
	desks    []*crowdDesk
	ens      []directory.Endpoint
	entries  []*crowdEntry
	now      time.Duration
	rateFunc func(now time.Duration, domain string) float64 // calls a second
	rng      *rand.Rand

	arrived, across, answered, inGoal, offered, refused, rejected int
	acrossAt                                                      []time.Duration
	took                                                          []time.Duration
}

func newCrowd(entries, domains, desks int, asking bool) *crowd {
	cr := &crowd{asking: asking, calls: map[*crowdEntry]map[uint64]*crowdCall{}, rng: rand.New(rand.NewPCG(1, 1))}
	for i := range desks {
		de := &crowdDesk{
			en:       directory.Endpoint{Domain: fmt.Sprint(i % domains), ID: fmt.Sprint("desk-", i), Slots: 6},
			paceFunc: func(time.Duration) float64 { return 1 },
		}
		cr.desks, cr.ens = append(cr.desks, de), append(cr.ens, de.en)
	}
	for i := range entries {
		en := &crowdEntry{domain: fmt.Sprint(i % domains), weight: 0.5 + cr.rng.Float64()}
		en.table.drawFunc = cr.rng.IntN
		cr.calls[en] = map[uint64]*crowdCall{}
		cr.entries = append(cr.entries, en)
	}
	return cr
}

func (cr *crowd) clock() time.Time { return simBegin.Add(cr.now) }

func (cr *crowd) destinations(en *crowdEntry) destinations {
	return destinations{domain: en.domain, ens: cr.ens, table: &en.table}
}

// arrive creates the calls of one time step.
func (cr *crowd) arrive() {
	weights := map[string]float64{}
	for _, en := range cr.entries {
		weights[en.domain] += en.weight
	}
	for _, en := range cr.entries {
		if cr.rng.Float64() >= cr.rateFunc(cr.now, en.domain)*en.weight/weights[en.domain]*simStep.Seconds() {
			continue
		}
		en.line.next++
		ca := &crowdCall{entry: en, service: time.Duration(21e6 * math.Exp(0.5*cr.rng.NormFloat64()-0.125)), tried: map[string]bool{}}
		ca.wa = admission.Waiter{
			Arrived: cr.clock(), ID: en.line.next,
			Deadlines: admission.Deadlines{Deadline: cr.clock().Add(crowdDeadline), Goal: cr.clock().Add(simGoal)},
		}
		cr.arrived++
		cr.begin(ca)
	}
}

func (cr *crowd) begin(ca *crowdCall) {
	en := ca.entry
	if cr.asking {
		cr.ask(ca)
		return
	}
	to, ok, refused := en.line.admit(cr.destinations(en), ca.wa, ca.wa.Goal, cr.clock())
	if ok {
		cr.send(ca, to)
		return
	}
	cr.calls[en][ca.wa.ID] = ca
	cr.refuse(en, refused)
}

// ask sends a call to the next endpoint that has not rejected it.
func (cr *crowd) ask(ca *crowdCall) {
	to, ok := ca.entry.table.Pick(cr.ens, ca.tried, ca.entry.domain, cr.clock())
	if !ok {
		cr.refused++
		return
	}
	cr.send(ca, to)
}

func (cr *crowd) send(ca *crowdCall, to directory.Endpoint) {
	ca.tried[to.ID] = true
	cr.offered++
	if to.Domain != ca.entry.domain {
		cr.across++
		cr.acrossAt = append(cr.acrossAt, cr.now)
	}
	de := cr.desks[slices.IndexFunc(cr.ens, func(en directory.Endpoint) bool { return en.ID == to.ID })]
	de.coming = append(de.coming, &crowdJob{at: cr.now + crowdHop, call: ca, left: ca.service, sent: cr.now})
}

func (cr *crowd) refuse(en *crowdEntry, res []admission.Refusal) {
	for _, re := range res {
		delete(cr.calls[en], re.ID)
		cr.refused++
	}
}

// work simulates a desk for one time step and delivers its responses.
func (cr *crowd) work(de *crowdDesk) {
	pace := de.paceFunc(cr.now)
	load := func() admission.Load {
		running := min(len(de.here), de.en.Slots)
		return admission.Load{Pace: int(100 * pace), Places: de.en.Slots, Running: running, Waiting: len(de.here) - running}
	}
	back := func(jo *crowdJob) {
		jo.at, jo.load = cr.now+crowdHop, load()
		de.answers = append(de.answers, jo)
	}
	de.coming = slices.DeleteFunc(de.coming, func(jo *crowdJob) bool {
		if jo.at > cr.now {
			return false
		}
		if len(de.here) >= de.en.Slots+crowdQueue {
			back(jo)
		} else {
			de.here = append(de.here, jo)
		}
		return true
	})
	var done []*crowdJob
	for _, jo := range de.here[:min(len(de.here), de.en.Slots)] {
		jo.left -= time.Duration(float64(simStep) / pace)
		if jo.left <= 0 {
			done = append(done, jo)
		}
	}
	de.here = slices.DeleteFunc(de.here, func(jo *crowdJob) bool { return jo.left <= 0 })
	for _, jo := range done {
		back(jo)
	}
	de.answers = slices.DeleteFunc(de.answers, func(jo *crowdJob) bool {
		if jo.at > cr.now {
			return false
		}
		cr.take(de, jo)
		return true
	})
}

// take delivers a response to its entry.
func (cr *crowd) take(de *crowdDesk, jo *crowdJob) {
	ca := jo.call
	en := ca.entry
	full := jo.left > 0
	en.table.Done(de.en.ID)
	en.table.Answered(de.en.ID, admission.Response{
		At: cr.clock(), Load: jo.load, Refused: full, Slots: de.en.Slots, Target: admission.LatencyTarget(simGoal), Told: true, Took: cr.now - jo.sent,
	})
	switch took := cr.clock().Sub(ca.wa.Arrived); {
	case full && cr.asking:
		cr.rejected++
		cr.ask(ca)
	case full:
		cr.rejected++
		cr.refused++
	default:
		cr.answered++
		cr.took = append(cr.took, took)
		if took <= simGoal {
			cr.inGoal++
		}
	}
	cr.pump(en)
}

func (cr *crowd) pump(en *crowdEntry) {
	if en.line.queue.Len() == 0 {
		return
	}
	gone, refused := en.line.advance(cr.destinations(en), cr.clock())
	for _, pl := range gone {
		ca := cr.calls[en][pl.ID]
		delete(cr.calls[en], pl.ID)
		cr.send(ca, pl.endpoint)
	}
	cr.refuse(en, refused)
}

// play simulates arrivals for a period, and then runs until the last deadline.
func (cr *crowd) play(day time.Duration) {
	for ; cr.now < day+crowdDeadline; cr.now += simStep {
		if cr.now < day {
			cr.arrive()
		}
		for _, de := range cr.desks {
			cr.work(de)
		}
		if cr.now%pumpEvery == 0 {
			for _, en := range cr.entries {
				cr.pump(en)
			}
		}
	}
	slices.Sort(cr.took)
}

// A crowdLoad is a load pattern.
type crowdLoad struct {
	name    string
	entries int
	rate    float64 // calls a second over all entries
	setFunc func(cr *crowd)
}

// crowdLoads returns the load patterns. The capacity of all desks is 850 calls a second at normal
// speed.
func crowdLoads() []crowdLoad {
	paces := func(paceFunc func(desk int, now time.Duration) float64) func(cr *crowd) {
		return func(cr *crowd) {
			for i, de := range cr.desks {
				de.paceFunc = func(now time.Duration) float64 { return paceFunc(i, now) }
			}
		}
	}
	return []crowdLoad{
		{"far below the room", 21, 12, nil},
		{"half of the room", 21, 425, nil},
		{"1.4 times the room, 21 entries", 21, 1200, nil},
		{"1.4 times the room, one entry", 1, 900, nil},
		{"3 times the room, 40 entries", 40, 2500, nil},
		{"beyond, paces change each 0.6 s", 21, 960, paces(func(desk int, now time.Duration) float64 {
			if rand.New(rand.NewPCG(uint64(now/(600*time.Millisecond)), uint64(desk))).Float64() < 0.15 {
				return 2.5
			}
			return 1
		})},
		{"below, one is 3x slow for half of the time", 21, 400, paces(func(desk int, now time.Duration) float64 {
			if desk == 0 && now%(240*time.Millisecond) < 120*time.Millisecond {
				return 3
			}
			return 1
		})},
		{"beyond, one is 3x slow for half of the time", 21, 900, paces(func(desk int, now time.Duration) float64 {
			if desk == 0 && now%(240*time.Millisecond) < 120*time.Millisecond {
				return 3
			}
			return 1
		})},
	}
}

// TestRoomForeseen compares predicting the capacity of desks with trying desk after desk, for many
// independent entries with delayed load reports.
func TestRoomForeseen(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "%-45s %-10s %8s %9s %8s %8s %8s %6s\n", "load", "way", "arrived", "answered", "in goal", "refused", "rejected", "p99")
	for _, lo := range crowdLoads() {
		inGoal := map[bool]int{}
		for _, asking := range []bool{true, false} {
			cr := newCrowd(lo.entries, 3, 3, asking)
			cr.rateFunc = func(time.Duration, string) float64 { return lo.rate / float64(min(lo.entries, 3)) }
			if lo.setFunc != nil {
				lo.setFunc(cr)
			}
			cr.play(6 * time.Second)
			way := "foreseen"
			if asking {
				way = "asked"
			}
			inGoal[asking] = cr.inGoal
			fmt.Fprintf(&out, "%-45s %-10s %8d %9d %8d %8d %7.1f%% %4dms\n", lo.name, way, cr.arrived, cr.answered, cr.inGoal, cr.refused,
				100*float64(cr.rejected)/float64(max(cr.offered, 1)), quantile(cr.took, .99).Milliseconds())
			assert.Equal(t, cr.arrived, cr.answered+cr.refused, lo.name)
			if !asking {
				// Requests sent before the first responses cannot be predicted.
				assert.Assert(t, float64(cr.rejected) <= 0.05*float64(cr.offered), lo.name)
			}
		}
		assert.Assert(t, float64(inGoal[false]) >= 0.98*float64(inGoal[true]), lo.name)
	}
	golden.Assert(t, out.String(), "overload.golden")
}

// Requests go to the other failure domain only while their own cannot serve them in time.
func TestSpillByNeed(t *testing.T) {
	cr := newCrowd(10, 2, 2, false)
	begun, ended := 2*time.Second, 6*time.Second
	cr.rateFunc = func(now time.Duration, domain string) float64 {
		if domain == "0" && now >= begun && now < ended {
			return 400 // its desk has a capacity of 285
		}
		return 60
	}
	cr.play(12 * time.Second)
	across := func(from, to time.Duration) int {
		count := 0
		for _, at := range cr.acrossAt {
			if at >= from && at < to {
				count++
			}
		}
		return count
	}
	before, during, after := across(0, begun), across(begun, ended), across(ended+3*time.Second, 12*time.Second)
	t.Logf("across: %d before, %d during, %d after; %d of %d in goal, %d refused", before, during, after, cr.inGoal, cr.arrived, cr.refused)
	for at := begun + 500*time.Millisecond; at < ended; at += 250 * time.Millisecond {
		part := float64(across(at, at+250*time.Millisecond)) / 100
		assert.Assert(t, part > 0.15 && part < 0.75, "from %v on %.2f went across", at, part)
	}
	assert.Assert(t, float64(before) < 0.05*240)
	assert.Assert(t, float64(after) < 0.05*360)
	assert.Assert(t, float64(cr.inGoal) > 0.97*float64(cr.arrived))
}
