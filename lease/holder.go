// Package lease lets one process at a time hold a name, by a lease of the
// key-value service, with an epoch that only grows from holder to holder.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

// renewals is how many times a lease is renewed in its time to live, so that
// one lost renewal does not cost it.
const renewals = 3

// marginShare is the part of the time to live that a holder does not use, for
// clocks that run at slightly different rates.
const marginShare = 6

// A State is what a Holder may say of its lease at a moment.
type State int

// The standings.
const (
	// NotHeld means that another may hold the name: act on nothing.
	NotHeld State = iota
	// Unconfirmed means that the lease was held, that its time has passed by
	// this process's clock, and that the service has not been reached since.
	// Another may hold it: only what is safe under an old epoch may go on.
	Unconfirmed
	// Held means that no one else holds the name.
	Held
)

var standings = [...]string{NotHeld: "none", Unconfirmed: "unconfirmed", Held: "held"}

// String returns the standing's name.
func (st State) String() string { return standings[st] }

// A Holder acquires and renews the lease of one name. Fill the exported
// fields, then call Run, or Step at least each third of TTL.
type Holder struct {
	// HeldFunc is told, by Run or Step, that the name is newly held, or that the service
	// answers again after a renewal went unanswered. Nil is told nothing.
	HeldFunc func()
	Client   *keyvalue.Client
	// Follow makes Run follow the name's record while another holds it, instead of
	// asking for it each third of TTL. The client must have FollowFunc and ScanFunc.
	Follow bool
	Log    *logrus.Entry // optional
	Name   string
	Owner  string // address that others reach the holder by
	// ProbeEvery is how long a renewal waits for its answer before it is sent once
	// more beside the first; see renew. Zero never does.
	ProbeEvery time.Duration
	// SuspectFunc reports whether the process at an owner's address is surely
	// dead, so that the name need not stay free until its lease ends. A mistake
	// costs a change of holder and no more: the fence of the one before fails.
	// Nil never does.
	SuspectFunc func(owner string) bool
	TTL         time.Duration

	mu        sync.Mutex // guards what follows, and channels until they are made
	away      Record     // of the holder when the service stopped answering
	grant     grant
	kicks     chan struct{} // Run is to step at once
	seen      Record        // of another holder, as last read
	suspected string        // id of the record whose holder is gone
	stepping  chan struct{} // one Step or Release at a time; guards the rest
	highest   uint64        // highest epoch held so far, in case the service loses its counter
	silent    bool          // a renewal went unanswered
	// unbroken is what the counter of epochs names as long as no one else has raised
	// it since this process held the name.
	unbroken string
}

// A grant is one acquisition of the lease. The zero grant is none.
type grant struct {
	after uint64 // epoch under which this process held the name before, if no one did between
	epoch uint64
	fence int64  // version of the key of the lease
	id    string // unique, so that a lost answer can be settled by reading
	lease keyvalue.LeaseID
	over  bool      // the service said that the lease, or its key, is gone
	until time.Time // when the lease may be over
}

// Held returns the epoch under which the name is held at now, if it is.
func (ho *Holder) Held(now time.Time) (uint64, bool) {
	epoch, st := ho.State(now)
	return epoch, st == Held
}

// State returns what the holder may say of its lease at now, and the epoch
// that this concerns (0 for NotHeld).
//
// A process that was paused resumes with what it last knew, and would act
// beside the next holder. The comparison with now prevents this: a renewal
// extends until only from the moment before it was sent. Both clocks are
// compared, since the monotonic one stands still while a machine is suspended and
// the wall clock can be set back.
func (ho *Holder) State(now time.Time) (uint64, State) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	gr := ho.grant
	switch {
	case gr.epoch == 0:
		return 0, NotHeld
	case !gr.over && now.Before(gr.until) && now.Round(0).Before(gr.until.Round(0)):
		return gr.epoch, Held
	default:
		return gr.epoch, Unconfirmed
	}
}

// Fence returns what a transaction of the holder under an epoch expects, so
// that it is applied only while this acquisition's key is there.
//
// A write that the service delays may be applied after its sender has lost the
// lease, and would overwrite what the next holder wrote. The expectation makes
// the service itself refuse it. The counter of epochs would not do: whoever
// tries for the name and finds it taken has raised it too.
func (ho *Holder) Fence(epoch uint64) (keyvalue.Expectation, bool) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	gr := ho.grant
	return keyvalue.Expectation{Key: leaseKey(ho.Name), Version: gr.fence}, epoch != 0 && gr.epoch == epoch
}

// Continues reports whether the name is held by this process after it was held
// under an epoch, and by no one between: what it decided then still stands, and what
// it knew is all that there is to know.
func (ho *Holder) Continues(epoch uint64) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return epoch != 0 && ho.grant.after == epoch
}

// FenceFailed takes in that a write under an epoch failed its fence, so that the lease's
// key must be gone: at the end of an outage in which leases ran out. Run finds out at
// once whether the name is still free.
func (ho *Holder) FenceFailed(epoch uint64) {
	ho.mu.Lock()
	if epoch != 0 && ho.grant.epoch == epoch {
		ho.grant.over = true
	}
	ho.mu.Unlock()
	ho.kick()
}

