// Package leader keeps the order of calls that one process at a time may make to the users'
// platform, whatever they say: the reports of use, and the orders for endpoints.
//
// The holder of a lease makes them. What they are made of lasts in the key-value service
// before they are made, so that a successor makes the very same; each call follows a
// write that only the holder can make, and carries the lease's epoch.
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"wisteriacroft/keyvalue"
)

const (
	// storeTimeout bounds a call of the key-value service; a slow one still answers
	// within it.
	storeTimeout = 800 * time.Millisecond
	// retryPause is the pause after a call that failed.
	retryPause = 300 * time.Millisecond
)

// ErrSuperseded means that another process has written.
var ErrSuperseded = errors.New("another process has written")

// An Author says which holder wrote a record.
type Author struct {
	Epoch  uint64
	Sender string // address of the process
}

// A Term is what a process knows of holding a duty, whose record is a Rec. Fill the
// exported fields, then call Begin. One goroutine writes and calls; others may ask.
type Term[Rec any] struct {
	Client *keyvalue.Client
	// FenceFunc returns what a write expects that only the holder may make.
	FenceFunc func(epoch uint64) (keyvalue.Expectation, bool)
	Key       string // of the record in the key-value service
	// MarkFunc returns who wrote a record.
	MarkFunc func(rec Rec) Author
	// Overlap is within what time holders must not take turns.
	Overlap time.Duration
	// Owner is the address of the process, which no other machine has.
	Owner string
	// StandingFunc returns the epoch under which the lease is held, if it is.
	StandingFunc func(now time.Time) (epoch uint64, held bool)
	// SteadyFunc is the process's steady clock; nil stands for MonotonicClock.
	SteadyFunc func() time.Duration

	epoch   uint64        // of the record that was taken; 0 while none is
	mu      sync.Mutex    // guards all of these
	pauseAt time.Duration // no call is made before
	turn    CallWindow
	version int64 // of the record in the key-value service
}

// A State is what a process is to do.
type State int

// The standings of a process.
const (
	Idle      State = iota // it doesn't hold the lease, or pauses
	MustAdopt              // it is to read the record and take it
	Ready                  // it is to do its duty
)

// Begin notes the process's start, which may have called before.
func (te *Term[Rec]) Begin() {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.turn = NewCallWindow(te.Overlap, te.Now())
}

// Now returns the time of the process's steady clock.
func (te *Term[Rec]) Now() time.Duration {
	if te.SteadyFunc == nil {
		return MonotonicClock()
	}
	return te.SteadyFunc()
}

// Epoch returns the epoch under which the process does its duty, 0 if it doesn't.
func (te *Term[Rec]) Epoch() uint64 {
	te.mu.Lock()
	defer te.mu.Unlock()
	return te.epoch
}

// State returns what is to be done now, and under which epoch.
func (te *Term[Rec]) State() (State, uint64) {
	epoch, held := te.StandingFunc(time.Now())
	te.mu.Lock()
	defer te.mu.Unlock()
	switch {
	case !held:
		te.epoch = 0
		return Idle, 0
	case te.Now() < te.pauseAt:
		return Idle, epoch
	case te.epoch != epoch:
		return MustAdopt, epoch
	default:
		return Ready, epoch
	}
}

// Read returns the record, and its version. One that was never written is zero.
func (te *Term[Rec]) Read(ctx context.Context) (Rec, int64, error) {
	var rec Rec
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	it, err := te.Client.Get(ctx, te.Key)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return rec, 0, nil
	}
	if err != nil {
		return rec, 0, err
	}
	return rec, it.Version, errors.Wrapf(cbor.Unmarshal(it.Value, &rec), "decode %s", te.Key)
}

// Adopt begins a turn with a record that was read, and returns how long it is until calls
// are allowed.
func (te *Term[Rec]) Adopt(epoch uint64, rec Rec, version int64) time.Duration {
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Now()
	te.epoch, te.version = epoch, version
	te.turn.Begin(now, te.MarkFunc(rec).Sender == te.Owner)
	return te.turn.AllowedIn(now)
}

// Pause lets some time pass before the next call.
func (te *Term[Rec]) Pause() {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.pauseAt = te.Now() + retryPause
}

// Write writes a record, which the service refuses to anyone but the holder. After
// ErrSuperseded the record has to be read and taken again.
func (te *Term[Rec]) Write(ctx context.Context, rec Rec) error {
	te.mu.Lock()
	epoch, version, sent := te.epoch, te.version, te.Now()
	te.mu.Unlock()
	version, err := te.put(ctx, epoch, version, rec)
	if err != nil {
		te.Pause()
	}
	te.mu.Lock()
	defer te.mu.Unlock()
	switch {
	case te.epoch != epoch:
		return ErrSuperseded
	case errors.Is(err, ErrSuperseded):
		te.epoch = 0 // what lasts is another's: it is read again, if the lease is still held
	case err == nil:
		te.version = version
		te.turn.Confirm(sent)
	}
	return err
}

// put writes a record under the fence.
//
// An answer may be lost after the write took effect, and the next one then finds a
// version that it did not expect. The record's mark tells that it is this holder's own.
// A decision is never changed once it is in a record, so that whichever of a holder's
// writes came last holds the same decisions as this one, or fewer.
func (te *Term[Rec]) put(ctx context.Context, epoch uint64, version int64, rec Rec) (int64, error) {
	fence, ok := te.FenceFunc(epoch)
	if !ok {
		return 0, errors.Wrap(ErrSuperseded, "the lease is gone")
	}
	value, err := cbor.Marshal(rec)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next, err := te.Client.Transact(limited, keyvalue.Transaction{
		Expects: []keyvalue.Expectation{fence, {Key: te.Key, Version: version}},
		Writes:  []keyvalue.Write{{Key: te.Key, Value: value}},
	})
	if err == nil || !errors.Is(err, keyvalue.ErrConflict) {
		return next, err
	}
	now, found, errRead := te.Read(ctx)
	switch mark := te.MarkFunc(now); {
	case errRead != nil:
		return 0, errRead
	case mark.Epoch == epoch && mark.Sender == te.Owner && found != version:
		te.adopt(found)
		return 0, errors.Wrap(err, "an earlier write came after all")
	default:
		return 0, errors.Wrapf(ErrSuperseded, "%s of epoch %d", mark.Sender, mark.Epoch)
	}
}

// adopt notes the version that an earlier write of this holder made.
func (te *Term[Rec]) adopt(version int64) {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.version = version
}

// MayCall reports whether calls are allowed, and whether the last write is fresh enough
// for one to follow.
func (te *Term[Rec]) MayCall() (allowed, confirmed bool) {
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Now()
	return te.epoch != 0 && te.turn.Allowed(now), te.turn.Confirmed(now)
}

// Call makes a call under an epoch, and returns how long it took. After the context that
// send gets ends, no byte may be sent any more.
func (te *Term[Rec]) Call(ctx context.Context, epoch uint64, send func(ctx context.Context, epoch uint64) error) (time.Duration, error) {
	te.mu.Lock()
	begun := te.Now()
	left := te.turn.Call(begun)
	te.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := send(ctx, epoch)
	if err != nil {
		te.Pause()
	}
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Now()
	te.turn.Called(now)
	return now - begun, err
}
