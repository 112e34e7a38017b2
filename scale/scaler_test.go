package scale

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/leader"
)

var errTest = errors.New("order rejected")

// A call is an order that reached the platform.
type call struct {
	at     time.Duration
	epoch  uint64
	holder string
	order  LastOrder
}

// A fakePlatform records the orders, and simulates the lease and the key-value service.
type fakePlatform struct {
	started time.Time
	calls   []call
	epoch   uint64
	fail    error         // returned after the order was accepted
	holder  string        // of the lease
	delay   time.Duration // of the platform
	memory  keyvalue.Memory
	work    time.Duration // open work, due in 8 s
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{started: time.Now(), epoch: 1, holder: "a"}
}

func (fp *fakePlatform) monotonicNow() time.Duration { return time.Since(fp.started) + time.Hour }

// process returns a potential holder.
func (fp *fakePlatform) process(name string) *Scaler {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	sc := &Scaler{
		Log: logrus.NewEntry(logger), Metrics: metrics.NewSet(),
		SendFunc: func(ctx context.Context, epoch uint64, or LastOrder) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(fp.delay):
			}
			fp.calls = append(fp.calls, call{at: fp.monotonicNow(), epoch: epoch, holder: name, order: or})
			return fp.fail
		},
		ServicesFunc: func(time.Time) []Service {
			return []Service{{
				Bounds: Bounds{Startup: 3 * second, Max: 4, Min: 1}, Domains: map[string]int{"x": 1}, Name: "llm", Places: 10,
				Work: Work{{Due: 8 * second, Work: fp.work}},
			}}
		},
		Tenure: &leader.Term[Record]{
			Client: fp.memory.Client(),
			FenceFunc: func(epoch uint64) (keyvalue.Expectation, bool) {
				return fp.fence(), epoch == fp.epoch && fp.holder == name
			},
			Overlap:      3 * second,
			Owner:        name,
			StandingFunc: func(time.Time) (uint64, bool) { return fp.epoch, fp.holder == name },
			SteadyFunc:   fp.monotonicNow,
		},
	}
	sc.Begin()
	return sc
}

// fence returns the expectation that fences writes of the holder.
func (fp *fakePlatform) fence() keyvalue.Expectation {
	it, err := fp.memory.Client().Get(context.Background(), "lease")
	if err != nil {
		version, _ := fp.memory.Client().Put(context.Background(), "lease", []byte("held"), 0, 0)
		return keyvalue.Expectation{Key: "lease", Version: version}
	}
	return keyvalue.Expectation{Key: "lease", Version: it.Version}
}

// run steps a holder for a time.
func (fp *fakePlatform) run(t *testing.T, sc *Scaler, span time.Duration) {
	t.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(stepInterval) {
		sc.Step(t.Context())
	}
}

// A load that needs three endpoints causes one order.
func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fp := newFakePlatform()
		sc := fp.process("a")
		fp.run(t, sc, 6*second)
		assert.Equal(t, len(fp.calls), 0, "the demand is met")
		fp.work = 144 * second
		fp.run(t, sc, 10*second)
		assert.Equal(t, len(fp.calls), 1, "%v", fp.calls)
		assert.Equal(t, fp.calls[0].order.Target, 3)
		assert.Equal(t, fp.calls[0].epoch, uint64(1))
		ov, err := sc.Overview()
		assert.NilError(t, err)
		assert.DeepEqual(t, ov, Overview{Epoch: 1, Lines: []OverviewRow{{
			Max: 4, Min: 1, Ordered: 3, Serving: 1, Subject: Subject{Domain: "x", Service: "llm"}, Taken: true, Wanted: 3,
		}}})
	})
}

// Guards against calls to the key-value service if no service is autoscaled.
func TestNoBoundsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fp := newFakePlatform()
		sc := fp.process("a")
		sc.ServicesFunc = func(time.Time) []Service { return nil }
		before := fp.memory.Calls()
		fp.run(t, sc, 10*second)
		assert.Equal(t, fp.memory.Calls(), before)
		ov, err := sc.Overview()
		assert.NilError(t, err)
		assert.Equal(t, len(ov.Lines), 0)
	})
}

