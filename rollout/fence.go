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

// A Fence passes the orders of rollout owners to the engines of an attendant and refuses those of
// replaced owners. Set its fields and add the endpoints before the first call. Its methods are safe
// for concurrent use.
type Fence struct {
	// Incarnation is the incarnation of the attendant.
	Incarnation uint64
	// NotifyFunc reports the outcome of an order to the owner at address. It must not block. A lost
	// notice is replaced by the owner's next probe.
	NotifyFunc func(address string, st Status)
	// PassFunc sends an order to an engine, like engine.Client.OrderFunc.
	PassFunc func(ctx context.Context, endpoint string, or engine.Order) error
	// PassTimeout is the timeout of PassFunc.
	PassTimeout time.Duration
	// Rand generates tokens; may be nil.
	Rand *rand.Rand
	// SettleLag is the maximum delay between an engine's acceptance of an order and a report that
	// shows it.
	SettleLag time.Duration
	// TokenLife is how long a token is valid. It must be shorter than the margin by which a lease
	// holder stops acting before its lease expires.
	TokenLife time.Duration

	mu   sync.Mutex
	rows map[string]*fenceRow
}

// A fenceRow is the state of an engine in a Fence.
type fenceRow struct {
	confirmed  uint64       // epoch of the last admitted order
	notify     string       // address of the owner of the last admitted order
	order      engine.Order // last admitted order
	passedAt   time.Time    // when PassFunc returned
	report     engine.Report
	hasReport  bool
	status     Status
	tokenUntil time.Time
}

// Add adds an endpoint. Its phase is Unknown until its first report: an order from before the
// attendant's start may still be in progress.
func (fe *Fence) Add(endpoint string) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	if fe.rows == nil {
		fe.rows = map[string]*fenceRow{}
	}
	fe.rows[endpoint] = &fenceRow{status: Status{Endpoint: endpoint, Incarnation: fe.Incarnation}}
}

// VersionStable reports whether the weight version of the endpoint is settled, so that requests
// that need a certain version may start.
func (fe *Fence) VersionStable(endpoint string) bool {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fr, ok := fe.rows[endpoint]
	return ok && fr.status.Phase.settled() && !fr.report.Loading
}

// Status returns the status of an endpoint.
func (fe *Fence) Status(endpoint string) (Status, error) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fr, ok := fe.rows[endpoint]
	if !ok {
		return Status{}, errors.Wrapf(ErrUnknownEndpoint, "%s", endpoint)
	}
	return fr.status, nil
}

// Probe returns the status of an endpoint with a new token, and fences owners with lower epochs.
func (fe *Fence) Probe(rq ProbeRequest) (Status, error) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fr, ok := fe.rows[rq.Endpoint]
	if !ok {
		return Status{}, errors.Wrapf(ErrUnknownEndpoint, "%s", rq.Endpoint)
	}
	if rq.Epoch < fr.status.Epoch {
		// A probe of a replaced owner must not invalidate the current owner's token.
		st := fr.status
		st.Token = 0
		return st, nil
	}
	fr.status.Epoch = rq.Epoch
	fe.renewToken(fr, time.Now())
	return fr.status, nil
}

// Order passes an order to its engine if it is admitted, and returns the resulting status.
func (fe *Fence) Order(ctx context.Context, rq Request) (Response, error) {
	ve, err := fe.admit(rq, time.Now())
	if err != nil {
		return Response{}, err
	}
	if ve == Accepted {
		// The engine may load the weights even if the owner disconnects, so the call continues
		// until its outcome is known.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(fe.PassTimeout, DefaultPassTimeout))
		defer cancel()
		ve = fe.recordPassed(rq.Endpoint, fe.PassFunc(ctx, rq.Endpoint, rq.Order), time.Now())
	}
	st, err := fe.Status(rq.Endpoint)
	return Response{Status: st, Verdict: ve}, err
}

// admit decides whether an order is passed to the engine.
//
// An owner that was paused may resume and order old weights after its successor has ordered new
// ones. An engine that ignores epochs would load them. So the fence refuses:
//   - an epoch below the highest seen;
//   - an order for an earlier incarnation of this attendant, whose epochs are lost;
//   - an order without the latest token. Each probe and each order generates a new one, so that a
//     delayed order can't arrive after its owner has received the status Idle;
//   - the first order of an epoch if its token is older than TokenLife. An owner with a fresh token
//     has checked its lease since, so that a paused owner can't evade the rules above with
//     the new incarnation;
//   - an order while another one is not settled: the engine could receive the two in the wrong
//     order.
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
	case !fr.hasValidToken(rq, now):
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

// recordPassed records the outcome of PassFunc.
func (fe *Fence) recordPassed(endpoint string, err error, now time.Time) Verdict {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fr := fe.rows[endpoint]
	fr.passedAt = now
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
		fr.enter(Unknown) // may have been accepted; only a report can tell
	}
	return Accepted
}

// Observe processes an engine's report. Only a report settles an order.
func (fe *Fence) Observe(endpoint string, re engine.Report) {
	fe.mu.Lock()
	fr, ok := fe.rows[endpoint]
	if !ok || fr.hasReport && re.At.Before(fr.report.At) {
		fe.mu.Unlock()
		return
	}
	fr.report, fr.hasReport = re, true
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

// settle ends an order if the report shows its outcome. A report that may have been made before the
// engine accepted the order is ignored.
func (fe *Fence) settle(fr *fenceRow) bool {
	re := fr.report
	if fr.status.Phase.settled() || fr.status.Phase == Sending {
		return false
	}
	named := fr.order.Version != 0 && re.Version == fr.order.Version
	if re.Loading || !named && re.At.Before(fr.passedAt.Add(cmp.Or(fe.SettleLag, DefaultSettleLag))) {
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

// enter starts a phase and increases the status' sequence number.
func (fr *fenceRow) enter(ph Phase) {
	fr.status.Phase = ph
	fr.status.Sequence++
}

// hasValidToken reports whether a request has the latest token and, for a new epoch, whether the token
// is still valid.
func (fr *fenceRow) hasValidToken(rq Request, now time.Time) bool {
	fresh := rq.Order.Epoch == fr.confirmed || now.Before(fr.tokenUntil)
	return rq.Token != 0 && rq.Token == fr.status.Token && fresh
}

// renewToken replaces the token, which invalidates the previous one.
func (fe *Fence) renewToken(fr *fenceRow, now time.Time) {
	random := rand.Uint64
	if fe.Rand != nil {
		random = fe.Rand.Uint64
	}
	fr.status.Token = random() | 1 // 0 means none
	fr.tokenUntil = now.Add(cmp.Or(fe.TokenLife, DefaultTokenLife))
}
