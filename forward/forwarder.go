package forward

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"wisteriacroft/access"
	"wisteriacroft/admission"
	"wisteriacroft/directory"
	"wisteriacroft/quarantine"
	"wisteriacroft/retry"
	"wisteriacroft/usage"
)

// Parameters of live requests.
const (
	// configurationRetry is the Retry-After of an entry that has just started: about the time in which
	// it reads the configuration.
	configurationRetry = 500 * time.Millisecond
	// fullRetry is the Retry-After while all endpoints are full: about the duration of two requests at
	// a plain endpoint.
	fullRetry = 50 * time.Millisecond
	// defaultDeadline applies if neither the caller nor the route sets one.
	defaultDeadline = 30 * time.Second
	// hedgeFactor is the multiple of the usual latency after which a repeatable request is hedged. Few
	// requests take so long at a healthy endpoint.
	hedgeFactor = 3
	// minHedge is the minimum hedging delay, so that network jitter triggers no hedging.
	minHedge = 40 * time.Millisecond
)

// requestField is the log field for the request ID.
const requestField = "request"

// customerField is the log field for the customer.
const customerField = "customer"

// digestField is the log field for the digest, which is the same for all retries of a client.
const digestField = "digest"

// A Forwarder forwards live requests to endpoints. Fill the exported fields before use.
type Forwarder struct {
	// Access checks the keys of callers; nil stands for a Checker with Directory.
	Access    *access.Checker
	Directory *directory.Directory
	Domain    string // failure domain of the process
	Headers   Headers
	Log       *logrus.Entry
	Metrics   *metrics.Set
	// CustomerBound returns how many slots of a service this process may use for a customer; nil or a
	// negative result means no limit.
	CustomerBound func(customer, service string) int
	// EndFunc returns when the process stops serving, or zero while it isn't stopping. Nil means that it never does.
	EndFunc func() time.Time
	// Budget limits the attempts after the first.
	Budget *retry.Budget
	// QuotaFunc uses one request of a customer's quota, in requests a second, or returns after how long
	// its caller may retry; nil means no quotas.
	QuotaFunc func(ctx context.Context, customer string, rate float64) (retry time.Duration, ok bool)
	// Quarantine holds requests that crash endpoints; nil stands for a table of the forwarder's own.
	Quarantine *quarantine.Table
	// StreamSilence is how long a stream may be without an event before it counts as broken. Default: 10 s. On a route with a
	// long goal it is longer.
	StreamSilence time.Duration
	// Usage records the requests that endpoints run; nil records none.
	Usage *usage.Recorder

	clients       map[string]endpointClient // by endpoint
	queues        serviceQueues
	loads         loads
	memory        memory
	mu            sync.Mutex
	ownQuarantine quarantine.Table
	table         Table
	trials        trials
	slotUsage     slotUsage
}

// access returns the checker of keys.
func (fo *Forwarder) access() *access.Checker {
	if fo.Access == nil {
		return &access.Checker{Directory: fo.Directory, Header: fo.Headers.Key, Metrics: fo.Metrics}
	}
	return fo.Access
}

// ServeHTTP implements http.Handler.
func (fo *Forwarder) ServeHTTP(rw http.ResponseWriter, hr *http.Request) {
	received := time.Now()
	rq, rj := fo.read(rw, hr)
	if rj != nil {
		fo.reject(rw, hr, rj)
		return
	}
	defer fo.releaseMemory(rq)
	endTrial, rj := fo.startTrial(rq)
	if rj != nil {
		fo.reject(rw, hr, rj)
		return
	}
	defer endTrial()
	ctx, answered := withDeadline(hr.Context(), rq.deadline)
	fo.Budget.Deposit()
	if rq.streaming() {
		fo.serveStream(rw, hr, rq)
	} else {
		fo.serveWhole(ctx, rw, rq)
	}
	if hr.Context().Err() == nil {
		answered()
	}
	fo.Metrics.GetOrCreateHistogram(`wisteriacroft_live_seconds`).UpdateDuration(received)
}

func (fo *Forwarder) serveWhole(ctx context.Context, rw http.ResponseWriter, rq *request) {
	re := fo.run(ctx, rq)
	lo := fo.Log.WithFields(logrus.Fields{
		customerField: rq.customer, "endpoint": re.endpoint.ID, "ms": time.Since(rq.received).Milliseconds(),
		"priority": rq.priority, requestField: rq.id, "route": rq.route.Name, "status": re.status, "waited-ms": re.waited.Milliseconds(),
	})
	if re.err == nil && !re.notRun {
		lo.Info("answered")
		fo.count("answered")
		fo.countResponse(rq, re)
		writeAnswer(rw, re)
		return
	}
	if re.refusal != nil {
		lo = lo.WithFields(refusalFields(rq, re.refusal))
		fo.countRefusal(re.refusal.Reason)
	}
	fo.count("failed")
	lo.WithFields(logrus.Fields{
		digestField: rq.digest, "error": re.err, "not-run": re.notRun, "tried": slices.Sorted(maps.Keys(re.tried)),
		"version": fo.Directory.Configuration().Version,
	}).Warn("not served")
	fo.countRejected(rq, re)
	if re.notRun {
		fo.access().Refused(rq.customer)
		Refuse(rw, http.StatusServiceUnavailable, max(re.heldFor, fo.notRunRetry(), re.retryAfter()))
		return
	}
	Refuse(rw, http.StatusGatewayTimeout, 0)
}

// retryAfter returns the Retry-After of a request that was rejected by the queue, or 0.
func (re *result) retryAfter() time.Duration {
	if re.refusal == nil {
		return 0
	}
	return re.refusal.RetryAfter
}

