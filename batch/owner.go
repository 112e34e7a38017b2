// Package batch creates the batches of trainers. The first valid and fresh sample fills a slot of a
// step, complete batches are sealed in the ledger, and the trainer's cursor tells which ones it has
// taken.
package batch

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/ledger"
	"wisteriacroft/message"
	"wisteriacroft/tick"
)

// An Owner creates the batches of the trainers that one entry may own. Set the exported fields, Add
// the trainers, then run Systems on a tick.Loop.
//
// The entry must
//   - run a lease.Holder for each trainer and implement LeaseFunc with it;
//   - implement StartFunc without blocking: pick an endpoint, send the sample request from another
//     goroutine and report Started when it is sent, Progress repeatedly, and finally Finished or
//     Failed, each with the attempt's id; reports may be late, repeated or out of order;
//   - cancel the request on CancelFunc; later reports are ignored;
//   - route Submit, Pull and Payload of a trainer to the entry that lease.Current names, and return
//     their *outcome.Refusal; code outcome.NotHome means that the owner has changed;
//   - abort the connection when Payload fails after it has written, so that the trainer can detect
//     the truncation.
type Owner struct {
	// CancelFunc cancels an attempt whose result is no longer needed.
	CancelFunc func(id string)
	Client     *keyvalue.Client
	// DropFunc deletes a payload that no batch refers to. Optional.
	DropFunc func(ctx context.Context, places []message.BlobLocation, digest string)
	// FetchFunc returns a payload, or blob.ErrMissing if no copy is left.
	FetchFunc func(ctx context.Context, places []message.BlobLocation, digest string) ([]byte, error)
	// GoFunc runs a function that does I/O; in a new goroutine if nil.
	GoFunc func(run func(ctx context.Context))
	// LeaseFunc returns the state of the trainer's lease without blocking.
	LeaseFunc  func(trainer string, now time.Time) (epoch uint64, state lease.State)
	Log        *logrus.Entry // optional
	MaxRunning int           // attempts of all trainers; 0 means no bound
	// ReplicateFunc stores a step's request in the data folders.
	ReplicateFunc func(ctx context.Context, data []byte) ([]message.BlobLocation, error)
	// StartFunc starts an attempt, or returns false if no endpoint is available.
	StartFunc func(at Attempt) bool

	mu       sync.Mutex // guards the fields below
	attempts map[string]*attempt
	lastID   uint64 // attempts so far
	lengths  lengths
	outbox   []func()                 // calls to make after mu is released
	places   [][]message.BlobLocation // shared by samples
	trainers []*trainer               // sorted by name
}

// Add adds a trainer, or changes its policy.
func (ow *Owner) Add(name string, po Policy) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if tr := ow.trainer(name); tr != nil {
		tr.policy = po
		return
	}
	tr := &trainer{
		ledgerWriter: &ledger.Writer{Client: ow.Client, Trainer: name},
		changed:      make(chan struct{}),
		name:         name,
		policy:       po,
	}
	ow.trainers = append(ow.trainers, tr)
	sort.Slice(ow.trainers, func(i, j int) bool { return ow.trainers[i].name < ow.trainers[j].name })
}

// Remove removes a trainer. Its ledger is unchanged.
func (ow *Owner) Remove(name string) {
	ow.locked(func() {
		for i, tr := range ow.trainers {
			if tr.name == name {
				ow.dropState(tr)
				ow.trainers = append(ow.trainers[:i:i], ow.trainers[i+1:]...)
				return
			}
		}
	})
}

// Systems returns the systems to run on each tick, in order.
func (ow *Owner) Systems() []tick.System {
	return []tick.System{
		ow.system("own", ow.followLeases),
		ow.system("load", ow.load),
		ow.system("freshen", ow.dropStale),
		ow.system("straggle", ow.replaceStragglers),
		ow.system("start", ow.start),
		ow.system("seal", ow.seal),
		ow.system("publish", ow.publish),
		ow.system("clean", ow.clean),
	}
}

// system returns a tick.System that runs a function with locked.
func (ow *Owner) system(name string, run func(now time.Time)) tick.System {
	return tick.System{
		Name: "batch-" + name,
		Run:  func(now time.Time) { ow.locked(func() { run(now) }) },
	}
}

// locked runs change under mu and then makes the calls in the outbox, without mu since they may
// report events synchronously.
func (ow *Owner) locked(change func()) {
	ow.mu.Lock()
	change()
	out := ow.outbox
	ow.outbox = nil
	ow.mu.Unlock()
	for _, act := range out {
		act()
	}
}

// enqueue adds a call to the outbox.
func (ow *Owner) enqueue(act func()) { ow.outbox = append(ow.outbox, act) }

// spawn adds a function that does I/O to the outbox.
func (ow *Owner) spawn(run func(ctx context.Context)) {
	ow.enqueue(func() {
		if ow.GoFunc != nil {
			ow.GoFunc(run)
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), ioTimeout)
			defer cancel()
			run(ctx)
		}()
	})
}

// ioTimeout is the timeout of one access to the key-value service or a data folder.
const ioTimeout = 30 * time.Second

// trainer returns the state of a trainer, or nil.
func (ow *Owner) trainer(name string) *trainer {
	i := sort.Search(len(ow.trainers), func(i int) bool { return ow.trainers[i].name >= name })
	if i < len(ow.trainers) && ow.trainers[i].name == name {
		return ow.trainers[i]
	}
	return nil
}

func (ow *Owner) log(tr *trainer) *logrus.Entry {
	en := ow.Log
	if en == nil {
		lo := logrus.New()
		lo.SetLevel(logrus.PanicLevel)
		en = logrus.NewEntry(lo)
	}
	return en.WithFields(logrus.Fields{"epoch": tr.epoch, "trainer": tr.name})
}