func TestHolderDiesBeforeSending(t *testing.T) {
	// Guards against losing or changing an order that a holder saved but did not send before it
	// died.
	synctest.Test(t, func(t *testing.T) {
		fp := newFakePlatform()
		first := fp.process("a")
		fp.run(t, first, 6*second)
		fp.work = 144 * second
		first.SendFunc = func(context.Context, uint64, LastOrder) error { return errTest } // nothing was sent
		fp.run(t, first, 3*second)
		fp.work, fp.epoch, fp.holder = 0, 2, "b"
		fp.run(t, fp.process("b"), 8*second)
		assert.Equal(t, len(fp.calls), 1, "%v", fp.calls)
		assert.Equal(t, fp.calls[0].holder, "b")
		assert.Equal(t, fp.calls[0].epoch, uint64(2))
		assert.Equal(t, fp.calls[0].order.Target, 3)
	})
}

func TestLostResponse(t *testing.T) {
	// Guards against dropping or doubling an order if responses of the platform are lost.
	synctest.Test(t, func(t *testing.T) {
		fp := newFakePlatform()
		sc := fp.process("a")
		fp.run(t, sc, 6*second)
		fp.work, fp.fail = 144*second, errTest
		fp.run(t, sc, 4*second)
		fp.fail = nil
		fp.run(t, sc, 4*second)
		assert.Assert(t, len(fp.calls) > 1)
		for _, ca := range fp.calls {
			assert.Equal(t, ca.order, fp.calls[0].order)
		}
		count := len(fp.calls)
		fp.run(t, sc, 4*second)
		assert.Equal(t, len(fp.calls), count, "taken")
	})
}

func TestSlowPlatform(t *testing.T) {
	// Guards against a slow call of a former holder arriving after those of its successor.
	synctest.Test(t, func(t *testing.T) {
		fp := newFakePlatform()
		sc := fp.process("a")
		fp.run(t, sc, 6*second)
		fp.work, fp.delay = 144*second, 10*second
		fp.run(t, sc, 4*second)
		assert.Equal(t, len(fp.calls), 0)
		fp.epoch, fp.holder, fp.delay = 2, "b", 0
		next := fp.process("b")
		fp.run(t, next, 8*second)
		fp.run(t, sc, 8*second)
		for _, ca := range fp.calls {
			assert.Equal(t, ca.holder, "b")
		}
		assert.Assert(t, len(fp.calls) > 0)
	})
}

func TestUnsavedOrderIsNotSent(t *testing.T) {
	// Guards against sending an order that could not be saved, as a successor might send a
	// different one.
	synctest.Test(t, func(t *testing.T) {
		fp := newFakePlatform()
		sc := fp.process("a")
		fp.run(t, sc, 6*second)
		fence := fp.fence()
		sc.Tenure.FenceFunc = func(uint64) (keyvalue.Expectation, bool) { return fence, true }
		fp.memory.SetFaults(keyvalue.Faults{Outage: true})
		fp.work = 144 * second
		fp.run(t, sc, 8*second)
		assert.Equal(t, len(fp.calls), 0)
		fp.memory.SetFaults(keyvalue.Faults{})
		fp.run(t, sc, 3*second)
		assert.Equal(t, len(fp.calls), 1)
	})
}

// While an operator holds a service, no order is sent, but the demand is shown.
func TestHeldOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fp := newFakePlatform()
		sc := fp.process("a")
		held := true
		sc.HeldFunc = func(string) bool { return held }
		fp.work = 144 * second
		fp.run(t, sc, 15*second)
		assert.Equal(t, len(fp.calls), 0)
		ov, err := sc.Overview()
		assert.NilError(t, err)
		assert.Assert(t, ov.Lines[0].Held)
		assert.Equal(t, ov.Lines[0].Ordered, -1)
		assert.Equal(t, ov.Lines[0].Wanted, 3)
		held = false
		fp.run(t, sc, 4*second)
		assert.Equal(t, len(fp.calls), 1)
	})
}

// reject makes the platform reject the orders of a failure domain, after a time.
func reject(sc *Scaler, domain string, after time.Duration) {
	send := sc.SendFunc
	sc.SendFunc = func(ctx context.Context, epoch uint64, or LastOrder) error {
		if or.Domain != domain {
			return send(ctx, epoch, or)
		}
		time.Sleep(after)
		return errTest
	}
}

