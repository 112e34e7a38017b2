package measure

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"wisteriacroft/batch"
	"wisteriacroft/engine"
	"wisteriacroft/gate"
	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/route"
	"wisteriacroft/tick"
)

// Tick is the simulated time between two steps of the World.
const Tick = 100 * time.Millisecond

// heartbeatInterval is the interval of the attendants' reports to the entry.
const heartbeatInterval = time.Second

// leaseTTL is the time to live of the leases of trainers.
const leaseTTL = 15 * time.Second

// A World is one entry with the engines, trainers and callers of a case. It runs
// one goroutine at a time, so that runs with the same seed are identical.
type World struct {
	attendants map[string]*Attendant
	ca         Case
	caller     *Caller
	events     []event
	endpoints  []route.Endpoint
	holders    map[string]*lease.Holder
	ledger     *Ledger
	loop       tick.Loop
	owner      *batch.Owner
	places     []message.BlobLocation
	policy     Policy
	published  engine.Version
	queue      []func(ctx context.Context) // the owner's pending I/O
	routes     *route.Table
	sampler    *Sampler
	seed       uint64
	service    keyvalue.Memory
	trainers   []*Trainer
}

// An event is a function to run at a time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// Measure runs a case under a policy and returns the result.
func Measure(t *testing.T, ca Case, po Policy, seed uint64) (re Result) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		wo := NewWorld(ca, po, seed)
		start := time.Now()
		for now := start; now.Sub(start) < time.Duration(ca.Duration); now = time.Now() {
			synctest.Wait()
			wo.Step(ctx, start, now)
			time.Sleep(Tick)
		}
		re = wo.Result()
	})
	return re
}

// NewWorld returns the world of a case at its start.
func NewWorld(ca Case, po Policy, seed uint64) *World {
	wo := &World{
		attendants: map[string]*Attendant{},
		ca:         ca,
		caller:     NewCaller(ca.Live, seed, time.Now()),
		holders:    map[string]*lease.Holder{},
		ledger:     NewLedger(ca.Samples.StalenessBound),
		policy:     po,
		published:  1,
		routes:     route.NewTable(po.routeOptions(ca, seed)),
		seed:       seed,
	}
	wo.places = []message.BlobLocation{
		{Address: "10.0.0.1:7000", FailureDomain: "a", Instance: "store-1"},
		{Address: "10.0.0.2:7000", FailureDomain: "b", Instance: "store-2"},
	}
	wo.sampler = &Sampler{attempts: map[string]*Attempt{}, world: wo}
	wo.addEngines()
	wo.addOwner()
	return wo
}

func (wo *World) addEngines() {
	for i := range wo.ca.Engines.Count {
		id := fmt.Sprintf("%s-%d", wo.ca.Service, i+1)
		en := NewEngine(id, wo.ca.Engines)
		wo.attendants[id] = NewAttendant(en, wo.policy.gatePolicy(wo.ca))
		wo.endpoints = append(wo.endpoints, route.Endpoint{
			Address:       id,
			FailureDomain: wo.ca.FailureDomains[i%len(wo.ca.FailureDomains)],
			ID:            id,
			Service:       wo.ca.Service,
			State:         route.Ready,
		})
	}
}

func (wo *World) addOwner() {
	ps := &PayloadStore{payloads: map[string][]byte{}, places: wo.places}
	wo.owner = &batch.Owner{
		CancelFunc: wo.sampler.Cancel,
		Client:     wo.service.Client(),
		FetchFunc:  ps.Fetch,
		GoFunc:     func(run func(ctx context.Context)) { wo.queue = append(wo.queue, run) },
		LeaseFunc: func(trainer string, now time.Time) (uint64, lease.State) {
			return wo.holders[trainer].State(now)
		},
		ReplicateFunc: ps.Replicate,
		StartFunc:     wo.sampler.Start,
	}
	for _, tr := range wo.ca.Trainers {
		wo.trainers = append(wo.trainers, NewTrainer(tr))
		wo.holders[tr.Name] = &lease.Holder{
			Client: wo.service.Client(), Name: "trainer/" + tr.Name, Owner: "entry", TTL: leaseTTL,
		}
		wo.owner.Add(tr.Name, wo.policy.batchPolicy(wo.ca, tr))
	}
	for _, sy := range wo.owner.Systems() {
		wo.loop.Systems = append(wo.loop.Systems, tick.System{Name: sy.Name, Run: func(now time.Time) {
			sy.Run(now)
			synctest.Wait() // pulls that the system unblocks run before the next system
		}})
	}
}

// schedule runs a function in the first tick at or after a time.
func (wo *World) schedule(at time.Time, run func(now time.Time)) {
	wo.events = append(wo.events, event{at: at, run: run})
}

