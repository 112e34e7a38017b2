package runner

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// A fakeEngine generates an event every 40 ms and executes orders as engines do.
type fakeEngine struct {
	cut           int        // events after which a stream breaks; 0 never
	length        int        // events of an item
	lostResponses int        // orders that are executed but not answered
	mu            sync.Mutex // guards report, lostResponses and versions, which a timer changes
	report        Report
	skip          int64 // ID of the event that is left out
	starts        []RunRequest
	state         State
	versions      []uint64 // ordered
}

func (fe *fakeEngine) engine() Engine {
	return Engine{
		OrderFunc: func(_ context.Context, or Order, sequence uint64) (OrderState, error) {
			fe.mu.Lock()
			defer fe.mu.Unlock()
			if sequence != fe.report.Sequence || fe.report.Busy {
				return OrderBusy, nil
			}
			fe.report.Sequence++
			fe.report.Busy = true
			fe.versions = append(fe.versions, or.Version)
			time.AfterFunc(900*time.Millisecond, func() {
				fe.mu.Lock()
				defer fe.mu.Unlock()
				fe.report.Busy = false
				fe.report.Versions = map[string]uint64{or.Model: or.Version}
			})
			if fe.lostResponses > 0 {
				fe.lostResponses--
				return OrderBusy, errors.New("no answer")
			}
			return OrderTaken, nil
		},
		ReportFunc: func(context.Context) (Report, error) {
			fe.mu.Lock()
			defer fe.mu.Unlock()
			return fe.report, nil
		},
		StartFunc: fe.start,
	}
}

// ordered returns the versions that were ordered.
func (fe *fakeEngine) ordered() []uint64 {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return fe.versions
}

func (fe *fakeEngine) start(ctx context.Context, rr RunRequest) Start {
	fe.starts = append(fe.starts, rr)
	if fe.state != Running {
		return Start{Detail: "configured", State: fe.state}
	}
	id := int64(len(rr.Prior))
	return Start{Stream: Stream{
		CloseFunc: func() {},
		NextFunc: func() (Event, error) {
			select {
			case <-ctx.Done():
				return Event{}, ctx.Err()
			case <-time.After(40 * time.Millisecond):
			}
			id++
			if id == fe.skip {
				id++
			}
			if id > int64(fe.length) {
				return Event{}, io.EOF
			}
			if fe.cut > 0 && id > int64(fe.cut) {
				return Event{}, errors.New("cut")
			}
			return Event{Data: []byte("x"), ID: id, Version: 3}, nil
		},
	}}
}

func newRunner(fe *fakeEngine) *Runner {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return &Runner{Engine: fe.engine(), Log: logrus.NewEntry(logger), Metrics: metrics.NewSet()}
}

// exchange sends the next request of an epoch.
func exchange(t *testing.T, rn *Runner, rq ExchangeRequest) ExchangeResponse {
	t.Helper()
	rq.Number = rn.numbers[rq.Endpoint] + 1
	re, err := rn.Exchange(t.Context(), rq)
	assert.NilError(t, err)
	return re
}

func TestRuns(t *testing.T) {
	prior := []Event{{ID: 1}, {ID: 2}}
	for _, tc := range []struct {
		name   string
		engine *fakeEngine
		prior  []Event
		state  State
		events int
	}{
		{"complete", &fakeEngine{length: 5}, nil, Complete, 5},
		{"continues after prior events", &fakeEngine{length: 5}, prior, Complete, 5},
		{"stream breaks off", &fakeEngine{length: 5, cut: 3}, nil, Broken, 3},
		{"an event is missing", &fakeEngine{length: 5, skip: 3}, nil, Broken, 2},
		{"not run", &fakeEngine{state: NotRun}, nil, NotRun, 0},
		{"failed", &fakeEngine{state: Failed}, prior, Failed, 2},
		{"impossible", &fakeEngine{state: Impossible}, nil, Impossible, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rn := newRunner(tc.engine)
				key := Key{Attempt: 1, Item: "i", Step: "s"}
				exchange(t, rn, ExchangeRequest{Epoch: 1, Launches: []RunRequest{{Endpoint: "e", Key: key, Prior: tc.prior}}})
				time.Sleep(time.Second)
				re := exchange(t, rn, ExchangeRequest{Epoch: 1})
				assert.Equal(t, len(re.Runs), 1)
				assert.Equal(t, re.Runs[0].State, tc.state)
				assert.Equal(t, re.Runs[0].First+len(re.Runs[0].Events), tc.events)
			})
		})
	}
}