// services returns a service with the given failure domains.
func (fp *fakePlatform) services(name string, domains ...string) []Service {
	se := Service{
		Bounds: Bounds{Startup: 3 * second, Max: 4, Min: 1}, Domains: map[string]int{}, Name: name, Places: 10,
		Work: Work{{Due: 8 * second, Work: fp.work}},
	}
	for _, domain := range domains {
		se.Domains[domain] = 1
	}
	return []Service{se}
}

func TestRejectedOrderBlocksNoOther(t *testing.T) {
	// Guards against retries of an order that the platform always rejects blocking all others.
	for name, after := range map[string]time.Duration{"at once": 0, "late": second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fp := newFakePlatform()
				sc := fp.process("a")
				sc.ServicesFunc = func(time.Time) []Service { return fp.services("llm", "w", "x", "y") }
				reject(sc, "w", after)
				fp.run(t, sc, 6*second)
				fp.work = 999 * second
				fp.run(t, sc, 8*second)
				assert.Equal(t, len(fp.calls), 2, "%v", fp.calls)
				assert.Equal(t, fp.calls[0].order.Domain, "x")
				assert.Equal(t, fp.calls[1].order.Domain, "y")
			})
		})
	}
}

func TestOrdersOfRemovedSubjects(t *testing.T) {
	// Guards against retrying orders of a removed failure domain or service forever.
	for name, tc := range map[string]struct {
		after   func(fp *fakePlatform) []Service
		back    int // orders once the subject is back
		dropped time.Duration
	}{
		"failure domain": {func(fp *fakePlatform) []Service { return fp.services("llm", "x") }, 1, 14 * second},
		"service":        {func(fp *fakePlatform) []Service { return fp.services("other", "x") }, 2, second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fp := newFakePlatform()
				sc := fp.process("a")
				now := func(fp *fakePlatform) []Service { return fp.services("llm", "w", "x") }
				sc.ServicesFunc = func(time.Time) []Service { return now(fp) }
				tries, send := 0, sc.SendFunc
				sc.SendFunc = func(ctx context.Context, epoch uint64, or LastOrder) error {
					if or.Domain == "w" {
						tries++
						return errTest
					}
					return send(ctx, epoch, or)
				}
				fp.run(t, sc, 6*second)
				fp.work = 999 * second
				fp.run(t, sc, 15*second)
				assert.Assert(t, tries > 0)
				before := now
				now = tc.after
				fp.run(t, sc, tc.dropped)
				tried := tries
				fp.run(t, sc, 5*second)
				assert.Equal(t, tries, tried, "dropped")
				sc.SendFunc, now, fp.calls = send, before, nil
				fp.run(t, sc, 5*second)
				assert.Equal(t, len(fp.calls), tc.back, "ordered again: %v", fp.calls)
			})
		})
	}
}

func TestReleaseAfterLoad(t *testing.T) {
	// Guards against losing the targets during a hold, so that endpoints that were ordered but
	// are no longer needed would still be started.
	for name, span := range map[string]time.Duration{"short hold": second, "long hold": time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fp := newFakePlatform()
				sc := fp.process("a")
				held := false
				sc.HeldFunc = func(string) bool { return held }
				fp.run(t, sc, 6*second)
				fp.work = 999 * second
				fp.run(t, sc, 4*second)
				assert.Equal(t, len(fp.calls), 1)
				assert.Equal(t, fp.calls[0].order.Target, 4)
				held = true
				fp.work = 0
				fp.run(t, sc, span)
				assert.Equal(t, len(fp.calls), 1, "held")
				held = false
				fp.run(t, sc, 15*second)
				assert.Equal(t, len(fp.calls), 2, "%v", fp.calls)
				assert.Equal(t, fp.calls[1].order.Target, 1)
			})
		})
	}
}

// Guards against scaling down at the release of a hold although the load continues.
func TestReleaseUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fp := newFakePlatform()
		sc := fp.process("a")
		held := false
		sc.HeldFunc = func(string) bool { return held }
		fp.run(t, sc, 6*second)
		fp.work = 999 * second
		fp.run(t, sc, 4*second)
		held = true
		fp.run(t, sc, time.Minute)
		held = false
		fp.run(t, sc, 20*second)
		assert.Equal(t, len(fp.calls), 1, "%v", fp.calls)
	})
}
