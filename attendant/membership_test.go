package attendant_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/attendant"
	"wisteriacroft/configuration"
	"wisteriacroft/engine"
	"wisteriacroft/instancelist"
	"wisteriacroft/membership"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/profile"
	"wisteriacroft/rollout"
	"wisteriacroft/tick"
)

// startEntry starts the parts of an entry that an attendant uses: its membership table, its
// configuration and its locate call.
func (se *session) startEntry(address string, ho *profile.Replica) (stop func()) {
	ta := &membership.Table{
		Address:  address,
		Instance: "entry-1",
		UpsertFunc: func(en membership.Endpoint) {
			se.note("entry sees %s at %s: %s, version %d", en.ID(), en.Address(), en.State(), en.Version())
		},
	}
	sv := &peer.Server{HeaderFunc: func() message.Header {
		return message.Header{Revision: ho.Revision(), Sender: "entry-1"}
	}}
	membership.Register(sv, ta)
	configuration.Handle(sv, ho)
	attendant.HandleLocate(sv, func(string) (attendant.Location, error) {
		return attendant.Location{Address: "a:1"}, nil
	})
	hs := &http.Server{Handler: sv}
	go hs.Serve(se.net.listen(address))
	ctx, cancel := context.WithCancel(context.Background())
	lo := tick.Loop{Every: 20 * time.Millisecond, Systems: ta.Systems()}
	go lo.Run(ctx)
	return func() {
		cancel()
		assert.NilError(se, sv.Shutdown(context.Background()))
		hs.Close()
	}
}

// status requests and logs an attendant's status.
func (se *session) status(address string) {
	po := &peer.Pool{DialFunc: se.net.dial}
	defer po.Close()
	st, err := peer.Call[message.StatusRequest, message.Status](se.Context(), po, address,
		message.AttendantStatusMethod, message.StatusRequest{})
	assert.NilError(se, err)
	se.note("status: revision %d from %s, cut off %t, leaving %t", st.Revision, st.RevisionSource,
		!st.CutOffSince.IsZero(), st.Leaving)
	for _, en := range st.Endpoints {
		se.note("status: %s serving %t, version %d, model %s", en.Name, en.Serving, en.Version, en.Model)
	}
}

// Guards against new work for a leaving endpoint, and against an attendant that misses entries that
// start after it.
func TestMembership(t *testing.T) {
	run(t, func(se *session) {
		entry := instancelist.Instance{Address: "e:1", ID: "entry-1", Role: "entry", State: instancelist.Live}
		listed := []instancelist.Instance{entry}
		op := engineOptions("marker-1", &fakeEngine{version: 7})
		op.Instances = &instancelist.Client{ListFunc: func(context.Context) ([]instancelist.Instance, error) {
			return listed, nil
		}}
		_, end := se.start("a:1", op)
		time.Sleep(40 * time.Second)
		se.status("a:1")
		ho := &profile.Replica{}
		stop := se.startEntry("e:1", ho)
		defer stop()
		time.Sleep(10 * time.Second)
		ho.Offer(deskDocument(t, 3, "desk-1"), profile.FromService)
		se.note("entry holds revision %d", ho.Revision())
		time.Sleep(10 * time.Second)
		se.status("a:1")
		end()
		time.Sleep(time.Second)
	})
}

// Guards against orders from an outdated owner, and against samples that name weights of a failed
// swap.
func TestOrders(t *testing.T) {
	run(t, func(se *session) {
		fe := &fakeEngine{version: 7}
		op := engineOptions("marker-1", fe)
		op.Incarnation = 5
		_, end := se.start("a:1", op)
		defer end()
		po := &peer.Pool{DialFunc: se.net.dial}
		defer po.Close()
		give := func(epoch uint64, ve engine.Version) {
			st, err := peer.Call[rollout.ProbeRequest, rollout.Status](se.Context(), po, "a:1", rollout.ProbeMethod,
				rollout.ProbeRequest{Endpoint: "marker-1", Epoch: epoch})
			assert.NilError(se, err)
			an, err := peer.Call[rollout.Request, rollout.Response](se.Context(), po, "a:1", rollout.OrderMethod, rollout.Request{
				Endpoint:    "marker-1",
				Incarnation: st.Incarnation,
				Order:       engine.Order{Epoch: epoch, Kind: engine.LoadVersion, Version: ve},
				Token:       st.Token,
			})
			assert.NilError(se, err)
			se.note("order %d of epoch %d: %s, then %s", ve, epoch, an.Verdict, an.Status.Phase)
		}
		time.Sleep(5 * time.Second)
		give(2, 8)
		se.sample(se.Context(), "a:1", "marker-1", sampleRequest("while-it-loads", somePlaces))
		fe.load(8)
		time.Sleep(5 * time.Second)
		give(1, 6)
		fe.orderErr = engine.ErrBroken
		give(2, 9)
		se.sample(se.Context(), "a:1", "marker-1", sampleRequest("of-unknown-fate", somePlaces))
		time.Sleep(5 * time.Second)
		se.status("a:1")
		give(2, 10)
		se.note("passed on: %d orders", len(fe.orders))
	})
}