// Step runs one tick.
func (wo *World) Step(ctx context.Context, start, now time.Time) {
	elapsed := now.Sub(start)
	wo.applyFaults(elapsed, now)
	if elapsed%(leaseTTL/3) == 0 {
		for _, tr := range wo.trainers {
			wo.holders[tr.row.Name].Step(ctx)
		}
	}
	wo.rollOut(now)
	if elapsed%heartbeatInterval == 0 {
		wo.report(now)
	}
	wo.advance(now)
	wo.runDue(now)
	wo.caller.Run(wo, now)
	for _, tr := range wo.trainers {
		tr.Run(ctx, wo, now)
	}
	wo.loop.Step(now)
	wo.runQueue(ctx)
	wo.runDue(now)
	for _, en := range wo.endpoints {
		wo.attendants[en.ID].Run(now, func(id string, re *outcome.Refusal) { wo.refused(now, id, re) })
	}
}

// applyFaults starts and ends the faults that are due.
func (wo *World) applyFaults(elapsed time.Duration, now time.Time) {
	for _, fa := range wo.ca.Faults {
		begins := elapsed == time.Duration(fa.At)
		ends := elapsed == time.Duration(fa.At+fa.Lasts)
		until := now.Add(time.Duration(fa.Lasts))
		at := wo.attendants[wo.endpoints[fa.Engine].ID]
		switch {
		case fa.Kind == KeyValueOutage && (begins || ends):
			wo.service.SetFaults(keyvalue.Faults{Outage: begins})
		case fa.Kind == EngineStall && begins:
			at.engine.stalled = until
		case fa.Kind == EngineCrash && begins:
			for _, lost := range at.engine.Crash(until) {
				wo.broken(now, at, lost)
			}
		}
	}
}

// broken reports a request that its engine lost.
func (wo *World) broken(now time.Time, at *Attendant, lost *Work) {
	at.Remove(now, lost.id, gate.Broken)
	if lc := wo.caller.calls[lost.id]; lc != nil {
		wo.caller.HandleBroken(wo, now, lc)
		return
	}
	wo.sampler.HandleBroken(now, wo.sampler.attempts[lost.id])
}

// refused reports a request that did not run.
func (wo *World) refused(now time.Time, id string, re *outcome.Refusal) {
	if lc := wo.caller.calls[id]; lc != nil {
		wo.caller.HandleRefusal(wo, now, lc, re)
		return
	}
	wo.sampler.HandleRefusal(now, wo.sampler.attempts[id], re)
}

// rollOut starts loads of the newest version, as far as the serving floor allows.
func (wo *World) rollOut(now time.Time) {
	floor := int(wo.ca.Engines.ServingFloor * float64(len(wo.endpoints)))
	loading := 0
	for _, en := range wo.endpoints {
		if wo.attendants[en.ID].engine.loading != 0 {
			loading++
		}
	}
	for _, row := range wo.endpoints {
		en := wo.attendants[row.ID].engine
		if loading >= max(1, len(wo.endpoints)-floor) {
			return
		}
		if en.loading == 0 && en.version < wo.published && en.Up(now) {
			en.Load(now, wo.published)
			loading++
		}
	}
}

// report updates the router and the gates with the engines' reports.
func (wo *World) report(now time.Time) {
	for _, en := range wo.endpoints {
		at := wo.attendants[en.ID]
		en.Version = at.engine.version
		wo.routes.Upsert(en)
		lo := at.table.Load()
		wo.routes.Observe(en.ID, route.Load{Limit: lo.Limit, Running: lo.Running, Waiting: lo.Waiting})
		at.table.Observe(now, gate.Load{Running: at.engine.reported.running, Waiting: at.engine.reported.waiting})
	}
	wo.sampler.Progress()
}

// advance advances the engines by a tick and reports the completed requests.
func (wo *World) advance(now time.Time) {
	for _, en := range wo.endpoints {
		at := wo.attendants[en.ID]
		for _, done := range at.engine.Advance(now) {
			at.Remove(now, done.id, gate.Whole)
			if lc := wo.caller.calls[done.id]; lc != nil {
				wo.caller.HandleResponse(wo, now, lc)
				continue
			}
			wo.sampler.HandleResponse(now, wo.sampler.attempts[done.id])
		}
	}
}

// runDue runs the events that are due.
func (wo *World) runDue(now time.Time) {
	due := wo.events
	wo.events = nil
	for _, ev := range due {
		if ev.at.After(now) {
			wo.events = append(wo.events, ev)
			continue
		}
		ev.run(now)
	}
}

// runQueue runs the owner's pending I/O, in order.
func (wo *World) runQueue(ctx context.Context) {
	for len(wo.queue) > 0 {
		run := wo.queue[0]
		wo.queue = slices.Delete(wo.queue, 0, 1)
		startCall(func() (struct{}, error) {
			run(ctx)
			return struct{}{}, nil
		})
	}
}
