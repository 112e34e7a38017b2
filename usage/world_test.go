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

var errTest = errors.New("trouble of the test")

// An authority takes reports of use, and notes what breaks a rule.
type authority struct {
	broken []string
	delay  time.Duration // of answers
	calls  []testCall
	lose   bool // answers, after the report was taken
	mu     sync.Mutex
	refuse bool // reports
	taken  map[Window]Report
	takenA map[Window]time.Time
}

type testCall struct {
	at    time.Time
	epoch uint64
	owner string
}

func (au *authority) take(ctx context.Context, owner string, epoch uint64, re Report) error {
	au.mu.Lock()
	refuse, lose, delay := au.refuse, au.lose, au.delay
	if !refuse {
		au.note(owner, epoch, re)
	}
	au.mu.Unlock()
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

func (au *authority) breaks(format string, args ...any) {
	au.broken = append(au.broken, fmt.Sprintf(format, args...))
}

func (au *authority) note(owner string, epoch uint64, re Report) {
	if au.taken == nil {
		au.taken, au.takenA = map[Window]Report{}, map[Window]time.Time{}
	}
	if old, ok := au.taken[re.Window]; !ok {
		au.taken[re.Window], au.takenA[re.Window] = Report{Counts: maps.Clone(re.Counts), Window: re.Window}, time.Now()
	} else if !maps.Equal(old.Counts, re.Counts) {
		au.breaks("window %d was reported as %v and %v", re.Window, old.Counts, re.Counts)
	}
	now := testCall{at: time.Now(), epoch: epoch, owner: owner}
	between := false
	for i := len(au.calls) - 1; i >= 0; i-- {
		ca := au.calls[i]
		if ca.epoch > epoch {
			au.breaks("epoch %d after %d", epoch, ca.epoch)
		}
		if ca.epoch == epoch && ca.owner != owner {
			au.breaks("epoch %d of %s and %s", epoch, ca.owner, owner)
		}
		between = between || ca.owner != owner
		if between && ca.owner == owner && now.at.Sub(ca.at) < testOverlap {
			au.breaks("%s took turns within %s", owner, now.at.Sub(ca.at))
			break
		}
	}
	au.calls = append(au.calls, now)
}

// A process is one that may hold the lease.
type process struct {
	cancel context.CancelFunc
	cut    bool // from the key-value service
	frozen bool
	holder *Collector
	lease  *lease.Holder
	mu     sync.Mutex
	name   string
	skew   time.Duration   // of its time of day
	dead   map[string]bool // processes that it believes dead
	wo     *world
}

// A world is some processes, some entries and what they talk to.
type world struct {
	authority authority
	begun     time.Time
	entries   []*entry
	memory    keyvalue.Memory
	mu        sync.Mutex
	processes []*process
	t         *testing.T
	truth     map[Window]map[string]uint64
}

// An entry records what it begins.
type entry struct {
	boot       string
	dead       bool
	believed   time.Time
	believedAt time.Duration
	name       string
	recorder   *Recorder
	skew       time.Duration
}

func (wo *world) steady() time.Duration { return time.Since(wo.begun) }

func newWorld(ctx context.Context, t *testing.T, processes, entries int) *world {
	t.Helper()
	wo := &world{begun: time.Now(), t: t, truth: map[Window]map[string]uint64{}}
	for i := range processes {
		wo.startProcess(ctx, fmt.Sprintf("holder-%d", i))
	}
	for i := range entries {
		wo.startEntry(ctx, fmt.Sprintf("entry-%d", i))
	}
	return wo
}

func silentLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(logger)
}

