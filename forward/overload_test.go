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
	clusterHop      = time.Millisecond // network latency, one way
	clusterDeadline = 2 * time.Second
	clusterQueue    = 24 // maximum queue length of an endpoint
)

// A clusterCall is one caller's request.
type clusterCall struct {
	wa      admission.Waiter
	entry   *clusterEntry
	service time.Duration
	tried   map[string]bool
}

// A clusterJob is a call at an endpoint or on the way to it, or the response on its way back.
type clusterJob struct {
	at   time.Duration // time of arrival at the other end
	call *clusterCall
	left time.Duration
	load admission.Load
	sent time.Duration
}

// A clusterEndpoint is an endpoint that reports its load and rejects requests while its queue is full.
type clusterEndpoint struct {
	answers  []*clusterJob
	arriving []*clusterJob
	en       directory.Endpoint
	accepted []*clusterJob // running first, then queued
	paceFunc func(now time.Duration) float64
}

// A clusterEntry is an entry, which sees only its own requests.
type clusterEntry struct {
	domain string
	queue  serviceQueue
	table  Table
	weight float64
}

// A cluster simulates entries and endpoints, and counts the outcomes of calls.
type cluster struct {
	inTurn    bool // entries try endpoints in turn instead of predicting capacity
	calls     map[*clusterEntry]map[uint64]*clusterCall
	endpoints []*clusterEndpoint
	ens       []directory.Endpoint
	entries   []*clusterEntry
	now       time.Duration
	rateFunc  func(now time.Duration, domain string) float64 // calls a second
	rng       *rand.Rand

	arrived, across, answered, inGoal, offered, refused, rejected int
	acrossAt                                                      []time.Duration
	took                                                          []time.Duration
}

func newCluster(entries, domains, endpoints int, inTurn bool) *cluster {
	cl := &cluster{inTurn: inTurn, calls: map[*clusterEntry]map[uint64]*clusterCall{}, rng: rand.New(rand.NewPCG(1, 1))}
	for i := range endpoints {
		de := &clusterEndpoint{
			en:       directory.Endpoint{Domain: fmt.Sprint(i % domains), ID: fmt.Sprint("desk-", i), Slots: 6},
			paceFunc: func(time.Duration) float64 { return 1 },
		}
		cl.endpoints, cl.ens = append(cl.endpoints, de), append(cl.ens, de.en)
	}
	for i := range entries {
		en := &clusterEntry{domain: fmt.Sprint(i % domains), weight: 0.5 + cl.rng.Float64()}
		en.table.drawFunc = cl.rng.IntN
		cl.calls[en] = map[uint64]*clusterCall{}
		cl.entries = append(cl.entries, en)
	}
	return cl
}

func (cl *cluster) clock() time.Time { return simBegin.Add(cl.now) }

func (cl *cluster) candidates(en *clusterEntry) candidates {
	return candidates{domain: en.domain, ens: cl.ens, table: &en.table}
}

// arrive creates the calls of one time step.
func (cl *cluster) arrive() {
	weights := map[string]float64{}
	for _, en := range cl.entries {
		weights[en.domain] += en.weight
	}
	for _, en := range cl.entries {
		if cl.rng.Float64() >= cl.rateFunc(cl.now, en.domain)*en.weight/weights[en.domain]*simStep.Seconds() {
			continue
		}
		en.queue.lastID++
		ca := &clusterCall{entry: en, service: time.Duration(21e6 * math.Exp(0.5*cl.rng.NormFloat64()-0.125)), tried: map[string]bool{}}
		ca.wa = admission.Waiter{
			Arrived: cl.clock(), ID: en.queue.lastID,
			Deadlines: admission.Deadlines{Deadline: cl.clock().Add(clusterDeadline), Goal: cl.clock().Add(simGoal)},
		}
		cl.arrived++
		cl.begin(ca)
	}
}

func (cl *cluster) begin(ca *clusterCall) {
	en := ca.entry
	if cl.inTurn {
		cl.sendNext(ca)
		return
	}
	to, ok, refused := en.queue.admit(cl.candidates(en), ca.wa, ca.wa.Goal, cl.clock())
	if ok {
		cl.send(ca, to)
		return
	}
	cl.calls[en][ca.wa.ID] = ca
	cl.refuse(en, refused)
}

// sendNext sends a call to the next endpoint that has not rejected it.
func (cl *cluster) sendNext(ca *clusterCall) {
	to, ok := ca.entry.table.Pick(cl.ens, ca.tried, ca.entry.domain, cl.clock())
	if !ok {
		cl.refused++
		return
	}
	cl.send(ca, to)
}

