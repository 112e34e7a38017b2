// Package lease provides exclusive ownership of a name by leases of the key-value service. Each
// acquisition gets a higher epoch.
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

// renewals is the number of renewals within a lease's time to live, so that a lost one does not
// expire it.
const renewals = 3

// marginDivisor sets the safety margin for clock drift: a holder stops using a lease when
// 1/marginDivisor of its time to live is left.
const marginDivisor = 6

// A State is the state of a lease at a point in time.
type State int

// The states.
const (
	// NotHeld means that another process may hold the name.
	NotHeld State = iota
	// Unconfirmed means that the lease was held and may have expired, and that the service has
	// not reported another holder since. Only actions that are safe under an old epoch are
	// allowed.
	Unconfirmed
	// Held means that no other process holds the name.
	Held
)

var stateNames = [...]string{NotHeld: "none", Unconfirmed: "unconfirmed", Held: "held"}

// String returns the state's name.
func (st State) String() string { return stateNames[st] }

// A Holder acquires and renews the lease of one name. Set the exported fields, then call Run, or
// Step at least every third of TTL. It is safe for concurrent use.
type Holder struct {
	// HeldFunc is called by Run or Step when the lease was acquired, or the service responds
	// again after an unanswered renewal. It is optional.
	HeldFunc func()
	Client   *keyvalue.Client
	// Follow makes Run watch the record while another process holds the name, instead of
	// polling it every third of TTL. The client must have FollowFunc and ScanFunc.
	Follow bool
	Log    *logrus.Entry // optional
	Name   string
	Owner  string // address of this process
	// ProbeEvery is the interval at which an unanswered renewal is sent again concurrently; see
	// renew. Zero disables it.
	ProbeEvery time.Duration
	// SuspectFunc reports whether the process at an owner's address is dead, so that its lease
	// can be taken over before it expires. A false positive only causes a change of holder, as
	// the former one is fenced. It is optional.
	SuspectFunc func(owner string) bool
	TTL         time.Duration

	mu          sync.Mutex // guards the fields up to stepping, and the creation of channels
	lostHolder  Record     // of the holder when the service became unavailable
	abstains    bool
	grant       grant
	wakes       chan struct{} // makes Run step at once
	otherRecord Record        // of another holder, as last read
	suspectedID string        // ID of the record whose holder is suspected to be dead
	stepping    chan struct{} // semaphore of Step and Release; guards the following fields
	highest     uint64        // highest epoch held so far, in case the service loses its counter
	unanswered  bool          // a renewal was not answered
	// counterID is the ID in the epoch counter as long as no other process has raised it since
	// this one held the name.
	counterID string
}

// A grant is one acquisition of the lease. The zero value means none.
type grant struct {
	previousEpoch uint64 // epoch of this process's previous grant if no other process held the name since
	epoch         uint64
	fence         int64  // version of the key of the lease
	id            string // unique, to check by a read whether a write took effect
	lease         keyvalue.LeaseID
	expired       bool      // the service reported that the lease, or its key, is gone
	until         time.Time // when the lease may have expired
}

// Held returns the epoch of the lease and whether it is held at the given time.
func (ho *Holder) Held(now time.Time) (uint64, bool) {
	epoch, st := ho.State(now)
	return epoch, st == Held
}

// State returns the epoch and the state of the lease at the given time; the epoch is 0 for
// NotHeld.
//
// The expiry is compared with now so that a process that resumes after a pause does not act
// alongside the next holder; it counts from before a renewal was sent. Both clocks are compared,
// since the monotonic one stops while a machine is suspended and the wall clock can be set back.
func (ho *Holder) State(now time.Time) (uint64, State) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	gr := ho.grant
	switch {
	case gr.epoch == 0:
		return 0, NotHeld
	case !gr.expired && now.Before(gr.until) && now.Round(0).Before(gr.until.Round(0)):
		return gr.epoch, Held
	default:
		return gr.epoch, Unconfirmed
	}
}

// Fence returns the expectation for transactions under an epoch, so that they are applied only
// while the key of this acquisition exists. It returns false if the epoch is not the current one.
//
// Without it a delayed write could be applied after the lease was lost, and overwrite data of the
// next holder. The epoch counter cannot serve as the fence, as failed attempts to acquire the
// lease raise it too.
func (ho *Holder) Fence(epoch uint64) (keyvalue.Expectation, bool) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	gr := ho.grant
	return keyvalue.Expectation{Key: leaseKey(ho.Name), Version: gr.fence}, epoch != 0 && gr.epoch == epoch
}

