package rollout

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
)

// A Fence stands between owners of rollouts and the engines of an attendant.
// Set its fields and add the endpoints before the first call. Its methods may
// be called from several goroutines.
type Fence struct {
	// Incarnation is that of the attendant.
	Incarnation uint64
	// NotifyFunc tells the owner at address what became of its order. It
	// returns at once; a word that is lost is asked for again.
	NotifyFunc func(address string, st Status)
	// PassFunc passes an order to an engine, as engine.Client.OrderFunc does.
	PassFunc func(ctx context.Context, endpoint string, or engine.Order) error
	// PassTimeout bounds PassFunc.
	PassTimeout time.Duration
	// Rand makes tokens; may be nil.
	Rand *rand.Rand
	// SettleLag is by how much an engine's report may lag behind an order that
	// the engine has taken.
	SettleLag time.Duration
	// TokenLife is how long a token holds. It must be shorter than the margin
	// by which a lease holder stops acting before its lease ends.
	TokenLife time.Duration

	mu   sync.Mutex
	rows map[string]*fenceRow
}

// A fenceRow is an engine in a Fence.
type fenceRow struct {
	confirmed  uint64       // epoch of the last order that was admitted
	notify     string       // address of the last order's owner
	order      engine.Order // the last that was admitted
	passed     time.Time    // when passing it ended
	report     engine.Report
	reported   bool
	status     Status
	tokenUntil time.Time
}

// Add adds an endpoint. What its engine does is unknown until it reports: an
// order from before the attendant's start may still be running.
func (fe *Fence) Add(endpoint string) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	if fe.rows == nil {
		fe.rows = map[string]*fenceRow{}
	}
	fe.rows[endpoint] = &fenceRow{status: Status{Endpoint: endpoint, Incarnation: fe.Incarnation}}
}

// VersionStable reports whether work that is bound to a weight version may start at
// the endpoint.
func (fe *Fence) VersionStable(endpoint string) bool {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fr, ok := fe.rows[endpoint]
	return ok && fr.status.Phase.settled() && !fr.report.Loading
}

// Status returns what is known of an endpoint's engine.
func (fe *Fence) Status(endpoint string) (Status, error) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fr, ok := fe.rows[endpoint]
	if !ok {
		return Status{}, errors.Wrapf(ErrUnknownEndpoint, "%s", endpoint)
	}
	return fr.status, nil
}

// Probe answers an owner that asks for a status. It returns a token.
func (fe *Fence) Probe(rq ProbeRequest) (Status, error) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fr, ok := fe.rows[rq.Endpoint]
	if !ok {
		return Status{}, errors.Wrapf(ErrUnknownEndpoint, "%s", rq.Endpoint)
	}
	if rq.Epoch < fr.status.Epoch {
		// A replaced owner's question must not take the owner's token away.
		st := fr.status
		st.Token = 0
		return st, nil
	}
	fr.status.Epoch = rq.Epoch
	fe.renewToken(fr, time.Now())
	return fr.status, nil
}

// Order passes an order to its engine, if it may, and says what is known then.
func (fe *Fence) Order(ctx context.Context, rq Request) (Response, error) {
	ve, err := fe.admit(rq, time.Now())
	if err != nil {
		return Response{}, err
	}
	if ve == Accepted {
		// The owner may hang up; the engine may load all the same, so passing
		// goes on to an outcome.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(fe.PassTimeout, DefaultPassTimeout))
		defer cancel()
		ve = fe.pass(rq.Endpoint, fe.PassFunc(ctx, rq.Endpoint, rq.Order), time.Now())
	}
	st, err := fe.Status(rq.Endpoint)
	return Response{Status: st, Verdict: ve}, err
}

