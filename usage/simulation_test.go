package usage

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
)

const (
	testWindow  = 5 * time.Second
	testOverlap = 3 * time.Second
	testLease   = 2 * time.Second
	testDue     = 10 * time.Second // after a window's end
)

var errTest = errors.New("injected fault")

// A reportServer accepts usage reports, and records violations of the rules.
type reportServer struct {
	violations []string
	delay      time.Duration // of responses
	calls      []testCall
	lose       bool // drop responses, after the report was accepted
	mu         sync.Mutex
	refuse     bool // reject reports
	taken      map[Window]Report
	takenAt    map[Window]time.Time
}

type testCall struct {
	at    time.Time
	epoch uint64
	owner string
}

func (rs *reportServer) take(ctx context.Context, owner string, epoch uint64, re Report) error {
	rs.mu.Lock()
	refuse, lose, delay := rs.refuse, rs.lose, rs.delay
	if !refuse {
		rs.check(owner, epoch, re)
	}
	rs.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
	}
	if refuse || lose {
		return errTest
	}
	return nil
}

func (rs *reportServer) violate(format string, args ...any) {
	rs.violations = append(rs.violations, fmt.Sprintf(format, args...))
}

func (rs *reportServer) check(owner string, epoch uint64, re Report) {
	if rs.taken == nil {
		rs.taken, rs.takenAt = map[Window]Report{}, map[Window]time.Time{}
	}
	if old, ok := rs.taken[re.Window]; !ok {
		rs.taken[re.Window], rs.takenAt[re.Window] = Report{Counts: maps.Clone(re.Counts), Window: re.Window}, time.Now()
	} else if !maps.Equal(old.Counts, re.Counts) {
		rs.violate("window %d was reported as %v and %v", re.Window, old.Counts, re.Counts)
	}
	now := testCall{at: time.Now(), epoch: epoch, owner: owner}
	between := false
	for i := len(rs.calls) - 1; i >= 0; i-- {
		ca := rs.calls[i]
		if ca.epoch > epoch {
			rs.violate("epoch %d after %d", epoch, ca.epoch)
		}
		if ca.epoch == epoch && ca.owner != owner {
			rs.violate("epoch %d of %s and %s", epoch, ca.owner, owner)
		}
		between = between || ca.owner != owner
		if between && ca.owner == owner && now.at.Sub(ca.at) < testOverlap {
			rs.violate("calls of %s alternated within %s", owner, now.at.Sub(ca.at))
			break
		}
	}
	rs.calls = append(rs.calls, now)
}

// A process is a potential holder of the lease.
type process struct {
	cancel     context.CancelFunc
	cutOff     bool // from the key-value service
	frozen     bool
	collector  *Collector
	lease      *lease.Holder
	mu         sync.Mutex
	name       string
	skew       time.Duration   // of its wall clock
	suspected  map[string]bool // processes that it suspects to be dead
	simulation *simulation
}

// A simulation consists of processes, entries and the servers that they call.
type simulation struct {
	server    reportServer
	started   time.Time
	entries   []*entry
	memory    keyvalue.Memory
	mu        sync.Mutex
	processes []*process
	t         *testing.T
	expected  map[Window]map[string]uint64
}

// An entry records the requests that it starts.
type entry struct {
	boot         string
	dead         bool
	holderTime   time.Time
	holderTimeAt time.Duration
	name         string
	recorder     *Recorder
	skew         time.Duration
}

func (si *simulation) monotonicNow() time.Duration { return time.Since(si.started) }

func newSimulation(ctx context.Context, t *testing.T, processes, entries int) *simulation {
	t.Helper()
	si := &simulation{started: time.Now(), t: t, expected: map[Window]map[string]uint64{}}
	for i := range processes {
		si.startProcess(ctx, fmt.Sprintf("holder-%d", i))
	}
	for i := range entries {
		si.startEntry(ctx, fmt.Sprintf("entry-%d", i))
	}
	return si
}

func silentLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(logger)
}

// clientFor returns a client that fails while the process is cut off, and blocks while it is
// frozen.
func (pr *process) clientFor(cl *keyvalue.Client) *keyvalue.Client {
	out := cl.Clone()
	check := func() error {
		pr.waitFrozen()
		pr.mu.Lock()
		defer pr.mu.Unlock()
		if pr.cutOff {
			return errors.Wrap(keyvalue.ErrUnavailable, "cut off")
		}
		return nil
	}
	out.GetFunc = func(ctx context.Context, key string) (keyvalue.Item, error) {
		if err := check(); err != nil {
			return keyvalue.Item{}, err
		}
		return cl.GetFunc(ctx, key)
	}
	out.TransactFunc = func(ctx context.Context, tx keyvalue.Transaction) (int64, error) {
		if err := check(); err != nil {
			return 0, err
		}
		return cl.TransactFunc(ctx, tx)
	}
	out.KeepAliveFunc = func(ctx context.Context, id keyvalue.LeaseID) error {
		if err := check(); err != nil {
			return err
		}
		return cl.KeepAliveFunc(ctx, id)
	}
	return out
}

func (pr *process) isSuspected(name string) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.suspected[name]
}

func (pr *process) setSuspected(name string, yes bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.suspected == nil {
		pr.suspected = map[string]bool{}
	}
	pr.suspected[name] = yes
}