// Continues reports whether the current grant directly follows the one of an epoch, without
// another holder in between, so that the state in memory is still valid.
func (ho *Holder) Continues(epoch uint64) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return epoch != 0 && ho.grant.previousEpoch == epoch
}

// FenceFailed reports that a fenced write under an epoch failed, so that the lease's key must be
// gone, such as after an outage in which leases expired. Run tries to acquire it again at once.
func (ho *Holder) FenceFailed(epoch uint64) {
	ho.mu.Lock()
	if epoch != 0 && ho.grant.epoch == epoch {
		ho.grant.expired = true
	}
	ho.mu.Unlock()
	ho.wake()
}

// Abandon drops the grant of an epoch whose key is known to be gone. The service may still renew
// such a lease, so that the name would stay without a holder.
func (ho *Holder) Abandon(epoch uint64) {
	ho.mu.Lock()
	current := epoch != 0 && ho.grant.epoch == epoch
	if current {
		ho.grant = grant{}
	}
	ho.mu.Unlock()
	if current {
		ho.log("abandoned the lease", epoch, nil)
	}
}

// Run acquires and renews the lease until ctx ends. It does not release it.
//
// Each holder steps at a phase of its own, to prevent all of them from trying to acquire a free
// lease at the same time, such as at the end of an outage.
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
		case <-ho.wakeChannel():
		case <-ho.retryTimer():
		case <-ti.C:
		}
	}
}

// retryTimer returns a timer channel for retrying an unconfirmed lease, sooner than a regular
// renewal, to detect the end of an outage early. It is nil in other states.
func (ho *Holder) retryTimer() <-chan time.Time {
	if _, st := ho.State(time.Now()); st != Unconfirmed || ho.ProbeEvery <= 0 {
		return nil
	}
	return time.After(ho.ProbeEvery)
}

// wake makes Run step at once.
func (ho *Holder) wake() {
	select {
	case ho.wakeChannel() <- struct{}{}:
	default:
	}
}

func (ho *Holder) wakeChannel() chan struct{} {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.wakes == nil {
		ho.wakes = make(chan struct{}, 1)
	}
	return ho.wakes
}

// phase returns the offset of this holder's steps, below the interval of renewals.
func (ho *Holder) phase() time.Duration {
	hash := xxhash.Sum64String(ho.Owner + " " + ho.Name)
	return time.Duration(hash % uint64(max(ho.TTL/renewals, 1)))
}

// Step renews the lease if it is held, and otherwise tries to acquire it.
func (ho *Holder) Step(ctx context.Context) {
	if ho.lock(ctx) != nil {
		return
	}
	defer ho.unlock()
	former := ho.current().epoch
	if gr := ho.current(); gr.epoch != 0 && !gr.expired {
		ho.renew(ctx)
	}
	if gr := ho.current(); gr.epoch == 0 || gr.expired {
		ho.acquire(ctx)
	}
	if epoch, st := ho.State(time.Now()); st == Held && (ho.unanswered || epoch != former) {
		ho.unanswered = false
		if ho.HeldFunc != nil {
			ho.HeldFunc()
		}
	}
}

// Release releases the lease, so that another process can acquire it at once. Call Abstain first, or Run
// acquires the lease again.
func (ho *Holder) Release(ctx context.Context) error {
	if err := ho.lock(ctx); err != nil {
		return errors.Wrapf(err, "release %s", ho.Name)
	}
	defer ho.unlock()
	gr := ho.current()
	if gr.epoch == 0 {
		return nil
	}
	ho.setGrant(grant{}) // first, as another process may hold it once it is revoked
	err := ho.Client.Revoke(ctx, gr.lease)
	if errors.Is(err, keyvalue.ErrLeaseExpired) || errors.Is(err, keyvalue.ErrOutcomeUnknown) {
		return nil // expired, or will expire
	}
	return errors.Wrapf(err, "release %s", ho.Name)
}

// lock acquires the semaphore of Step and Release. It is not a mutex so that ctx can end the wait:
// another step may be waiting for an unavailable service.
func (ho *Holder) lock(ctx context.Context) error {
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

// unlock releases the semaphore.
func (ho *Holder) unlock() { <-ho.stepping }

func (ho *Holder) current() grant {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.grant
}

func (ho *Holder) setGrant(gr grant) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.grant = gr
}

// expiry returns until when a lease that was requested at sent may be used.
func (ho *Holder) expiry(sent time.Time) time.Time {
	return sent.Add(ho.TTL - ho.TTL/marginDivisor)
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