func (cl *cluster) send(ca *clusterCall, to directory.Endpoint) {
	ca.tried[to.ID] = true
	cl.offered++
	if to.Domain != ca.entry.domain {
		cl.across++
		cl.acrossAt = append(cl.acrossAt, cl.now)
	}
	de := cl.endpoints[slices.IndexFunc(cl.ens, func(en directory.Endpoint) bool { return en.ID == to.ID })]
	de.arriving = append(de.arriving, &clusterJob{at: cl.now + clusterHop, call: ca, left: ca.service, sent: cl.now})
}

func (cl *cluster) refuse(en *clusterEntry, res []admission.Refusal) {
	for _, re := range res {
		delete(cl.calls[en], re.ID)
		cl.refused++
	}
}

// step simulates an endpoint for one time step and delivers its responses.
func (cl *cluster) step(de *clusterEndpoint) {
	pace := de.paceFunc(cl.now)
	load := func() admission.Load {
		running := min(len(de.accepted), de.en.Slots)
		return admission.Load{Pace: int(100 * pace), Places: de.en.Slots, Running: running, Waiting: len(de.accepted) - running}
	}
	back := func(jo *clusterJob) {
		jo.at, jo.load = cl.now+clusterHop, load()
		de.answers = append(de.answers, jo)
	}
	de.arriving = slices.DeleteFunc(de.arriving, func(jo *clusterJob) bool {
		if jo.at > cl.now {
			return false
		}
		if len(de.accepted) >= de.en.Slots+clusterQueue {
			back(jo)
		} else {
			de.accepted = append(de.accepted, jo)
		}
		return true
	})
	var done []*clusterJob
	for _, jo := range de.accepted[:min(len(de.accepted), de.en.Slots)] {
		jo.left -= time.Duration(float64(simStep) / pace)
		if jo.left <= 0 {
			done = append(done, jo)
		}
	}
	de.accepted = slices.DeleteFunc(de.accepted, func(jo *clusterJob) bool { return jo.left <= 0 })
	for _, jo := range done {
		back(jo)
	}
	de.answers = slices.DeleteFunc(de.answers, func(jo *clusterJob) bool {
		if jo.at > cl.now {
			return false
		}
		cl.deliver(de, jo)
		return true
	})
}

// deliver delivers a response to its entry.
func (cl *cluster) deliver(de *clusterEndpoint, jo *clusterJob) {
	ca := jo.call
	en := ca.entry
	full := jo.left > 0
	en.table.Done(de.en.ID)
	en.table.Answered(de.en.ID, admission.Response{
		At: cl.clock(), Load: jo.load, Refused: full, Slots: de.en.Slots, Target: admission.LatencyTarget(simGoal), Told: true, Took: cl.now - jo.sent,
	})
	switch took := cl.clock().Sub(ca.wa.Arrived); {
	case full && cl.inTurn:
		cl.rejected++
		cl.sendNext(ca)
	case full:
		cl.rejected++
		cl.refused++
	default:
		cl.answered++
		cl.took = append(cl.took, took)
		if took <= simGoal {
			cl.inGoal++
		}
	}
	cl.pump(en)
}

func (cl *cluster) pump(en *clusterEntry) {
	if en.queue.queue.Len() == 0 {
		return
	}
	assigned, refused := en.queue.dispatch(cl.candidates(en), cl.clock())
	for _, pl := range assigned {
		ca := cl.calls[en][pl.ID]
		delete(cl.calls[en], pl.ID)
		cl.send(ca, pl.endpoint)
	}
	cl.refuse(en, refused)
}

// run simulates arrivals for a period, and then runs until the last deadline.
func (cl *cluster) run(period time.Duration) {
	for ; cl.now < period+clusterDeadline; cl.now += simStep {
		if cl.now < period {
			cl.arrive()
		}
		for _, de := range cl.endpoints {
			cl.step(de)
		}
		if cl.now%pumpInterval == 0 {
			for _, en := range cl.entries {
				cl.pump(en)
			}
		}
	}
	slices.Sort(cl.took)
}

// A clusterLoad is a load pattern.
type clusterLoad struct {
	name    string
	entries int
	rate    float64 // calls a second over all entries
	setFunc func(cl *cluster)
}