// waitFrozen blocks while the process is frozen.
func (pr *process) waitFrozen() {
	for {
		pr.mu.Lock()
		frozen := pr.frozen
		pr.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (pr *process) set(frozen, cutOff bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.frozen, pr.cutOff = frozen, cutOff
}

func (si *simulation) startProcess(ctx context.Context, name string) *process {
	ctx, cancel := context.WithCancel(ctx)
	pr := &process{cancel: cancel, name: name, simulation: si}
	cl := pr.clientFor(si.memory.Client())
	pr.lease = &lease.Holder{Client: cl, Name: "scheduler", Owner: name, SuspectFunc: pr.isSuspected, TTL: testLease}
	pr.collector = &Collector{
		Client: cl, FenceFunc: pr.lease.Fence, Log: silentLog(), Metrics: metrics.NewSet(), Overlap: testOverlap, Owner: name,
		SendFunc: func(ctx context.Context, epoch uint64, re Report) error {
			return si.server.take(ctx, name, epoch, re)
		},
		StandingFunc: pr.lease.Held, SteadyFunc: si.monotonicNow, Window: testWindow,
	}
	si.mu.Lock()
	si.processes = append(si.processes, pr)
	si.mu.Unlock()
	go pr.lease.Run(ctx)
	go pr.run(ctx)
	return pr
}

func (pr *process) run(ctx context.Context) {
	pr.collector.start()
	for ctx.Err() == nil {
		pr.waitFrozen()
		for i := range 5 { // attendants
			pr.collector.AddClockSample(fmt.Sprint("attendant-", i), time.Now().Add(time.Duration(i-2)*time.Millisecond).UnixMicro())
		}
		pr.collector.AddClockSample(pr.name, time.Now().Add(pr.skew).UnixMicro())
		pr.collector.Step(ctx)
		time.Sleep(stepInterval)
	}
}

// kill ends a process.
func (pr *process) kill() {
	pr.cancel()
	pr.simulation.mu.Lock()
	defer pr.simulation.mu.Unlock()
	for i, other := range pr.simulation.processes {
		if other == pr {
			pr.simulation.processes = append(pr.simulation.processes[:i], pr.simulation.processes[i+1:]...)
			return
		}
	}
}

// current returns the process that holds the lease, or nil.
func (si *simulation) current() *process {
	si.mu.Lock()
	defer si.mu.Unlock()
	var best *process
	highest := uint64(0)
	for _, pr := range si.processes {
		if epoch, held := pr.lease.Held(time.Now()); held && epoch > highest && !pr.isFrozen() {
			best, highest = pr, epoch
		}
	}
	return best
}

func (pr *process) isFrozen() bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.frozen
}

func (si *simulation) startEntry(ctx context.Context, name string) *entry {
	en := &entry{boot: fmt.Sprintf("%s@%d", name, si.monotonicNow()), name: name, recorder: &Recorder{SteadyFunc: si.monotonicNow}}
	si.mu.Lock()
	si.entries = append(si.entries, en)
	si.mu.Unlock()
	go func() {
		wake := time.Duration(0)
		for ctx.Err() == nil && !si.isDead(en) {
			select {
			case <-ctx.Done():
			case <-en.recorder.changes():
				time.Sleep(batchDelay)
			case <-time.After(wake):
			}
			if si.isDead(en) {
				return
			}
			wake = si.push(en)
		}
	}()
	return en
}

func (si *simulation) isDead(en *entry) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	return en.dead
}

// push makes an entry push to the current holder, and returns the delay of the next push.
func (si *simulation) push(en *entry) time.Duration {
	pr := si.current()
	if pr == nil {
		return retryPause
	}
	rq := en.recorder.pushRequest()
	rq.Boot, rq.Instance, rq.Wall = en.boot, en.name, time.Now().Add(en.skew).UnixMicro()
	if !en.holderTime.IsZero() {
		rq.Believed = en.holderTime.Add(rq.Now - en.holderTimeAt).UnixMicro()
	}
	re, err := pr.collector.push(rq)
	if err != nil {
		return retryPause
	}
	en.recorder.acknowledge(re.Lasting)
	en.holderTime, en.holderTimeAt = time.UnixMicro(re.Now), rq.Now
	return re.Wake
}

// serve makes each entry start a request for each of two customers every 100 ms.
func (si *simulation) serve(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		si.mu.Lock()
		entries := append([]*entry(nil), si.entries...)
		si.mu.Unlock()
		for _, en := range entries {
			if si.isDead(en) {
				continue
			}
			for _, customer := range []string{"ada", "bob"} {
				si.begin(en, customer)
			}
		}
	}
}

func (si *simulation) begin(en *entry, customer string) {
	wi := WindowOf(time.Now(), testWindow)
	if si.expected[wi] == nil {
		si.expected[wi] = map[string]uint64{}
	}
	si.expected[wi][customer]++
	run := en.recorder.Begin(customer)
	go func() {
		time.Sleep(20 * time.Millisecond)
		if !si.isDead(en) {
			run.End(true)
		}
	}()
}

func (si *simulation) killEntry(en *entry) {
	si.mu.Lock()
	defer si.mu.Unlock()
	en.dead = true
}

// correct returns how many windows were reported in time and within 5% of each customer's count,
// and how many there were.
func (si *simulation) correct() (correct, total int) {
	si.server.mu.Lock()
	defer si.server.mu.Unlock()
	for wi, expected := range si.expected {
		if time.Since(wi.End(testWindow)) < testDue {
			continue
		}
		total++
		re, ok := si.server.taken[wi]
		good := ok && si.server.takenAt[wi].Sub(wi.End(testWindow)) <= testDue
		for customer, count := range expected {
			off := float64(re.Counts[customer]) - float64(count)
			good = good && off <= 0.05*float64(count) && -off <= 0.05*float64(count)
		}
		if good {
			correct++
		} else {
			si.t.Logf("window %d: %v reported after %s, expected %v", wi, re.Counts, si.server.takenAt[wi].Sub(wi.End(testWindow)), expected)
		}
	}
	return correct, total
}
