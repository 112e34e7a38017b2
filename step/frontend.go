package step

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/peer"
)

// Limits of an entry's step calls.
const (
	// writeTimeout bounds one write of a step or its end. The key-value service responds in 4 ms, and at times some
	// 60 times slower.
	writeTimeout = 800 * time.Millisecond
	// acceptTimeout is how long an entry retries to store a step before it answers that it is unavailable or that the
	// outcome is unknown. Trainers retry only once. Two attempts of this length and the pause between them outlast
	// a usual outage of the key-value service.
	acceptTimeout = 3500 * time.Millisecond
	// cutOffTimeout is acceptTimeout for an entry that is cut off. It is shorter than the 1.1 s after which trainers
	// try another entry.
	cutOffTimeout = 900 * time.Millisecond
	// maxReadWait is the longest wait that a reader may request. Readers wait 1 s and time out after another 1.5 s.
	maxReadWait = time.Second
	// callTimeout bounds a call to the scheduler, in addition to the requested wait.
	callTimeout = 1200 * time.Millisecond
)

// A Frontend serves the step requests of an entry: it stores submitted steps and reads results from the scheduler.
// Fill the exported fields before use.
type Frontend struct {
	// CutOffFunc reports whether neither the key-value service nor the scheduler has been reachable from this
	// instance recently. Nil means that one of them always is.
	CutOffFunc func() bool
	Keeper     *Store
	Log        *logrus.Entry
	Pool       *peer.Pool
	Scheduler  *lease.Resolver
}

// Accept stores a step. ErrUnavailable means that it is not stored and won't be, ErrOutcomeUnknown that it may be.
//
// A write that got no answer may take effect seconds later, so refusing the step would be wrong. The write is retried
// until the outcome is known: the first one that succeeds counts, and the others find the step stored.
//
// An entry that is cut off refuses a step soon, unless a write of it may have taken effect, so that the trainer can
// try another entry. It still retries for cutOffTimeout: an outage in which the scheduler is lost too looks the same,
// and if all entries refused at once, a trainer would use up its retries before the service is back.
func (fr *Frontend) Accept(ctx context.Context, st *Step) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	begun, unsure := time.Now(), false
	for try := 1; ; try++ {
		err := fr.writeOrForward(ctx, acceptMethod, *st, func(ctx context.Context) error { return fr.Keeper.Accept(ctx, st) })
		unsure = unsure || err != nil && !notWritten(err)
		fr.Log.WithFields(logrus.Fields{
			"cut-off": fr.cutOff(), "error": err, stepField: st.ID, "try": try, "unsure": unsure,
		}).Info("step handed in")
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrTooManyParts):
			return err
		case ctx.Err() == nil && (unsure || !fr.cutOff() || time.Since(begun) < cutOffTimeout):
		case unsure:
			return errors.Wrap(keyvalue.ErrOutcomeUnknown, err.Error())
		default:
			return errors.Wrap(keyvalue.ErrUnavailable, err.Error())
		}
		retryPause(ctx)
	}
}

// errCutOff means that neither the key-value service nor the scheduler is reachable.
var errCutOff = errors.Wrap(keyvalue.ErrUnavailable, "neither the key-value service nor the scheduler is reachable")

// cutOff reports whether this entry is cut off, see CutOffFunc.
func (fr *Frontend) cutOff() bool { return fr.CutOffFunc != nil && fr.CutOffFunc() }

// notWritten reports whether a failed write certainly had no effect.
func notWritten(err error) bool {
	return errors.IsAny(err, keyvalue.ErrUnavailable, keyvalue.ErrTooLarge, ErrTooManyParts)
}

// writeOrForward calls direct, which writes to the key-value service. If that fails, it forwards the request to the
// scheduler: the service may be unreachable from this instance only, and the scheduler, which holds a lease, has
// reached it recently.
func (fr *Frontend) writeOrForward(ctx context.Context, method string, rq any, direct func(context.Context) error) error {
	cx, cancel := context.WithTimeout(ctx, writeTimeout)
	err := direct(cx)
	cancel()
	if err == nil || errors.Is(err, ErrTooManyParts) {
		return err
	}
	address := fr.Scheduler.Address(ctx)
	if address == "" {
		return err
	}
	cx, cancel = context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, errPeer := peer.Call[any, Empty](cx, fr.Pool, address, method, rq)
	switch {
	case errPeer == nil:
		return nil
	case errors.Is(errPeer, peer.ErrNotSent), notWritten(errPeer):
		return err
	case notWritten(err):
		return errors.Wrap(keyvalue.ErrOutcomeUnknown, errPeer.Error())
	default:
		return err
	}
}

// End records that a step has ended.
func (fr *Frontend) End(ctx context.Context, id string) error {
	if fr.cutOff() {
		return errCutOff
	}
	return fr.writeOrForward(ctx, endMethod, EndRequest{ID: id}, func(ctx context.Context) error { return fr.Keeper.End(ctx, id) })
}

// Read returns a step's results from a position on. ErrUnknownStep means that there is no such step; after any other
// error it may exist.
func (fr *Frontend) Read(ctx context.Context, rq ReadRequest) (Listing, error) {
	if fr.cutOff() {
		return Listing{}, errCutOff
	}
	rq.Wait = min(max(rq.Wait, 0), maxReadWait)
	li, err := callScheduler[ReadRequest, Listing](ctx, fr, readMethod, rq, rq.Wait+callTimeout)
	if err == nil || errors.Is(err, ErrUnknownStep) {
		return li, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return fr.Keeper.Read(ctx, rq)
}

// Body returns the body of a step's item. Errors are as for Read.
func (fr *Frontend) Body(ctx context.Context, rq BodyRequest) (BodyResponse, error) {
	if fr.cutOff() {
		return BodyResponse{}, errCutOff
	}
	re, err := callScheduler[BodyRequest, BodyResponse](ctx, fr, bodyMethod, rq, callTimeout)
	if err == nil || errors.Is(err, ErrUnknownStep) {
		return re, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, err := fr.Keeper.Load(ctx, rq.Step)
	if err != nil {
		return BodyResponse{}, err
	}
	return st.body(rq.Item), nil
}

// callScheduler calls the scheduler. If that fails, it looks the scheduler up again and retries once.
func callScheduler[Req, Resp any](ctx context.Context, fr *Frontend, method string, rq Req, timeout time.Duration) (Resp, error) {
	var resp Resp
	err := errNotScheduler
	for range 2 {
		address := fr.Scheduler.Address(ctx)
		if address == "" {
			return resp, err
		}
		cx, cancel := context.WithTimeout(ctx, timeout)
		resp, err = peer.Call[Req, Resp](cx, fr.Pool, address, method, rq)
		cancel()
		if err == nil || errors.Is(err, ErrUnknownStep) {
			return resp, err
		}
		fr.Scheduler.Invalidate(address, err)
	}
	return resp, err
}
