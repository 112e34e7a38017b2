package rollout_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"wisteriacroft/engine"
	"wisteriacroft/membership"
	"wisteriacroft/message"
	"wisteriacroft/rollout"
)

// session runs fn on a site and compares its log with a golden file.
func session(t *testing.T, engines int, fn func(si *site)) {
	synctest.Test(t, func(t *testing.T) {
		si := newSite(t, engines, 3, 6)
		fn(si)
		golden.Assert(t, si.log.String(), t.Name()+".golden")
	})
}

// Guards against an engine that returns to older weights when a paused owner resumes after the
// attendant has restarted and lost its epochs.
func TestPausedOwner(t *testing.T) {
	session(t, 2, func(si *site) {
		si.addOwner("first", 1, 0, &leaseState{1, true}).SetWanted(7)
		si.run(20*time.Second, nil)
		before, err := si.machines[0].fence.Probe(rollout.ProbeRequest{Endpoint: "e0000", Epoch: 1})
		assert.NilError(t, err)
		si.logf("the first owner is paused")
		first := si.owners[0]
		si.paused[first] = true
		second := si.addOwner("second", 1, 0, &leaseState{2, true})
		second.SetWanted(8)
		si.run(20*time.Second, nil)
		si.logf("the attendant of e0000 restarts, and the first owner resumes")
		si.restart(si.machines[0])
		si.paused[second] = true
		si.run(time.Second, nil)
		order7 := func(what string, incarnation, token uint64) {
			si.logf("it sends an order %s", what)
			first.SendOrderFunc("e0000", rollout.Request{
				Endpoint: "e0000", Incarnation: incarnation, Token: token,
				Order: engine.Order{Epoch: 1, Kind: engine.LoadVersion, Version: 7},
			}, func(rollout.Response, error) {})
		}
		order7("with its last known incarnation", 1, 0)
		order7("with the new incarnation", 2, 0)
		order7("with an old token", 2, before.Token)
		late, err := si.machines[0].fence.Probe(rollout.ProbeRequest{Endpoint: "e0000", Epoch: 1})
		assert.NilError(t, err)
		si.run(rollout.DefaultTokenLife, nil)
		order7("with a token that has expired", 2, late.Token)
		si.paused[second] = false
		si.run(5*time.Second, nil)
		si.logf("it continues with its stale lease")
		first.SetWanted(9)
		si.paused[first] = false
		si.run(20*time.Second, nil)
		assert.Equal(t, si.machines[0].version, engine.Version(8))
		assert.Equal(t, si.machines[1].version, engine.Version(8))
	})
}

// Guards against counting an engine as updated after a load that failed partway.
func TestSwapFailsPartway(t *testing.T) {
	session(t, 2, func(si *site) {
		ro := si.addOwner("owner", 1, 1, &leaseState{1, true})
		si.machines[0].failNextLoad = true
		ro.SetWanted(7)
		si.run(8*time.Second, func() {
			assert.Assert(t, ro.Progress().Updated == 0 || si.machines[1].version == 7)
		})
		si.run(30*time.Second, nil)
		assert.Equal(t, ro.Progress().Updated, 2)
	})
}

// Guards against exceeding the fetch limit, or never loading, when the engine accepts an order but
// its answer and its settle notice are lost.
func TestAnswerLost(t *testing.T) {
	session(t, 2, func(si *site) {
		lost := 0
		si.lose = func(what string) bool {
			if what != "order-answer" && what != "settle" {
				return false
			}
			lost++
			return lost <= 2
		}
		ro := si.addOwner("owner", 1, 0, &leaseState{1, true})
		ro.SetWanted(7)
		si.run(40*time.Second, func() { assert.Assert(t, si.count(fetching) <= 1) })
		assert.Equal(t, ro.Progress().Updated, 2)
	})
}

// Guards against exceeding the fetch limit when an owner loses its lease and acquires it again with
// outdated state.
func TestOwnerReturns(t *testing.T) {
	session(t, 4, func(si *site) {
		hos := [2]leaseState{{1, true}, {2, false}}
		first, second := si.addOwner("first", 2, 0, &hos[0]), si.addOwner("second", 2, 0, &hos[1])
		si.machines[0].failNextLoad = true
		first.SetWanted(7)
		check := func() { assert.Assert(t, si.count(fetching) <= 2) }
		si.run(11*time.Second, check)
		si.logf("the second owner takes over")
		hos[0].held, hos[1].held = false, true
		second.SetWanted(7)
		si.run(7*time.Second, check)
		si.logf("the first owner is back")
		hos[0], hos[1] = leaseState{3, true}, leaseState{2, false}
		si.run(30*time.Second, check)
		assert.Equal(t, first.Progress().Updated, 4)
	})
}