// reaches returns a client that fails while the process is cut off or frozen.
func (pr *process) reaches(cl *keyvalue.Client) *keyvalue.Client {
	out := *cl
	check := func() error {
		pr.await()
		pr.mu.Lock()
		defer pr.mu.Unlock()
		if pr.cut {
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
	return &out
}

func (pr *process) believesDead(name string) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.dead[name]
}

func (pr *process) suspects(name string, yes bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.dead == nil {
		pr.dead = map[string]bool{}
	}
	pr.dead[name] = yes
}

// await waits while the process is frozen.
func (pr *process) await() {
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

func (pr *process) set(frozen, cut bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.frozen, pr.cut = frozen, cut
}

func (wo *world) startProcess(ctx context.Context, name string) *process {
	ctx, cancel := context.WithCancel(ctx)
	pr := &process{cancel: cancel, name: name, wo: wo}
	cl := pr.reaches(wo.memory.Client())
	pr.lease = &lease.Holder{Client: cl, Name: "scheduler", Owner: name, SuspectFunc: pr.believesDead, TTL: testLease}
	pr.holder = &Collector{
		Client: cl, FenceFunc: pr.lease.Fence, Log: silentLog(), Metrics: metrics.NewSet(), Overlap: testOverlap, Owner: name,
		SendFunc: func(ctx context.Context, epoch uint64, re Report) error {
			return wo.authority.take(ctx, name, epoch, re)
		},
		StandingFunc: pr.lease.Held, SteadyFunc: wo.steady, Window: testWindow,
	}
	wo.mu.Lock()
	wo.processes = append(wo.processes, pr)
	wo.mu.Unlock()
	go pr.lease.Run(ctx)
	go pr.run(ctx)
	return pr
}

func (pr *process) run(ctx context.Context) {
	pr.holder.begin()
	for ctx.Err() == nil {
		pr.await()
		for i := range 5 { // attendants
			pr.holder.AddClockSample(fmt.Sprint("attendant-", i), time.Now().Add(time.Duration(i-2)*time.Millisecond).UnixMicro())
		}
		pr.holder.AddClockSample(pr.name, time.Now().Add(pr.skew).UnixMicro())
		pr.holder.Step(ctx)
		time.Sleep(stepEvery)
	}
}

// kill ends a process.
func (pr *process) kill() {
	pr.cancel()
	pr.wo.mu.Lock()
	defer pr.wo.mu.Unlock()
	for i, other := range pr.wo.processes {
		if other == pr {
			pr.wo.processes = append(pr.wo.processes[:i], pr.wo.processes[i+1:]...)
			return
		}
	}
}

// current returns the process that holds the lease, or nil.
func (wo *world) current() *process {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	var best *process
	highest := uint64(0)
	for _, pr := range wo.processes {
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

func (wo *world) startEntry(ctx context.Context, name string) *entry {
	en := &entry{boot: fmt.Sprintf("%s@%d", name, wo.steady()), name: name, recorder: &Recorder{SteadyFunc: wo.steady}}
	wo.mu.Lock()
	wo.entries = append(wo.entries, en)
	wo.mu.Unlock()
	go func() {
		wake := time.Duration(0)
		for ctx.Err() == nil && !wo.isDead(en) {
			select {
			case <-ctx.Done():
			case <-en.recorder.changes():
				time.Sleep(gatherPause)
			case <-time.After(wake):
			}
			if wo.isDead(en) {
				return
			}
			wake = wo.push(en)
		}
	}()
	return en
}

func (wo *world) isDead(en *entry) bool {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return en.dead
}

// push pushes what an entry has to the current holder.
func (wo *world) push(en *entry) time.Duration {
	pr := wo.current()
	if pr == nil {
		return retryPause
	}
	rq := en.recorder.push()
	rq.Boot, rq.Instance, rq.Wall = en.boot, en.name, time.Now().Add(en.skew).UnixMicro()
	if !en.believed.IsZero() {
		rq.Believed = en.believed.Add(rq.Now - en.believedAt).UnixMicro()
	}
	re, err := pr.holder.push(rq)
	if err != nil {
		return retryPause
	}
	en.recorder.lasting(re.Lasting)
	en.believed, en.believedAt = time.UnixMicro(re.Now), rq.Now
	return re.Wake
}

// serve makes each entry begin a request for each of two customers every 100 ms.
func (wo *world) serve(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		wo.mu.Lock()
		entries := append([]*entry(nil), wo.entries...)
		wo.mu.Unlock()
		for _, en := range entries {
			if wo.isDead(en) {
				continue
			}
			for _, customer := range []string{"ada", "bob"} {
				wo.begin(en, customer)
			}
		}
	}
}

func (wo *world) begin(en *entry, customer string) {
	wi := WindowOf(time.Now(), testWindow)
	if wo.truth[wi] == nil {
		wo.truth[wi] = map[string]uint64{}
	}
	wo.truth[wi][customer]++
	run := en.recorder.Begin(customer)
	go func() {
		time.Sleep(20 * time.Millisecond)
		if !wo.isDead(en) {
			run.End(true)
		}
	}()
}

func (wo *world) killEntry(en *entry) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	en.dead = true
}

// right returns how many windows were reported in time and as they were, within 5% of
// each customer's count.
func (wo *world) right() (right, of int) {
	wo.authority.mu.Lock()
	defer wo.authority.mu.Unlock()
	for wi, truth := range wo.truth {
		if time.Since(wi.End(testWindow)) < testDue {
			continue
		}
		of++
		re, ok := wo.authority.taken[wi]
		good := ok && wo.authority.takenA[wi].Sub(wi.End(testWindow)) <= testDue
		for customer, count := range truth {
			off := float64(re.Counts[customer]) - float64(count)
			good = good && off <= 0.05*float64(count) && -off <= 0.05*float64(count)
		}
		if good {
			right++
		} else {
			wo.t.Logf("window %d: %v reported after %s, %v true", wi, re.Counts, wo.authority.takenA[wi].Sub(wi.End(testWindow)), truth)
		}
	}
	return right, of
}