func TestRepeatedRequestLaunchesOnce(t *testing.T) {
	// Guards against running an item twice after the response to a launch is lost and
	// the scheduler retries.
	synctest.Test(t, func(t *testing.T) {
		fe := &fakeEngine{length: 5}
		rn := newRunner(fe)
		rq := ExchangeRequest{Epoch: 1, Launches: []RunRequest{{Key: Key{Attempt: 1, Item: "i"}}}}
		exchange(t, rn, rq)
		exchange(t, rn, rq)
		time.Sleep(time.Second)
		exchange(t, rn, rq)
		synctest.Wait()
		assert.Equal(t, len(fe.starts), 1)
	})
}

func TestNewSchedulerReceivesAllEvents(t *testing.T) {
	// Guards against sending a new scheduler only the events that its predecessor had
	// not acknowledged, which makes it generate whole texts again.
	synctest.Test(t, func(t *testing.T) {
		rn := newRunner(&fakeEngine{length: 5})
		key := Key{Attempt: 1, Item: "i", Step: "s"}
		exchange(t, rn, ExchangeRequest{Epoch: 1, Launches: []RunRequest{{Key: key}}})
		time.Sleep(time.Second)
		re := exchange(t, rn, ExchangeRequest{Epoch: 1, Seen: []Ack{{Events: 5, Key: key}}})
		assert.Equal(t, len(re.Runs[0].Events), 0)
		re = exchange(t, rn, ExchangeRequest{Epoch: 2})
		assert.Equal(t, len(re.Runs[0].Events), 5)
		_, err := rn.Exchange(t.Context(), ExchangeRequest{Epoch: 1, Stops: []Key{key}})
		assert.Assert(t, errors.Is(err, ErrOldEpoch))
		re = exchange(t, rn, ExchangeRequest{Epoch: 2, Forget: []Key{key}})
		assert.Equal(t, len(re.Runs), 0)
	})
}

func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rn := newRunner(&fakeEngine{length: 50})
		key := Key{Attempt: 1, Item: "i", Step: "s"}
		exchange(t, rn, ExchangeRequest{Epoch: 1, Launches: []RunRequest{{Key: key}}})
		time.Sleep(410 * time.Millisecond)
		exchange(t, rn, ExchangeRequest{Epoch: 1, Stops: []Key{key}})
		synctest.Wait()
		re := exchange(t, rn, ExchangeRequest{Epoch: 1})
		assert.Equal(t, re.Runs[0].State, Stopped)
		assert.Equal(t, len(re.Runs[0].Events), 10)
	})
}

func TestOrders(t *testing.T) {
	// Guards against an engine that loads the same weights twice, or never, after an
	// order whose response is lost.
	for _, tc := range []struct {
		name          string
		lostResponses int
	}{
		{"answered", 0},
		{"executed, response lost", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fe := &fakeEngine{lostResponses: tc.lostResponses, report: Report{Versions: map[string]uint64{"m": 1}}}
				rn := newRunner(fe)
				go rn.Run(ctx)
				synctest.Wait()
				or := &Order{Endpoint: "e", Fence: 1, Model: "m", Version: 2}
				assert.Equal(t, exchange(t, rn, ExchangeRequest{Epoch: 1, Order: or}).Ordered, uint64(2))
				for range 20 {
					time.Sleep(100 * time.Millisecond)
					exchange(t, rn, ExchangeRequest{Epoch: 1, Order: or})
				}
				re := exchange(t, rn, ExchangeRequest{Epoch: 1, Order: or})
				assert.DeepEqual(t, fe.ordered(), []uint64{2})
				assert.Equal(t, re.Ordered, uint64(0), "the order has ended, though the scheduler still sends it")
				assert.Equal(t, re.Report.Versions["m"], uint64(2))
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pa pacer
		for i := range 2 * paceGaps {
			duration := 40 * time.Millisecond
			if i%5 == 0 {
				duration = time.Second // a load of weights
			}
			pa.observe(duration, time.Now())
		}
		duration, count := pa.median(time.Now())
		assert.Equal(t, duration, 40*time.Millisecond)
		assert.Equal(t, count, paceGaps)
		time.Sleep(paceWindow)
		_, count = pa.median(time.Now())
		assert.Equal(t, count, 0)
	})
}

func TestLastContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		rn := newRunner(&fakeEngine{})
		go rn.Run(ctx)
		synctest.Wait()
		time.Sleep(time.Second)
		assert.Equal(t, rn.LastContact().Since, time.Second)
		exchange(t, rn, ExchangeRequest{Epoch: 4})
		time.Sleep(time.Millisecond)
		assert.DeepEqual(t, rn.LastContact(), LastContactResponse{Epoch: 4, Since: time.Millisecond})
		cancel()
		synctest.Wait()
	})
}