// Guards against violations of the serving floor or the fetch limit under any order of crashes,
// restarts, lost messages and owner changes.
func TestFloorAndLimitHold(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		losses := rapid.IntRange(0, 30).Draw(rt, "losses")
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 12).Draw(rt, "events")
		var broken string
		synctest.Test(t, func(t *testing.T) { broken = runIncidents(t, losses, events) })
		if broken != "" {
			rt.Fatal(broken)
		}
	})
}

const engines, floor, limit = 9, 5, 3

// An incident is a fault of one engine, or a change of owner or weights, followed by a pause.
type incident struct {
	Engine int
	Tenths int
	What   string
}

func drawEvent(rt *rapid.T) incident {
	return incident{
		Engine: rapid.IntRange(0, engines-1).Draw(rt, "engine"),
		Tenths: rapid.IntRange(1, 80).Draw(rt, "tenths"),
		What:   rapid.SampledFrom([]string{"crash", "recover", "restart", "owner", "weights"}).Draw(rt, "what"),
	}
}

// runIncidents runs a rollout through incidents and returns the first violated invariant, or "".
func runIncidents(t *testing.T, losses int, ins []incident) (broken string) {
	si := newSite(t, engines, 3, 6)
	note := func(format string, args ...any) {
		if broken == "" {
			broken = fmt.Sprintf(format, args...) + "\n" + si.log.String()
		}
	}
	check := func() {
		if n := si.count(fetching); n > limit {
			note("%d fetch at once", n)
		}
	}
	epoch, wanted := uint64(1), engine.Version(7)
	hos := [2]leaseState{{epoch, true}}
	si.addOwner("owner-0", limit, floor, &hos[0])
	si.addOwner("owner-1", limit, floor, &hos[1])
	owner := si.owners[0]
	owner.SetWanted(wanted)
	si.onOrder = func(ma *machine) {
		// A recent crash that the owner can't have observed yet is not counted as a violation.
		if pr := owner.Progress(); ma.version > 0 && pr.Unsettled < engines && pr.Serving < floor {
			note("%s is ordered, which leaves %+v", ma.id, pr)
		}
		if out := si.count(func(ma *machine) bool { return ma.loading != 0 && ma.version > 0 }); out >= engines-floor {
			note("%s is ordered while %d are out of work", ma.id, out)
		}
	}
	si.lose = func(string) bool { return si.rand.IntN(100) < losses }
	for _, in := range ins {
		ma := si.machines[in.Engine]
		switch in.What {
		case "crash":
			si.logf("%s crashes", ma.id)
			ma.crashed, ma.loading, ma.version = true, 0, 0
		case "recover":
			ma.crashed = false
		case "restart":
			si.logf("the attendant of %s restarts", ma.id)
			si.restart(ma)
		case "owner":
			epoch++
			si.logf("epoch %d", epoch)
			hos[0].held, hos[1].held = hos[1].held, hos[0].held
			hos[epoch%2^1].epoch = epoch
			owner = si.owners[epoch%2^1]
			owner.SetWanted(wanted)
		case "weights":
			wanted++
			owner.SetWanted(wanted)
		}
		si.run(time.Duration(in.Tenths)*step, check)
	}
	si.lose = func(string) bool { return false }
	for _, ma := range si.machines {
		ma.crashed = false
	}
	si.run(5*time.Minute, check)
	if n := si.count(func(ma *machine) bool { return ma.version == wanted }); n != engines {
		note("%d engines have version %d", n, wanted)
	}
	return broken
}

// fixSeed sets a fixed rapid seed unless the command line gives one.
func fixSeed(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		assert.NilError(t, flag.Set("rapid.seed", "1"))
	}
}

// measureRollout returns the duration of a rollout and the largest number of engines that fetched at once.
func measureRollout(t *testing.T, engines int, from engine.Version, load time.Duration, limit, floor int) (took time.Duration, most int) {
	synctest.Test(t, func(t *testing.T) {
		si := newSite(t, engines, 9, from)
		si.load = load
		ro := si.addOwner("owner", limit, floor, &leaseState{1, true})
		si.run(10*time.Second, nil)
		start := time.Now()
		ro.SetWanted(7)
		for ro.Progress().Updated < engines && time.Since(start) < 30*time.Minute {
			si.run(step, func() { most = max(most, si.count(fetching)) })
		}
		took = time.Since(start)
	})
	return took, most
}

