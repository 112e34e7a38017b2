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

// Bounds of an entry's part in steps.
const (
	// writeTimeout bounds one write of a step or its end. The service answers
	// within 4 ms as a rule, and some 60 times slower at times.
	writeTimeout = 800 * time.Millisecond
	// acceptTime is how long an entry tries to keep a step before it answers
	// that it can't, or doesn't know. A trainer has nothing else to do meanwhile
	// and comes again only once; outages of the service last 4 to 7 s, which two
	// such times and the pause between them outlast.
	acceptTime = 3500 * time.Millisecond
	// cutOffTime is the same for an entry that is cut off. Trainers go to another
	// entry after 1.1 s.
	cutOffTime = 900 * time.Millisecond
	// maxReadWait is the longest wait that a reader may ask for: readers wait 1 s
	// and break off after 1.5 s more.
	maxReadWait = time.Second
	// askTimeout bounds a question to the scheduler beyond the wait it asks for.
	askTimeout = 1200 * time.Millisecond
)

// A Frontend is an entry's part in steps: it keeps what trainers hand in, and asks
// the scheduler for what they read. Fill the exported fields before use.
type Frontend struct {
	// CutOffFunc reports whether neither the service nor the scheduler can be
	// reached from here, of late. Nil means that it never is so.
	CutOffFunc func() bool
	Keeper     *Store
	Log        *logrus.Entry
	Pool       *peer.Pool
	Scheduler  *lease.Resolver
}

// Accept keeps a step. ErrUnavailable means that it is not kept and won't be;
// ErrOutcomeUnknown that this can't be told.
//
// A write that got no answer may take effect seconds later. To refuse the step
// then would be untrue, so it is repeated until an answer tells: whichever of
// the writes comes first counts, and the others find the step kept.
//
// An entry that is cut off refuses soon what it has not sent: another one can
// keep the step. It tries for as long as trainers wait, since an outage in which
// the scheduler is lost too looks the same: refused at once by every entry, a
// trainer had used up its tries before the service was back.
func (do *Frontend) Accept(ctx context.Context, st *Step) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	begun, unsure := time.Now(), false
	for try := 1; ; try++ {
		err := do.write(ctx, acceptMethod, *st, func(ctx context.Context) error { return do.Keeper.Accept(ctx, st) })
		unsure = unsure || err != nil && !notWritten(err)
		do.Log.WithFields(logrus.Fields{
			"cut-off": do.cutOff(), "error": err, stepField: st.ID, "try": try, "unsure": unsure,
		}).Info("step handed in")
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrTooManyParts):
			return err
		case ctx.Err() == nil && (unsure || !do.cutOff() || time.Since(begun) < cutOffTime):
		case unsure:
			return errors.Wrap(keyvalue.ErrOutcomeUnknown, err.Error())
		default:
			return errors.Wrap(keyvalue.ErrUnavailable, err.Error())
		}
		pause(ctx)
	}
}

// errCutOff means that neither the service nor the scheduler can be reached.
var errCutOff = errors.Wrap(keyvalue.ErrUnavailable, "cut off")

// cutOff reports whether nothing can be kept or read from here.
func (do *Frontend) cutOff() bool { return do.CutOffFunc != nil && do.CutOffFunc() }

// notWritten reports whether a failed write surely has no effect.
func notWritten(err error) bool {
	return errors.IsAny(err, keyvalue.ErrUnavailable, keyvalue.ErrTooLarge, ErrTooManyParts)
}

// write makes a write, over the scheduler if the service is away from here: it
// turns single instances away at times, and the scheduler holds a lease of it.
func (do *Frontend) write(ctx context.Context, method string, rq any, direct func(context.Context) error) error {
	cx, cancel := context.WithTimeout(ctx, writeTimeout)
	err := direct(cx)
	cancel()
	if err == nil || errors.Is(err, ErrTooManyParts) {
		return err
	}
	address := do.Scheduler.Address(ctx)
	if address == "" {
		return err
	}
	cx, cancel = context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, errPeer := peer.Call[any, Empty](cx, do.Pool, address, method, rq)
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

// End keeps that a step has ended.
func (do *Frontend) End(ctx context.Context, id string) error {
	if do.cutOff() {
		return errCutOff
	}
	return do.write(ctx, endMethod, EndRequest{ID: id}, func(ctx context.Context) error { return do.Keeper.End(ctx, id) })
}

// Read returns a step's results from a position on. ErrUnknownStep means that
// there is no such step, any other error that it can't be told now.
func (do *Frontend) Read(ctx context.Context, rq ReadRequest) (Listing, error) {
	if do.cutOff() {
		return Listing{}, errCutOff
	}
	rq.Wait = min(max(rq.Wait, 0), maxReadWait)
	li, err := ask[ReadRequest, Listing](ctx, do, readMethod, rq, rq.Wait+askTimeout)
	if err == nil || errors.Is(err, ErrUnknownStep) {
		return li, err
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return do.Keeper.Read(ctx, rq)
}

// Body returns the body of a step's item.
func (do *Frontend) Body(ctx context.Context, rq BodyRequest) (BodyResponse, error) {
	if do.cutOff() {
		return BodyResponse{}, errCutOff
	}
	re, err := ask[BodyRequest, BodyResponse](ctx, do, bodyMethod, rq, askTimeout)
	if err == nil || errors.Is(err, ErrUnknownStep) {
		return re, err
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	st, err := do.Keeper.Load(ctx, rq.Step)
	if err != nil {
		return BodyResponse{}, err
	}
	return st.body(rq.Item), nil
}

// ask calls the scheduler, and once more the one that replaced it.
func ask[Req, Resp any](ctx context.Context, do *Frontend, method string, rq Req, timeout time.Duration) (Resp, error) {
	var resp Resp
	err := errNotScheduler
	for range 2 {
		address := do.Scheduler.Address(ctx)
		if address == "" {
			return resp, err
		}
		cx, cancel := context.WithTimeout(ctx, timeout)
		resp, err = peer.Call[Req, Resp](cx, do.Pool, address, method, rq)
		cancel()
		if err == nil || errors.Is(err, ErrUnknownStep) {
			return resp, err
		}
		do.Scheduler.Invalidate(address, err)
	}
	return resp, err
}
