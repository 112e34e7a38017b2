package rollout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/membership"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/rollout"
)

const step = 100 * time.Millisecond

// A machine is an attendant and its fake engine, which ignores epochs.
type machine struct {
	beat         uint64
	failNextLoad bool // the next load fails and keeps the old version
	crashed      bool
	fence        *rollout.Fence
	id           string
	incarnation  uint64
	loading      engine.Version
	until        time.Time
	version      engine.Version
}

// A site is a set of machines, the membership table of an entry, and the owners of their rollout. It runs in
// a single goroutine. A lost message is lost in one direction only.
type site struct {
	pending  []delayed
	load     time.Duration
	log      strings.Builder
	lose     func(what string) bool // what is one of "order", "order-answer", "probe", "settle"
	machines []*machine
	owners   []*rollout.Rollout
	paused   map[*rollout.Rollout]bool
	rand     *rand.Rand
	start    time.Time
	table    membership.Table
	t        *testing.T
	onOrder  func(ma *machine) // called for each order that an engine accepts
}

// delayed is a delayed message.
type delayed struct {
	at time.Time
	fn func()
}

func newSite(t *testing.T, engines, domains int, version engine.Version) *site {
	si := &site{
		load: 5 * time.Second, lose: func(string) bool { return false }, rand: rand.New(rand.NewPCG(1, 2)),
		paused: map[*rollout.Rollout]bool{}, start: time.Now(), t: t, onOrder: func(*machine) {},
	}
	for i := range engines {
		ma := &machine{id: fmt.Sprintf("e%04d", i), version: version}
		si.machines = append(si.machines, ma)
		si.restart(ma)
		si.report(ma, i%domains)
	}
	return si
}

// restart restarts the machine's attendant; its engine keeps running.
func (si *site) restart(ma *machine) {
	ma.incarnation++
	ma.beat = 0
	fe := &rollout.Fence{Incarnation: ma.incarnation, Rand: si.rand}
	fe.PassFunc = func(_ context.Context, _ string, or engine.Order) error {
		if ma.crashed {
			return engine.ErrNotSent
		}
		si.onOrder(ma)
		ma.loading, ma.until = or.Version, time.Now().Add(si.load)
		si.logf("%s accepts version %d under epoch %d", ma.id, or.Version, or.Epoch)
		return nil
	}
	fe.NotifyFunc = func(address string, st rollout.Status) {
		if !si.lose("settle") {
			si.owner(address).Settled(st)
		}
	}
	fe.Add(ma.id)
	ma.fence = fe
}

func (si *site) owner(address string) *rollout.Rollout {
	for _, ro := range si.owners {
		if ro.Address == address {
			return ro
		}
	}
	return &rollout.Rollout{}
}

func (si *site) find(id string) *machine {
	for _, ma := range si.machines {
		if ma.id == id {
			return ma
		}
	}
	return nil
}

// A leaseState is the state of an owner's lease.
type leaseState struct {
	epoch uint64
	held  bool
}

// addOwner adds an owner of the rollout.
func (si *site) addOwner(name string, limit, floor int, ho *leaseState) *rollout.Rollout {
	ro := &rollout.Rollout{
		Address:   name,
		FloorFunc: func(int) int { return floor },
		HeldFunc:  func(time.Time) (uint64, bool) { return ho.epoch, ho.held },
		Rand:      si.rand,
		SendProbeFunc: func(id string, rq rollout.ProbeRequest, done func(rollout.Status, error)) {
			st, err := si.find(id).fence.Probe(rq)
			if si.lose("probe") {
				err = peer.ErrSilent
			}
			done(st, err)
		},
		SendOrderFunc: func(id string, rq rollout.Request, done func(rollout.Response, error)) {
			if si.lose("order") { // or delayed; the owner can't tell which
				delay := time.Duration(si.rand.IntN(100)) * step
				si.after(delay, func() { _, _ = si.find(id).fence.Order(si.t.Context(), rq) })
				done(rollout.Response{}, peer.ErrSilent)
				return
			}
			an, err := si.find(id).fence.Order(si.t.Context(), rq)
			if an.Verdict != rollout.Accepted {
				si.logf("%s refuses version %d under epoch %d: %v", rq.Endpoint, rq.Order.Version, rq.Order.Epoch, an.Verdict)
			}
			if si.lose("order-answer") {
				si.logf("the answer of %s is lost", rq.Endpoint)
				err = peer.ErrSilent
			}
			done(an, err)
		},
	}
	ro.SetLimit(limit)
	si.owners = append(si.owners, ro)
	si.observe()
	return ro
}