func TestRolloutTimes(t *testing.T) {
	table := "engines  from  load  limit  floor  took    most-fetching\n"
	for _, ca := range []struct {
		engines     int
		from        engine.Version
		load        time.Duration
		limit, part int
	}{
		{12, 6, 5 * time.Second, 4, 50},
		{30, 6, 5 * time.Second, 20, 50},
		{300, 6, 5 * time.Second, 20, 50},
		{1100, 6, 5 * time.Second, 20, 50},
		{1100, 6, 5 * time.Second, 100, 50},
		{1100, 6, 5 * time.Second, 550, 50},
		{1100, 6, 5 * time.Second, 1100, 0},
		{1100, 6, 2 * time.Second, 550, 50},
		{1100, 6, 2 * time.Second, 275, 75},
		{370, 0, 5 * time.Second, 20, 50}, // a failure domain that returns
	} {
		floor := ca.engines * ca.part / 100
		took, most := measureRollout(t, ca.engines, ca.from, ca.load, ca.limit, floor)
		table += fmt.Sprintf("%7d  %4d  %4v  %5d  %5d  %-6v  %13d\n",
			ca.engines, ca.from, ca.load, ca.limit, floor, took, most)
		assert.Assert(t, most <= ca.limit)
	}
	golden.Assert(t, table, t.Name()+".golden")
}

func TestShare(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.SliceOfN(rapid.IntRange(0, 500), 1, 8).Draw(rt, "engines")
		limit := rapid.IntRange(0, 300).Draw(rt, "limit")
		sum, all := 0, 0
		for i, n := range engines {
			sum += rollout.Share(limit, engines, i)
			all += n
		}
		if all > 0 && sum != limit {
			rt.Fatalf("the shares of %d are %d in all", limit, sum)
		}
	})
}

// Guards against two orders reordered on their way to an engine that ignores epochs: the second
// must wait until the first has settled.
func TestFenceSettlesByReport(t *testing.T) {
	for name, ca := range map[string]struct {
		err    error
		phases string
	}{
		"taken":         {nil, "settling,settling,settling,failed"},
		"unknown":       {engine.ErrBroken, "unknown,unknown,unknown,failed"},
		"not sent":      {engine.ErrNotSent, "idle,idle,idle,idle"},
		"engine fenced": {engine.ErrFenced, "idle,idle,idle,idle"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fe := &rollout.Fence{Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 2))}
				fe.PassFunc = func(context.Context, string, engine.Order) error { return ca.err }
				fe.Add("e1")
				assert.Assert(t, !fe.VersionStable("e1"), "nothing is known yet")
				fe.Observe("e1", engine.Report{At: time.Now().Add(time.Minute), Version: 6})
				assert.Assert(t, fe.VersionStable("e1"))
				time.Sleep(time.Minute)
				give := func(epoch uint64) rollout.Verdict {
					st, err := fe.Probe(rollout.ProbeRequest{Endpoint: "e1", Epoch: epoch})
					assert.NilError(t, err)
					an, err := fe.Order(t.Context(), rollout.Request{
						Endpoint: "e1", Incarnation: 1, Token: st.Token,
						Order: engine.Order{Epoch: epoch, Kind: engine.LoadVersion, Version: 7},
					})
					assert.NilError(t, err)
					return an.Verdict
				}
				give(1)
				phases := []string{}
				for _, re := range []engine.Report{
					{At: time.Now()}, // measured before the order can show
					{At: time.Now().Add(5 * time.Second), Loading: true},
					{At: time.Now(), Version: 7}, // older than the report before
					{At: time.Now().Add(10 * time.Second), Version: 6},
				} {
					fe.Observe("e1", re)
					st, err := fe.Status("e1")
					assert.NilError(t, err)
					phases = append(phases, st.Phase.String())
					if ph := st.Phase; ph == rollout.Settling || ph == rollout.Unknown {
						assert.Assert(t, !fe.VersionStable("e1"))
						assert.Equal(t, give(2), rollout.Busy)
					}
				}
				assert.Equal(t, strings.Join(phases, ","), ca.phases)
				assert.Equal(t, give(1) == rollout.Fenced, ca.err == nil || errors.Is(ca.err, engine.ErrBroken))
			})
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{30, 300, 1100} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			ro := &rollout.Rollout{HeldFunc: func(time.Time) (uint64, bool) { return 1, true }}
			ro.SendProbeFunc = func(id string, _ rollout.ProbeRequest, done func(rollout.Status, error)) {
				done(rollout.Status{Endpoint: id, Incarnation: 1, Phase: rollout.Idle, Version: 6}, nil)
			}
			ta := membership.Table{UpsertFunc: ro.Observe}
			for i := range n {
				id := fmt.Sprintf("e%04d", i)
				ta.Report(message.Header{}, membership.ReportRequest{News: membership.StateUpdate{
					Beat: 1, Card: &membership.Descriptor{Address: id, Endpoints: []membership.EndpointDescriptor{{ID: id}}},
					Endpoints: []membership.EndpointUpdate{{Version: 6}}, Incarnation: 1, Instance: id,
				}})
			}
			ro.SetWanted(7) // the default limit of 0 makes each tick examine all candidates
			for b.Loop() {
				ro.Systems()[0].Run(time.Now())
			}
		})
	}
}