// setLimitMetric updates the metric of an endpoint's concurrency limit.
func (fo *Forwarder) setLimitMetric(id string, limit float64) {
	fo.Metrics.GetOrCreateGauge(limitMetric(id), nil).Set(limit)
}

// limitMetric returns the name of the metric of an endpoint's concurrency limit.
func limitMetric(id string) string { return `wisteriacroft_endpoint_limit{endpoint="` + id + `"}` }

// notRunRetry returns the Retry-After of a request that no endpoint ran: short if they were full,
// longer if this entry has not read the endpoints yet.
func (fo *Forwarder) notRunRetry() time.Duration {
	if !fo.Directory.Ready() {
		return configurationRetry
	}
	return fullRetry
}

// run makes attempts at endpoints until one returns a final result or no more are allowed. It hedges a
// slow repeatable request.
func (fo *Forwarder) run(ctx context.Context, rq *request) *result {
	at := &attempts{forwarder: fo, request: rq, results: make(chan *result, max(rq.route.MaxAttempts, 1)), tried: map[string]bool{}}
	last := &result{notRun: true}
	if ve := fo.checkQuarantine(rq); ve.Held() {
		last.heldFor = ve.HeldFor
		return last
	}
	if !at.launch(ctx, rq.firstRequirement()) {
		last.heldFor, last.refusal = at.heldFor, at.refusal
		return last
	}
	hedge := time.NewTimer(max(hedgeFactor*fo.table.Latency(fo.Directory.Endpoints(rq.service)), minHedge))
	defer hedge.Stop()
	for at.running > 0 {
		select {
		case <-ctx.Done():
			return at.annotate(&result{endpoint: last.endpoint, err: ctx.Err()})
		case <-hedge.C:
			if fo.mayHedge(rq) && fo.mayRetry(rq, at.tried, "slow") {
				at.launch(ctx, rq.hedgeRequirement())
			}
		case re := <-at.results:
			last = at.record(re)
			if re.final(rq.repeatable()) {
				return re
			}
			if (re.notRun || rq.repeatable()) && fo.mayRetry(rq, at.tried, "failed") {
				at.launch(ctx, rq.nextRequirement(re))
			}
		}
	}
	if last.notRun && at.ran {
		last = &result{endpoint: last.endpoint, err: errIncomplete}
	}
	return at.annotate(last)
}

// mayHedge reports whether a request may be hedged: not if it may have crashed endpoints, nor while
// others wait for capacity.
func (fo *Forwarder) mayHedge(rq *request) bool {
	if rq.internal || !rq.repeatable() {
		return rq.repeatable()
	}
	return !fo.quarantine().Check(rq.digest, time.Now()).Suspect() && !fo.contended(rq.service)
}

// mayRetry reports whether one more attempt is allowed, and takes it from the budget.
func (fo *Forwarder) mayRetry(rq *request, tried map[string]bool, why string) bool {
	if len(tried) >= max(rq.route.MaxAttempts, 1) || fo.checkQuarantine(rq).Held() {
		return false
	}
	_, ok := fo.Budget.Retry(time.Now(), retry.Attempt{
		Deadline: rq.deadline, Number: len(tried), Repeatable: true,
	})
	fo.Log.WithFields(logrus.Fields{
		"allowed": ok, "attempts": len(tried), customerField: rq.customer, requestField: rq.id, "why": why,
	}).Info("another attempt")
	return ok
}

// recordResult updates the state of an endpoint with the result of an attempt.
func (fo *Forwarder) recordResult(ctx context.Context, rq *request, re *result) {
	now := time.Now()
	id := re.endpoint.ID
	fo.table.Done(id)
	defer fo.pump(rq.service)
	switch {
	case re.err != nil && ctx.Err() != nil && !re.endless(ctx): // the caller disconnected, or the deadline passed
		fo.table.Slow(id, re.took)
	case re.err != nil, re.status == http.StatusMisdirectedRequest:
		penalty := fo.table.Failed(id, now)
		fo.Log.WithFields(logrus.Fields{
			customerField: rq.customer, digestField: rq.digest, "endpoint": id, "error": re.err, "penalty": penalty.String(), requestField: rq.id, "status": re.status,
		}).Warn("endpoint failed")
		fo.recordCrash(ctx, rq, re)
	default:
		lo, ok := admission.ParseLoad(re.header.Get(fo.Headers.Load))
		full := re.notRun // 421 is handled above; the other reason not to run is lack of capacity
		if full {
			fo.slotUsage.markShort(rq.service, now)
		}
		if !rq.internal {
			fo.Budget.Observe(!full)
		}
		limit := fo.table.Answered(id, admission.Response{
			At: now, Load: lo, Refused: full, Slots: re.endpoint.Slots, Target: admission.LatencyTarget(rq.route.Goal), Told: ok, Took: re.took,
		})
		fo.setLimitMetric(id, limit)
		if !rq.internal && !re.notRun && re.stream == nil {
			fo.quarantine().RecordSuccess(rq.digest, now)
		}
	}
}

func (fo *Forwarder) count(outcome string) {
	fo.Metrics.GetOrCreateCounter(`wisteriacroft_live_total{outcome="` + outcome + `"}`).Inc()
}

// countRefusal counts a request that this entry rejected without sending it to an endpoint.
func (fo *Forwarder) countRefusal(reason admission.Reason) {
	fo.Metrics.GetOrCreateCounter(`wisteriacroft_live_refusals_total{reason="` + string(reason) + `"}`).Inc()
}