// Abandon gives up a lease under an epoch that the holder has learned to be
// gone. The service may take the key away and go on renewing the lease, which
// then no one could hold.
func (ho *Holder) Abandon(epoch uint64) {
	ho.mu.Lock()
	gone := epoch != 0 && ho.grant.epoch == epoch
	if gone {
		ho.grant = grant{}
	}
	ho.mu.Unlock()
	if gone {
		ho.log("forfeited the lease", epoch, nil)
	}
}

// Run steps until ctx ends. It does not release the lease.
//
// Holders that started together would find a name free in the same moment, at
// the end of an outage above all: each would get a lease, and all but one for
// nothing, in one burst of writes. So each has a phase of its own, in which the
// first to step takes the name and the others find it taken.
func (ho *Holder) Run(ctx context.Context) {
	ho.Step(ctx)
	select {
	case <-ctx.Done():
		return
	case <-time.After(ho.phase()):
	}
	ti := time.NewTicker(ho.TTL / renewals)
	defer ti.Stop()
	for {
		ho.Step(ctx)
		if rec := ho.other(); ho.Follow && rec.ID != "" {
			ho.standBy(ctx, rec)
			if ctx.Err() != nil {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-ho.kicked():
		case <-ho.retry():
		case <-ti.C:
		}
	}
}

// retry returns what fires when a lease that may be over is to be asked for again:
// sooner than a lease that is held, so that the service's return shows at once.
func (ho *Holder) retry() <-chan time.Time {
	if _, st := ho.State(time.Now()); st != Unconfirmed || ho.ProbeEvery <= 0 {
		return nil
	}
	return time.After(ho.ProbeEvery)
}

// kick makes Run step at once.
func (ho *Holder) kick() {
	select {
	case ho.kicked() <- struct{}{}:
	default:
	}
}

func (ho *Holder) kicked() chan struct{} {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.kicks == nil {
		ho.kicks = make(chan struct{}, 1)
	}
	return ho.kicks
}

// phase returns when in the time between two steps this holder steps.
func (ho *Holder) phase() time.Duration {
	hash := xxhash.Sum64String(ho.Owner + " " + ho.Name)
	return time.Duration(hash % uint64(max(ho.TTL/renewals, 1)))
}

// Step renews the lease if it is held, or else tries to acquire it.
func (ho *Holder) Step(ctx context.Context) {
	if ho.enter(ctx) != nil {
		return
	}
	defer ho.exit()
	former := ho.current().epoch
	if gr := ho.current(); gr.epoch != 0 && !gr.over {
		ho.renew(ctx)
	}
	if gr := ho.current(); gr.epoch == 0 || gr.over {
		ho.acquire(ctx)
	}
	if epoch, st := ho.State(time.Now()); st == Held && (ho.silent || epoch != former) {
		ho.silent = false
		if ho.HeldFunc != nil {
			ho.HeldFunc()
		}
	}
}

// Release gives the lease up, so that another can take it at once. End Run
// first, or it will acquire the lease again.
func (ho *Holder) Release(ctx context.Context) error {
	if err := ho.enter(ctx); err != nil {
		return errors.Wrapf(err, "release %s", ho.Name)
	}
	defer ho.exit()
	gr := ho.current()
	if gr.epoch == 0 {
		return nil
	}
	ho.set(grant{}) // before the revocation: from here on another may hold it
	err := ho.Client.Revoke(ctx, gr.lease)
	if errors.Is(err, keyvalue.ErrLeaseExpired) || errors.Is(err, keyvalue.ErrOutcomeUnknown) {
		return nil // gone, or gone when its time is over
	}
	return errors.Wrapf(err, "release %s", ho.Name)
}

// enter waits for its turn to step.
//
// Another step may wait for a service that is away. A request that asks for
// the holder would wait with it, past its own deadline, and one would notice
// it by answers that come when nobody wants them. So its context ends the wait.
func (ho *Holder) enter(ctx context.Context) error {
	ho.mu.Lock()
	if ho.stepping == nil {
		ho.stepping = make(chan struct{}, 1)
	}
	ho.mu.Unlock()
	select {
	case ho.stepping <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// exit lets the next step in.
func (ho *Holder) exit() { <-ho.stepping }

func (ho *Holder) current() grant {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.grant
}

func (ho *Holder) set(gr grant) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.grant = gr
}

// expiry returns until when a lease that was asked for at sent may be used.
func (ho *Holder) expiry(sent time.Time) time.Time {
	return sent.Add(ho.TTL - ho.TTL/marginShare)
}

func (ho *Holder) log(message string, epoch uint64, err error) {
	if ho.Log == nil {
		return
	}
	en := ho.Log.WithFields(logrus.Fields{"epoch": epoch, "lease": ho.Name})
	if err != nil {
		en.WithError(err).Warn(message)
		return
	}
	en.Info(message)
}