// run advances time in steps and calls check, if not nil, after each.
func (si *site) run(d time.Duration, check func()) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		for i, ma := range si.machines {
			si.advance(ma, i)
		}
		si.deliver()
		for _, ro := range si.owners {
			if si.paused[ro] {
				continue
			}
			for _, sy := range ro.Systems() {
				sy.Run(time.Now())
			}
		}
		if check != nil {
			check()
		}
	}
}

// after runs fn in the first step after d has passed.
func (si *site) after(d time.Duration, fn func()) {
	si.pending = append(si.pending, delayed{at: time.Now().Add(d), fn: fn})
}

func (si *site) deliver() {
	due := si.pending
	si.pending = nil
	for _, la := range due {
		if time.Now().Before(la.at) {
			si.pending = append(si.pending, la)
			continue
		}
		la.fn()
	}
}

// advance advances an engine. Its reports arrive half a second late, and the membership
// table receives them another second later.
func (si *site) advance(ma *machine, i int) {
	now := time.Now()
	if ma.loading != 0 && !now.Before(ma.until) {
		if !ma.failNextLoad {
			ma.version = ma.loading
		}
		si.logf("%s ends loading at version %d", ma.id, ma.version)
		ma.loading, ma.failNextLoad = 0, false
	}
	if tenths := int(now.Sub(si.start) / step); (tenths+i)%5 == 0 && !ma.crashed {
		re := engine.Report{At: now, Loading: ma.loading != 0, Version: ma.version}
		fe := ma.fence
		si.after(5*step, func() { fe.Observe(ma.id, re) })
	} else if (tenths+i)%10 == 1 {
		si.report(ma, -1)
	}
}

func (si *site) report(ma *machine, domain int) {
	ma.beat++
	st, _ := ma.fence.Status(ma.id)
	ne := membership.StateUpdate{
		Beat: ma.beat, Endpoints: []membership.EndpointUpdate{{State: membership.Ready, Version: st.Version}},
		Incarnation: ma.incarnation, Instance: ma.id,
	}
	switch {
	case ma.crashed:
		ne.Endpoints[0].State = membership.Unhealthy
	case !ma.fence.VersionStable(ma.id):
		ne.Endpoints[0].State = membership.Loading
	}
	if domain < 0 {
		domain = int(ma.id[len(ma.id)-1]-'0') % 9
	}
	ne.Card = &membership.Descriptor{
		Address: ma.id, Endpoints: []membership.EndpointDescriptor{{ID: ma.id, Service: "marker-llm"}},
		FailureDomain: fmt.Sprintf("fd-%d", domain),
	}
	si.table.UpsertFunc = func(en membership.Endpoint) {
		for _, ro := range si.owners {
			ro.Observe(en)
		}
	}
	si.table.Report(message.Header{}, membership.ReportRequest{News: ne})
}

// observe passes all endpoints to the newest owner.
func (si *site) observe() {
	for _, en := range si.table.Endpoints("marker-llm") {
		si.owners[len(si.owners)-1].Observe(en)
	}
}

func (si *site) logf(format string, args ...any) {
	fmt.Fprintf(&si.log, "%6.1fs ", time.Since(si.start).Seconds())
	fmt.Fprintf(&si.log, format+"\n", args...)
}

// count returns the number of machines that satisfy a predicate.
func (si *site) count(is func(ma *machine) bool) int {
	n := 0
	for _, ma := range si.machines {
		if is(ma) {
			n++
		}
	}
	return n
}

func fetching(ma *machine) bool { return ma.loading != 0 }
