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

var errTest = errors.New("not taken")

// A call is an order as it reached the platform.
type call struct {
	at     time.Duration
	epoch  uint64
	holder string
	order  LastOrder
}

// A field is the platform and the lease: who holds it, and what was ordered.
type field struct {
	begun  time.Time
	calls  []call
	epoch  uint64
	fail   error         // of the answer, after the order was taken
	holder string        // of the lease
	lag    time.Duration // of the platform
	memory keyvalue.Memory
	work   time.Duration // that is open, due in 8 s
}

func newField() *field { return &field{begun: time.Now(), epoch: 1, holder: "a"} }

func (fi *field) steady() time.Duration { return time.Since(fi.begun) + time.Hour }

// process returns a holder of its own.
func (fi *field) process(name string) *Scaler {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	ho := &Scaler{
		Log: logrus.NewEntry(logger), Metrics: metrics.NewSet(),
		SendFunc: func(ctx context.Context, epoch uint64, or LastOrder) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(fi.lag):
			}
			fi.calls = append(fi.calls, call{at: fi.steady(), epoch: epoch, holder: name, order: or})
			return fi.fail
		},
		ServicesFunc: func(time.Time) []Service {
			return []Service{{
				Bounds: Bounds{Startup: 3 * second, Max: 4, Min: 1}, Domains: map[string]int{"x": 1}, Name: "llm", Places: 10,
				Work: Work{{Due: 8 * second, Work: fi.work}},
			}}
		},
		Tenure: &leader.Term[Record]{
			Client: fi.memory.Client(),
			FenceFunc: func(epoch uint64) (keyvalue.Expectation, bool) {
				return fi.fence(), epoch == fi.epoch && fi.holder == name
			},
			Overlap:      3 * second,
			Owner:        name,
			StandingFunc: func(time.Time) (uint64, bool) { return fi.epoch, fi.holder == name },
			SteadyFunc:   fi.steady,
		},
	}
	ho.Begin()
	return ho
}

// fence is what a write expects: the lease's key at the version of its holder.
func (fi *field) fence() keyvalue.Expectation {
	it, err := fi.memory.Client().Get(context.Background(), "lease")
	if err != nil {
		version, _ := fi.memory.Client().Put(context.Background(), "lease", []byte("held"), 0, 0)
		return keyvalue.Expectation{Key: "lease", Version: version}
	}
	return keyvalue.Expectation{Key: "lease", Version: it.Version}
}

// run lets a holder work for a time.
func (fi *field) run(t *testing.T, ho *Scaler, span time.Duration) {
	t.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(stepEvery) {
		ho.Step(t.Context())
	}
}

// TestOrders plays a load that asks for three endpoints where one is.
func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fi := newField()
		ho := fi.process("a")
		fi.run(t, ho, 6*second)
		assert.Equal(t, len(fi.calls), 0, "as many are there as are wanted")
		fi.work = 144 * second
		fi.run(t, ho, 10*second)
		assert.Equal(t, len(fi.calls), 1, "%v", fi.calls)
		assert.Equal(t, fi.calls[0].order.Target, 3)
		assert.Equal(t, fi.calls[0].epoch, uint64(1))
		ov, err := ho.Overview()
		assert.NilError(t, err)
		assert.DeepEqual(t, ov, Overview{Epoch: 1, Lines: []OverviewRow{{
			Max: 4, Min: 1, Ordered: 3, Serving: 1, Subject: Subject{Domain: "x", Service: "llm"}, Taken: true, Wanted: 3,
		}}})
	})
}

// Where no service has bounds, the key-value service isn't even asked.
func TestNoBoundsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fi := newField()
		ho := fi.process("a")
		ho.ServicesFunc = func(time.Time) []Service { return nil }
		before := fi.memory.Calls()
		fi.run(t, ho, 10*second)
		assert.Equal(t, fi.memory.Calls(), before)
		ov, err := ho.Overview()
		assert.NilError(t, err)
		assert.Equal(t, len(ov.Lines), 0)
	})
}

func TestHolderDiesBetweenDecisionAndOrder(t *testing.T) {
	// Symptom: endpoints are never ordered, or two holders order different numbers.
	// Sequence: a holder decides, writes, and dies before its call; the load is less by
	// the time that the next one looks.
	// Cause: the next one knew nothing of the decision.
	synctest.Test(t, func(t *testing.T) {
		fi := newField()
		first := fi.process("a")
		fi.run(t, first, 6*second)
		fi.work = 144 * second
		first.SendFunc = func(context.Context, uint64, LastOrder) error { return errTest } // no byte was sent
		fi.run(t, first, 3*second)
		fi.work, fi.epoch, fi.holder = 0, 2, "b"
		fi.run(t, fi.process("b"), 8*second)
		assert.Equal(t, len(fi.calls), 1, "%v", fi.calls)
		assert.Equal(t, fi.calls[0].holder, "b")
		assert.Equal(t, fi.calls[0].epoch, uint64(2))
		assert.Equal(t, fi.calls[0].order.Target, 3)
	})
}