// admit decides whether an order is passed on.
//
// An owner that was paused can wake and still believe that it owns the
// rollout. Its late order would put old weights onto an engine after the
// next owner's, and an engine that ignores epochs would take it; the engine
// would then report a version that nobody wants. So this side refuses:
//   - an epoch below the highest seen;
//   - an order meant for an earlier start of this attendant, which has
//     forgotten the epochs that it saw;
//   - an order without the latest token that was made here. Each probe and
//     each order makes a new one, so that an order that was given up on can't
//     arrive after its owner asked what became of it and was told "idle";
//   - the first order under an epoch, if the token is older than TokenLife.
//     Whoever got a fresh one has checked its lease since, so that a woken
//     owner can't evade the rules above by learning the new incarnation;
//   - an order while another isn't settled: the two could overtake each other
//     on their way to the engine.
func (fe *Fence) admit(rq Request, now time.Time) (Verdict, error) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fr, ok := fe.rows[rq.Endpoint]
	if !ok {
		return 0, errors.Wrapf(ErrUnknownEndpoint, "%s", rq.Endpoint)
	}
	switch {
	case rq.Incarnation != fe.Incarnation:
		return WrongIncarnation, nil
	case rq.Order.Epoch == 0 || rq.Order.Epoch < fr.status.Epoch:
		return Fenced, nil
	case !fr.status.Phase.settled():
		return Busy, nil
	case !fr.confirms(rq, now):
		fe.renewToken(fr, now)
		return Unconfirmed, nil
	}
	fe.renewToken(fr, now)
	fr.status.Epoch = rq.Order.Epoch
	fr.confirmed = rq.Order.Epoch
	fr.order = rq.Order
	fr.notify = rq.Notify
	fr.status.Ordered = rq.Order.Version
	fr.enter(Sending)
	return Accepted, nil
}

// pass notes the outcome of passing an order on.
func (fe *Fence) pass(endpoint string, err error, now time.Time) Verdict {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fr := fe.rows[endpoint]
	fr.passed = now
	switch {
	case err == nil:
		fr.enter(Settling)
	case errors.Is(err, engine.ErrFenced):
		fr.enter(Idle)
		return EngineFenced
	case errors.Is(err, engine.ErrNotSent):
		fr.enter(Idle)
		return NotSent
	default:
		fr.enter(Unknown) // it may have been taken: only the report tells
	}
	return Accepted
}

// Observe takes an engine's own report, which alone settles an order.
func (fe *Fence) Observe(endpoint string, re engine.Report) {
	fe.mu.Lock()
	fr, ok := fe.rows[endpoint]
	if !ok || fr.reported && re.At.Before(fr.report.At) {
		fe.mu.Unlock()
		return
	}
	fr.report, fr.reported = re, true
	before := fr.status
	fr.status.Version = re.Version
	settled := fe.settle(fr)
	if fr.status.Version != before.Version && fr.status.Phase == before.Phase {
		fr.status.Sequence++
	}
	st, notify := fr.status, fr.notify
	fe.mu.Unlock()
	if settled && notify != "" && fe.NotifyFunc != nil {
		st.Token = 0
		fe.NotifyFunc(notify, st)
	}
}

// settle ends an order once a report shows what became of it. A report that
// may be from before the engine took the order shows nothing.
func (fe *Fence) settle(fr *fenceRow) bool {
	re := fr.report
	if fr.status.Phase.settled() || fr.status.Phase == Sending {
		return false
	}
	named := fr.order.Version != 0 && re.Version == fr.order.Version
	if re.Loading || !named && re.At.Before(fr.passed.Add(cmp.Or(fe.SettleLag, DefaultSettleLag))) {
		return false
	}
	switch {
	case fr.order.Version == 0:
		fr.enter(Idle)
	case named:
		fr.enter(Loaded)
	default:
		fr.enter(Failed)
	}
	return true
}

// enter begins a phase, which is a change of the status.
func (fr *fenceRow) enter(ph Phase) {
	fr.status.Phase = ph
	fr.status.Sequence++
}

// confirms reports whether a request shows the latest token, and one that is
// fresh enough if its epoch is new here.
func (fr *fenceRow) confirms(rq Request, now time.Time) bool {
	fresh := rq.Order.Epoch == fr.confirmed || now.Before(fr.tokenUntil)
	return rq.Token != 0 && rq.Token == fr.status.Token && fresh
}

// renewToken makes a new token, so that one that has been shown cannot be
// shown again.
func (fe *Fence) renewToken(fr *fenceRow, now time.Time) {
	random := rand.Uint64
	if fe.Rand != nil {
		random = fe.Rand.Uint64
	}
	fr.status.Token = random() | 1 // 0 means none
	fr.tokenUntil = now.Add(cmp.Or(fe.TokenLife, DefaultTokenLife))
}
