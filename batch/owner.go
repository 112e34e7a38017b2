// Package batch makes the batches of trainers: each slot of a step is filled by
// the first whole, valid and fresh sample, a complete batch is sealed in the
// ledger, and the trainer's own cursor says what it has taken.
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

// An Owner makes the batches of the trainers that one entry may own. Fill the
// exported fields, Add the trainers, then run Systems on a tick.Loop.
//
// What the entry must do:
//   - run a lease.Holder for each trainer and answer LeaseFunc from it;
//   - on StartFunc, return at once: pick an endpoint, send the sample request
//     from another goroutine and report Started when it is sent, Progress as
//     tokens are made (and now and then without any), and in the end Finished
//     or Failed, each with the attempt's id; reports may come late, twice or in
//     any order;
//   - on CancelFunc, end that request; its later reports are dropped here;
//   - route Submit, Pull and Payload of a trainer to the entry that
//     lease.Current names, and answer with the *outcome.Refusal that they return;
//     a refusal with the code outcome.NotHome means that the owner has changed;
//   - when Payload fails after it has written, break the connection, so that
//     the trainer does not take a part for the whole.
type Owner struct {
	// CancelFunc ends an attempt whose answer is no longer wanted.
	CancelFunc func(id string)
	Client     *keyvalue.Client
	// DropFunc deletes a payload that no batch needs any more. Optional.
	DropFunc func(ctx context.Context, places []message.BlobLocation, digest string)
	// FetchFunc returns a payload, or blob.ErrMissing if no copy is left.
	FetchFunc func(ctx context.Context, places []message.BlobLocation, digest string) ([]byte, error)
	// GoFunc runs a function that does I/O; nil means in a new goroutine.
	GoFunc func(run func(ctx context.Context))
	// LeaseFunc returns how the trainer's lease stands, without waiting.
	LeaseFunc  func(trainer string, now time.Time) (epoch uint64, standing lease.State)
	Log        *logrus.Entry // optional
	MaxRunning int           // attempts of all trainers; 0 means no bound
	// ReplicateFunc puts a step's request into the data folders.
	ReplicateFunc func(ctx context.Context, data []byte) ([]message.BlobLocation, error)
	// StartFunc starts an attempt, or returns false if no endpoint can take it
	// now.
	StartFunc func(at Attempt) bool

	mu       sync.Mutex // guards all below
	attempts map[string]*attempt
	lastID   uint64 // counts attempts
	lengths  lengths
	outbox   []func()                 // decisions to act on once mu is free
	places   [][]message.BlobLocation // shared by samples
	trainers []*trainer               // by name
}

// Add makes the owner ready to own a trainer, or changes its policy.
func (ow *Owner) Add(name string, po Policy) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if tr := ow.trainer(name); tr != nil {
		tr.policy = po
		return
	}
	tr := &trainer{
		book:    &ledger.Writer{Client: ow.Client, Trainer: name},
		changed: make(chan struct{}),
		name:    name,
		policy:  po,
	}
	ow.trainers = append(ow.trainers, tr)
	sort.Slice(ow.trainers, func(i, j int) bool { return ow.trainers[i].name < ow.trainers[j].name })
}

// Remove ends the work for a trainer. What is in the ledger stays there.
func (ow *Owner) Remove(name string) {
	ow.locked(func() {
		for i, tr := range ow.trainers {
			if tr.name == name {
				ow.drop(tr)
				ow.trainers = append(ow.trainers[:i:i], ow.trainers[i+1:]...)
				return
			}
		}
	})
}

// Systems returns the systems to run on each tick, in order.
func (ow *Owner) Systems() []tick.System {
	return []tick.System{
		ow.system("own", ow.own),
		ow.system("load", ow.load),
		ow.system("freshen", ow.freshen),
		ow.system("straggle", ow.straggle),
		ow.system("start", ow.start),
		ow.system("seal", ow.seal),
		ow.system("publish", ow.publish),
		ow.system("clean", ow.clean),
	}
}

// system makes a tick.System of run, which holds mu and leaves its decisions in
// the outbox.
func (ow *Owner) system(name string, run func(now time.Time)) tick.System {
	return tick.System{
		Name: "batch-" + name,
		Run:  func(now time.Time) { ow.locked(func() { run(now) }) },
	}
}

// locked runs a change under mu and then acts on what it decided. Decisions go
// out without mu, since they may come back as events at once.
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

// later puts a decision into the outbox.
func (ow *Owner) later(act func()) { ow.outbox = append(ow.outbox, act) }

// spawn puts a function that does I/O into the outbox.
func (ow *Owner) spawn(run func(ctx context.Context)) {
	ow.later(func() {
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

// ioTimeout bounds one exchange with the key-value service or a data folder.
const ioTimeout = 30 * time.Second

// trainer returns the row of a trainer, or nil.
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