func TestLostAnswerOfAnOrder(t *testing.T) {
	// Symptom: an order is given up though it was not taken, or doubled.
	// Sequence: the platform takes an order, and its answers are lost for a while.
	// Cause: the order named a change, not a number, or was not sent again.
	synctest.Test(t, func(t *testing.T) {
		fi := newField()
		ho := fi.process("a")
		fi.run(t, ho, 6*second)
		fi.work, fi.fail = 144*second, errTest
		fi.run(t, ho, 4*second)
		fi.fail = nil
		fi.run(t, ho, 4*second)
		assert.Assert(t, len(fi.calls) > 1)
		for _, ca := range fi.calls {
			assert.Equal(t, ca.order, fi.calls[0].order)
		}
		count := len(fi.calls)
		fi.run(t, ho, 4*second)
		assert.Equal(t, len(fi.calls), count, "taken")
	})
}

func TestSlowPlatform(t *testing.T) {
	// Symptom: an order arrives after that of the next holder.
	// Sequence: the platform takes ten seconds for a call; the lease is lost meanwhile.
	// Cause: the call was not bounded, and went on after its holder was replaced.
	synctest.Test(t, func(t *testing.T) {
		fi := newField()
		ho := fi.process("a")
		fi.run(t, ho, 6*second)
		fi.work, fi.lag = 144*second, 10*second
		fi.run(t, ho, 4*second)
		assert.Equal(t, len(fi.calls), 0)
		fi.epoch, fi.holder, fi.lag = 2, "b", 0
		next := fi.process("b")
		fi.run(t, next, 8*second)
		fi.run(t, ho, 8*second)
		for _, ca := range fi.calls {
			assert.Equal(t, ca.holder, "b")
		}
		assert.Assert(t, len(fi.calls) > 0)
	})
}

func TestOrderThatDoesNotLastIsNotSent(t *testing.T) {
	// Symptom: a successor orders another number than the one that was sent.
	// Sequence: the key-value service is away when a holder decides.
	// Cause: the order was sent though no one else could know of it.
	synctest.Test(t, func(t *testing.T) {
		fi := newField()
		ho := fi.process("a")
		fi.run(t, ho, 6*second)
		fence := fi.fence()
		ho.Tenure.FenceFunc = func(uint64) (keyvalue.Expectation, bool) { return fence, true }
		fi.memory.SetFaults(keyvalue.Faults{Outage: true})
		fi.work = 144 * second
		fi.run(t, ho, 8*second)
		assert.Equal(t, len(fi.calls), 0)
		fi.memory.SetFaults(keyvalue.Faults{})
		fi.run(t, ho, 3*second)
		assert.Equal(t, len(fi.calls), 1)
	})
}

// An operator holds the orders of a service: nothing is sent, and what would be is shown.
func TestHeldOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fi := newField()
		ho := fi.process("a")
		held := true
		ho.HeldFunc = func(string) bool { return held }
		fi.work = 144 * second
		fi.run(t, ho, 15*second)
		assert.Equal(t, len(fi.calls), 0)
		ov, err := ho.Overview()
		assert.NilError(t, err)
		assert.Assert(t, ov.Lines[0].Held)
		assert.Equal(t, ov.Lines[0].Ordered, -1)
		assert.Equal(t, ov.Lines[0].Wanted, 3)
		held = false
		fi.run(t, ho, 4*second)
		assert.Equal(t, len(fi.calls), 1)
	})
}

// refuse lets the platform refuse the orders of a failure domain, after a time.
func refuse(ho *Scaler, domain string, after time.Duration) {
	send := ho.SendFunc
	ho.SendFunc = func(ctx context.Context, epoch uint64, or LastOrder) error {
		if or.Domain != domain {
			return send(ctx, epoch, or)
		}
		time.Sleep(after)
		return errTest
	}
}