// clusterLoads returns the load patterns. The capacity of all endpoints is 850 calls a second at normal
// speed.
func clusterLoads() []clusterLoad {
	paces := func(paceFunc func(endpoint int, now time.Duration) float64) func(cl *cluster) {
		return func(cl *cluster) {
			for i, de := range cl.endpoints {
				de.paceFunc = func(now time.Duration) float64 { return paceFunc(i, now) }
			}
		}
	}
	return []clusterLoad{
		{"far below capacity", 21, 12, nil},
		{"half of capacity", 21, 425, nil},
		{"1.4 times capacity, 21 entries", 21, 1200, nil},
		{"1.4 times capacity, one entry", 1, 900, nil},
		{"3 times capacity, 40 entries", 40, 2500, nil},
		{"overload, speeds change every 0.6 s", 21, 960, paces(func(endpoint int, now time.Duration) float64 {
			if rand.New(rand.NewPCG(uint64(now/(600*time.Millisecond)), uint64(endpoint))).Float64() < 0.15 {
				return 2.5
			}
			return 1
		})},
		{"below capacity, one 3x slower half the time", 21, 400, paces(func(endpoint int, now time.Duration) float64 {
			if endpoint == 0 && now%(240*time.Millisecond) < 120*time.Millisecond {
				return 3
			}
			return 1
		})},
		{"overload, one 3x slower half the time", 21, 900, paces(func(endpoint int, now time.Duration) float64 {
			if endpoint == 0 && now%(240*time.Millisecond) < 120*time.Millisecond {
				return 3
			}
			return 1
		})},
	}
}

// TestPredictedCapacity compares predicting the capacity of endpoints with trying one after the other, for many
// independent entries with delayed load reports.
func TestPredictedCapacity(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "%-45s %-10s %8s %9s %8s %8s %8s %6s\n", "load", "policy", "arrived", "answered", "in goal", "refused", "rejected", "p99")
	for _, lo := range clusterLoads() {
		inGoal := map[bool]int{}
		for _, inTurn := range []bool{true, false} {
			cl := newCluster(lo.entries, 3, 3, inTurn)
			cl.rateFunc = func(time.Duration, string) float64 { return lo.rate / float64(min(lo.entries, 3)) }
			if lo.setFunc != nil {
				lo.setFunc(cl)
			}
			cl.run(6 * time.Second)
			policy := "predicted"
			if inTurn {
				policy = "in turn"
			}
			inGoal[inTurn] = cl.inGoal
			fmt.Fprintf(&out, "%-45s %-10s %8d %9d %8d %8d %7.1f%% %4dms\n", lo.name, policy, cl.arrived, cl.answered, cl.inGoal, cl.refused,
				100*float64(cl.rejected)/float64(max(cl.offered, 1)), quantile(cl.took, .99).Milliseconds())
			assert.Equal(t, cl.arrived, cl.answered+cl.refused, lo.name)
			if !inTurn {
				// Requests sent before the first responses cannot be predicted.
				assert.Assert(t, float64(cl.rejected) <= 0.05*float64(cl.offered), lo.name)
			}
		}
		assert.Assert(t, float64(inGoal[false]) >= 0.98*float64(inGoal[true]), lo.name)
	}
	golden.Assert(t, out.String(), "overload.golden")
}

// Requests go to the other failure domain only while their own cannot serve them in time.
func TestSpillToOtherFailureDomain(t *testing.T) {
	cl := newCluster(10, 2, 2, false)
	begun, ended := 2*time.Second, 6*time.Second
	cl.rateFunc = func(now time.Duration, domain string) float64 {
		if domain == "0" && now >= begun && now < ended {
			return 400 // its endpoint has a capacity of 285
		}
		return 60
	}
	cl.run(12 * time.Second)
	across := func(from, to time.Duration) int {
		count := 0
		for _, at := range cl.acrossAt {
			if at >= from && at < to {
				count++
			}
		}
		return count
	}
	before, during, after := across(0, begun), across(begun, ended), across(ended+3*time.Second, 12*time.Second)
	t.Logf("to the other domain: %d before, %d during, %d after; %d of %d in goal, %d refused", before, during, after, cl.inGoal, cl.arrived, cl.refused)
	for at := begun + 500*time.Millisecond; at < ended; at += 250 * time.Millisecond {
		part := float64(across(at, at+250*time.Millisecond)) / 100
		assert.Assert(t, part > 0.15 && part < 0.75, "from %v on a fraction of %.2f went to the other domain", at, part)
	}
	assert.Assert(t, float64(before) < 0.05*240)
	assert.Assert(t, float64(after) < 0.05*360)
	assert.Assert(t, float64(cl.inGoal) > 0.97*float64(cl.arrived))
}
