// Package leader orders the calls to the users' platform that only one process at a time may make,
// such as usage reports and scaling orders.
//
// The holder of a lease makes the calls. Their content is saved in the key-value service first, so
// that a successor makes the same calls. Each call follows a fenced write and carries the lease's
// epoch.
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
	// storeTimeout bounds a call to the key-value service.
	storeTimeout = 800 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 300 * time.Millisecond
)

// ErrSuperseded means that another process has written the record.
var ErrSuperseded = errors.New("record written by another process")

// An Author identifies the holder that wrote a record.
type Author struct {
	Epoch  uint64
	Sender string // address of the process
}

// A Term is a process's state of leadership, with records of type Rec. Set the exported fields,
// then call Begin. Only one goroutine may write and call; other methods are safe for concurrent
// use.
type Term[Rec any] struct {
	Client *keyvalue.Client
	// FenceFunc returns the expectation that fences writes of the holder.
	FenceFunc func(epoch uint64) (keyvalue.Expectation, bool)
	Key       string // of the record in the key-value service
	// MarkFunc returns the author of a record.
	MarkFunc func(rec Rec) Author
	// Overlap is the time within which calls of two holders must not alternate.
	Overlap time.Duration
	// Owner is the address of the process.
	Owner string
	// StandingFunc returns the epoch of the lease and whether it is held.
	StandingFunc func(now time.Time) (epoch uint64, held bool)
	// SteadyFunc is the monotonic clock; nil means MonotonicClock.
	SteadyFunc func() time.Duration

	epoch   uint64        // of the adopted record; 0 if there is none
	mu      sync.Mutex    // guards the unexported fields
	pauseAt time.Duration // end of the current pause
	window  CallWindow
	version int64 // of the record in the key-value service
}

// A State is the state of leadership.
type State int

// The states.
const (
	Idle      State = iota // the lease is not held, or there is a pause
	MustAdopt              // the record must be read and adopted
	Ready                  // records may be written and calls made
)

// Begin starts the term. A previous run of the process may have just made a call.
func (te *Term[Rec]) Begin() {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.window = NewCallWindow(te.Overlap, te.Now())
}

// Now returns the time of the monotonic clock.
func (te *Term[Rec]) Now() time.Duration {
	if te.SteadyFunc == nil {
		return MonotonicClock()
	}
	return te.SteadyFunc()
}

// Epoch returns the epoch of the adopted record, or 0 if there is none.
func (te *Term[Rec]) Epoch() uint64 {
	te.mu.Lock()
	defer te.mu.Unlock()
	return te.epoch
}

// State returns the state and the epoch of the lease, 0 if it is not held.
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

// Read returns the record and its version, both zero if it was never written.
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

// Adopt starts leadership under an epoch with the record that was read, and returns the time until
// calls are allowed.
func (te *Term[Rec]) Adopt(epoch uint64, rec Rec, version int64) time.Duration {
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Now()
	te.epoch, te.version = epoch, version
	te.window.Begin(now, te.MarkFunc(rec).Sender == te.Owner)
	return te.window.AllowedIn(now)
}

// Pause starts a pause, after a failure.
func (te *Term[Rec]) Pause() {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.pauseAt = te.Now() + retryPause
}

// Write writes a record with a fence. After ErrSuperseded the record must be read and adopted
// again.
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
		te.epoch = 0 // another process's record is adopted if the lease is still held
	case err == nil:
		te.version = version
		te.window.Confirm(sent)
	}
	return err
}

// put writes a record with a fence.
//
// If the response to a write is lost, the next write finds an unexpected version. The author of the
// record shows that it is this holder's own. That is safe because decisions in a record never
// change, so that each of a holder's writes has the same decisions as this one, or fewer.
func (te *Term[Rec]) put(ctx context.Context, epoch uint64, version int64, rec Rec) (int64, error) {
	fence, ok := te.FenceFunc(epoch)
	if !ok {
		return 0, errors.Wrap(ErrSuperseded, "lease lost")
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
	switch au := te.MarkFunc(now); {
	case errRead != nil:
		return 0, errRead
	case au.Epoch == epoch && au.Sender == te.Owner && found != version:
		te.setVersion(found)
		return 0, errors.Wrap(err, "an earlier write took effect")
	default:
		return 0, errors.Wrapf(ErrSuperseded, "%s of epoch %d", au.Sender, au.Epoch)
	}
}

// setVersion sets the version of the record.
func (te *Term[Rec]) setVersion(version int64) {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.version = version
}

// MayCall reports whether calls are allowed, and whether the last write is recent enough for one.
func (te *Term[Rec]) MayCall() (allowed, confirmed bool) {
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Now()
	return te.epoch != 0 && te.window.Allowed(now), te.window.Confirmed(now)
}

// Call calls send with an epoch, and returns how long it took. Once the context passed to send has
// ended, no more bytes may be sent.
func (te *Term[Rec]) Call(ctx context.Context, epoch uint64, send func(ctx context.Context, epoch uint64) error) (time.Duration, error) {
	te.mu.Lock()
	start := te.Now()
	left := te.window.Call(start)
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
	te.window.Called(now)
	return now - start, err
}