// spread returns the services of a field with other failure domains.
func (fi *field) spread(name string, domains ...string) []Service {
	se := Service{
		Bounds: Bounds{Startup: 3 * second, Max: 4, Min: 1}, Domains: map[string]int{}, Name: name, Places: 10,
		Work: Work{{Due: 8 * second, Work: fi.work}},
	}
	for _, domain := range domains {
		se.Domains[domain] = 1
	}
	return []Service{se}
}

func TestRefusedOrderBlocksNoOther(t *testing.T) {
	// Symptom: no endpoints are ordered any more, of any service.
	// Sequence: the platform refuses the order of one failure domain each time, at once
	// or late.
	// Cause: the first order that was not taken was sent again and again, before all
	// others.
	for name, after := range map[string]time.Duration{"at once": 0, "late": second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fi := newField()
				ho := fi.process("a")
				ho.ServicesFunc = func(time.Time) []Service { return fi.spread("llm", "w", "x", "y") }
				refuse(ho, "w", after)
				fi.run(t, ho, 6*second)
				fi.work = 999 * second
				fi.run(t, ho, 8*second)
				assert.Equal(t, len(fi.calls), 2, "%v", fi.calls)
				assert.Equal(t, fi.calls[0].order.Domain, "x")
				assert.Equal(t, fi.calls[1].order.Domain, "y")
			})
		})
	}
}

func TestOrdersOfWhatIsGone(t *testing.T) {
	// Symptom: orders that the platform refuses are sent for ever.
	// Sequence: an order is refused; its failure domain, or its service, is gone.
	// Cause: nothing dropped an order once it was in the record.
	for name, tc := range map[string]struct {
		after   func(fi *field) []Service
		back    int // orders once all is back
		dropped time.Duration
	}{
		"failure domain": {func(fi *field) []Service { return fi.spread("llm", "x") }, 1, 14 * second},
		"service":        {func(fi *field) []Service { return fi.spread("other", "x") }, 2, second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fi := newField()
				ho := fi.process("a")
				now := func(fi *field) []Service { return fi.spread("llm", "w", "x") }
				ho.ServicesFunc = func(time.Time) []Service { return now(fi) }
				tries, send := 0, ho.SendFunc
				ho.SendFunc = func(ctx context.Context, epoch uint64, or LastOrder) error {
					if or.Domain == "w" {
						tries++
						return errTest
					}
					return send(ctx, epoch, or)
				}
				fi.run(t, ho, 6*second)
				fi.work = 999 * second
				fi.run(t, ho, 15*second)
				assert.Assert(t, tries > 0)
				before := now
				now = tc.after
				fi.run(t, ho, tc.dropped)
				tried := tries
				fi.run(t, ho, 5*second)
				assert.Equal(t, tries, tried, "dropped")
				ho.SendFunc, now, fi.calls = send, before, nil
				fi.run(t, ho, 5*second)
				assert.Equal(t, len(fi.calls), tc.back, "ordered anew: %v", fi.calls)
			})
		})
	}
}

func TestReleaseRemembersWhatWasOrdered(t *testing.T) {
	// Symptom: the platform goes on starting endpoints that are not wanted any more.
	// Sequence: four endpoints are ordered, and one serves so far; an operator holds the
	// service; the load ends; the service is released.
	// Cause: the hold made the table forget the order. What served was taken for what was
	// ordered, and as it was all that is wanted, nothing was ordered.
	for name, span := range map[string]time.Duration{"a short hold": second, "a long hold": time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fi := newField()
				ho := fi.process("a")
				held := false
				ho.HeldFunc = func(string) bool { return held }
				fi.run(t, ho, 6*second)
				fi.work = 999 * second
				fi.run(t, ho, 4*second)
				assert.Equal(t, len(fi.calls), 1)
				assert.Equal(t, fi.calls[0].order.Target, 4)
				held = true
				fi.work = 0
				fi.run(t, ho, span)
				assert.Equal(t, len(fi.calls), 1, "held")
				held = false
				fi.run(t, ho, 15*second)
				assert.Equal(t, len(fi.calls), 2, "%v", fi.calls)
				assert.Equal(t, fi.calls[1].order.Target, 1)
			})
		})
	}
}

// The load goes on while a service is held: on its release nothing is given away.
func TestReleaseUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fi := newField()
		ho := fi.process("a")
		held := false
		ho.HeldFunc = func(string) bool { return held }
		fi.run(t, ho, 6*second)
		fi.work = 999 * second
		fi.run(t, ho, 4*second)
		held = true
		fi.run(t, ho, time.Minute)
		held = false
		fi.run(t, ho, 20*second)
		assert.Equal(t, len(fi.calls), 1, "%v", fi.calls)
	})
}