func TestOutOfOrderRequest(t *testing.T) {
	// Guards against a request that is delivered after later ones when a network
	// partition ends: it would start an item after its step's end and order old weights.
	synctest.Test(t, func(t *testing.T) {
		fe := &fakeEngine{length: 5}
		rn := newRunner(fe)
		late := ExchangeRequest{
			Endpoint: "engine", Epoch: 1, Launches: []RunRequest{{Endpoint: "engine", Key: Key{Item: "i", Step: "s"}}}, Number: 7,
			Order: &Order{Endpoint: "engine", Model: "m", Version: 2},
		}
		_, err := rn.Exchange(t.Context(), ExchangeRequest{Endpoint: "engine", Epoch: 1, Number: 8})
		assert.NilError(t, err)
		_, err = rn.Exchange(t.Context(), late)
		assert.Assert(t, errors.Is(err, errOutOfOrder))
		late.Epoch = 2 // a new scheduler starts its own numbering
		late.Endpoint = "other"
		synctest.Wait()
		assert.Equal(t, len(fe.starts), 0)
		assert.Equal(t, len(fe.ordered()), 0)
		_, err = rn.Exchange(t.Context(), late)
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(fe.starts), 1)
		time.Sleep(time.Second)
	})
}

func TestResponseOmitsAcknowledgedRuns(t *testing.T) {
	// Guards against repeating acknowledged runs in every response. A new scheduler
	// receives them all.
	synctest.Test(t, func(t *testing.T) {
		rn := newRunner(&fakeEngine{length: 5})
		key := Key{Item: "i", Step: "s"}
		rq := ExchangeRequest{Epoch: 1, Launches: []RunRequest{{Key: key}}}
		re := exchange(t, rn, rq)
		assert.Equal(t, len(re.Runs), 1, "a new run")
		re = exchange(t, rn, ExchangeRequest{Epoch: 1, Seen: []Ack{{Key: key}}})
		assert.Equal(t, len(re.Runs), 0)
		assert.Equal(t, re.Running, 1)
		time.Sleep(90 * time.Millisecond)
		re = exchange(t, rn, ExchangeRequest{Epoch: 1})
		assert.Equal(t, len(re.Runs[0].Events), 2)
		re = exchange(t, rn, ExchangeRequest{Epoch: 1})
		assert.Equal(t, len(re.Runs[0].Events), 2, "the response may have been lost")
		time.Sleep(time.Second)
		re = exchange(t, rn, ExchangeRequest{Epoch: 1, Seen: []Ack{{Events: 5, Key: key}}})
		assert.Equal(t, re.Runs[0].State, Complete, "the end is not acknowledged yet")
		re = exchange(t, rn, ExchangeRequest{Epoch: 1, Seen: []Ack{{Ended: true, Events: 5, Key: key}}})
		assert.Equal(t, len(re.Runs), 0)
		exchange(t, rn, ExchangeRequest{Epoch: 1, Seen: []Ack{{Ended: true, Events: 5, Key: key, Score: "mark"}}})
		re = exchange(t, rn, ExchangeRequest{Epoch: 2})
		assert.Equal(t, len(re.Runs[0].Events), 5, "a new scheduler receives all events")
		assert.Equal(t, re.Runs[0].Score, "mark")
	})
}

func TestBrokenRunReportsEngineEnded(t *testing.T) {
	// Guards against a scheduler that can't distinguish a crashed engine from a broken
	// connection and places an item that crashes its engines again at once.
	for _, tc := range []struct {
		name   string
		engine *fakeEngine
		stop   bool
		ended  bool
	}{
		{"broken", &fakeEngine{length: 5, cut: 3}, false, true},
		{"complete", &fakeEngine{length: 5}, false, false},
		{"failed", &fakeEngine{state: Failed}, false, false},
		{"stopped", &fakeEngine{length: 500}, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rn := newRunner(tc.engine)
				rn.Engine.EndedFunc = func(context.Context) bool { return true }
				key := Key{Attempt: 1, Item: "i", Step: "s"}
				exchange(t, rn, ExchangeRequest{Epoch: 1, Launches: []RunRequest{{Endpoint: "e", Key: key}}})
				if tc.stop {
					time.Sleep(100 * time.Millisecond)
					exchange(t, rn, ExchangeRequest{Epoch: 1, Stops: []Key{key}})
				}
				time.Sleep(time.Second)
				re := exchange(t, rn, ExchangeRequest{Epoch: 1})
				assert.Equal(t, len(re.Runs), 1)
				assert.Equal(t, re.Runs[0].EngineEnded, tc.ended)
			})
		})
	}
}
