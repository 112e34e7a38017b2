package forward

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
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

// Limits of the path of a live request.
const (
	// configurationRetry is when a caller may come back that met an entry that
	// has just started: the time in which it reads the configuration.
	configurationRetry = 500 * time.Millisecond
	// fullRetry is when a caller may come back that found all endpoints full:
	// about what a plain endpoint needs for two requests.
	fullRetry = 50 * time.Millisecond
	// defaultDeadline bounds a request for which neither the caller nor the
	// route names a bound.
	defaultDeadline = 30 * time.Second
	// hedgeFactor is how many times its usual latency a repeatable request
	// waits before it is sent to a second endpoint as well: few requests take so long
	// at an endpoint that is well.
	hedgeFactor = 3
	// minHedge is the least such wait, so that two hops' jitter sends nothing
	// twice.
	minHedge = 40 * time.Millisecond
)

// requestField is the field of log lines that holds a request's id.
const requestField = "request"

// customerField is the field of log lines that holds whose request it is.
const customerField = "customer"

// digestField is the field of log lines that holds what a request asks for: the
// same for all tries of its client.
const digestField = "digest"

// A Forwarder serves live requests. Fill the exported fields before use.
type Forwarder struct {
	// Access decides whose requests run; nil stands for one by Directory.
	Access    *access.Checker
	Directory *directory.Directory
	Domain    string // failure domain of the process
	Headers   Headers
	Log       *logrus.Entry
	Metrics   *metrics.Set
	// CustomerBound returns how many places of a service this process may give a
	// customer now; a negative number means no bound, and so does nil.
	CustomerBound func(customer, service string) int
	// Budget bounds the attempts beyond the first.
	Budget *retry.Budget
	// QuotaFunc spends one request of a customer's quota, in requests a second, or
	// returns when its caller may come back; nil keeps no quota.
	QuotaFunc func(ctx context.Context, customer string, rate float64) (retry time.Duration, ok bool)
	// Quarantine holds requests under which endpoints ended; nil stands for one of
	// the forwarder's own.
	Quarantine *quarantine.Table
	// Usage notes the requests that endpoints begin to run; nil notes none.
	Usage *usage.Recorder

	clients       map[string]endpointClient // by endpoint
	lines         lines
	loads         loads
	memory        memory
	mu            sync.Mutex
	ownQuarantine quarantine.Table
	table         Table
	uses          uses
}

// access returns what decides whose requests run.
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
	ctx, answered := boundBy(hr.Context(), rq.deadline)
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
		fo.holdAnswer(rq, re)
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
	fo.noteRefused(rq, re)
	if re.notRun {
		fo.access().Refused(rq.customer)
		Refuse(rw, http.StatusServiceUnavailable, max(re.heldFor, fo.refusedRetry(), re.comeBack()))
		return
	}
	Refuse(rw, http.StatusGatewayTimeout, 0)
}

// comeBack returns when room is foreseen for a request that was refused for want of it.
func (re *result) comeBack() time.Duration {
	if re.refusal == nil {
		return 0
	}
	return re.refusal.RetryAfter
}

// noteLimit shows how many requests may be in flight at an endpoint.
func (fo *Forwarder) noteLimit(id string, limit float64) {
	fo.Metrics.GetOrCreateGauge(limitMetric(id), nil).Set(limit)
}

// limitMetric is the name of an endpoint's limit, which goes when the endpoint does.
func limitMetric(id string) string { return `wisteriacroft_endpoint_limit{endpoint="` + id + `"}` }

// refusedRetry returns when a caller may come back whose request no endpoint
// took: soon if they were full, later if this entry doesn't know them yet.
func (fo *Forwarder) refusedRetry() time.Duration {
	if !fo.Directory.Ready() {
		return configurationRetry
	}
	return fullRetry
}

// run sends a request to endpoints in turn until one answers it. A repeatable
// one that waits longer than usual goes to a second one meanwhile.
func (fo *Forwarder) run(ctx context.Context, rq *request) *result {
	at := &attempts{forwarder: fo, request: rq, results: make(chan *result, max(rq.route.MaxAttempts, 1)), tried: map[string]bool{}}
	last := &result{notRun: true}
	if ve := fo.verdict(rq); ve.Held() {
		last.heldFor = ve.HeldFor
		return last
	}
	if !at.launch(ctx, rq.firstWant()) {
		last.heldFor, last.refusal = at.heldFor, at.refusal
		return last
	}
	hedge := time.NewTimer(max(hedgeFactor*fo.table.Latency(fo.Directory.Endpoints(rq.service)), minHedge))
	defer hedge.Stop()
	for at.running > 0 {
		select {
		case <-ctx.Done():
			return at.tell(&result{endpoint: last.endpoint, err: ctx.Err()})
		case <-hedge.C:
			if fo.hedges(rq) && fo.another(rq, at.tried, "slow") {
				at.launch(ctx, rq.hedgeWant())
			}
		case re := <-at.results:
			last = at.take(re)
			if re.final(rq.repeatable()) {
				return re
			}
			if (re.notRun || rq.repeatable()) && fo.another(rq, at.tried, "failed") {
				at.launch(ctx, rq.nextWant(re))
			}
		}
	}
	if last.notRun && at.ran {
		last = &result{endpoint: last.endpoint, err: errBroken}
	}
	return at.tell(last)
}

// hedges reports whether a second attempt may run beside the first: not of a request under
// which endpoints may have ended, nor while others wait for room.
func (fo *Forwarder) hedges(rq *request) bool {
	if !rq.repeatable() || fo.quarantine().Check(rq.digest, time.Now()).Suspect() {
		return false
	}
	return rq.own || !fo.tight(rq.service)
}

// another asks the budget for one more attempt.
func (fo *Forwarder) another(rq *request, tried map[string]bool, why string) bool {
	if len(tried) >= max(rq.route.MaxAttempts, 1) || fo.verdict(rq).Held() {
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

// judge notes what an attempt says of its endpoint.
func (fo *Forwarder) judge(ctx context.Context, rq *request, re *result) {
	now := time.Now()
	id := re.endpoint.ID
	fo.table.Done(id)
	defer fo.pump(rq.service)
	switch {
	case re.err != nil && ctx.Err() != nil: // the caller left, or its time is up
		fo.table.Slow(id, re.took)
	case re.err != nil, re.status == http.StatusMisdirectedRequest:
		penalty := fo.table.Failed(id, now)
		fo.Log.WithFields(logrus.Fields{
			customerField: rq.customer, digestField: rq.digest, "endpoint": id, "error": re.err, "penalty": penalty.String(), requestField: rq.id, "status": re.status,
		}).Warn("endpoint failed")
		fo.suspect(ctx, rq, re)
	default:
		lo, ok := admission.ParseLoad(re.header.Get(fo.Headers.Load))
		full := re.notRun // of 421 above, all else that did not run found no place
		if full {
			fo.uses.noteShort(rq.service, now)
		}
		if !rq.own {
			fo.Budget.Observe(!full)
		}
		limit := fo.table.Answered(id, admission.Response{
			At: now, Load: lo, Refused: full, Slots: re.endpoint.Slots, Target: admission.LatencyTarget(rq.route.Goal), Told: ok, Took: re.took,
		})
		fo.noteLimit(id, limit)
		if !re.notRun && re.stream == nil {
			fo.quarantine().RecordSuccess(rq.digest, now)
		}
	}
}

func (fo *Forwarder) count(outcome string) {
	fo.Metrics.GetOrCreateCounter(`wisteriacroft_live_total{outcome="` + outcome + `"}`).Inc()
}

// countRefusal counts a request that this entry refused by itself.
func (fo *Forwarder) countRefusal(reason admission.Reason) {
	fo.Metrics.GetOrCreateCounter(`wisteriacroft_live_refusals_total{reason="` + string(reason) + `"}`).Inc()
}

func (fo *Forwarder) reject(rw http.ResponseWriter, hr *http.Request, rj *rejection) {
	fo.Log.WithFields(rj.inputs).WithFields(logrus.Fields{
		"host": hr.Host, "path": hr.URL.Path, "reason": rj.reason,
		requestField: hr.Header.Get(fo.Headers.RequestID), "status": rj.status,
	}).Warn("rejected")
	fo.count("rejected")
	if rj.reason == string(admission.NoMemory) {
		fo.access().Refused(rj.customer)
		fo.countRefusal(admission.NoMemory)
	}
	rj.answer(rw)
}

// deny answers a request without a key that lets it run, and says why.
func deny(rw http.ResponseWriter, reason string) {
	data, err := json.Marshal(struct {
		Error string `json:"error"`
	}{reason})
	if err != nil {
		panic(err) // a string can always be encoded
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("WWW-Authenticate", "Bearer")
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	rw.WriteHeader(http.StatusUnauthorized)
	_, _ = rw.Write(data) // the caller has left if it fails
}

// Refuse writes an answer of the entry's own, and after how long the caller may
// come back; 0 says nothing of it.
func Refuse(rw http.ResponseWriter, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		rw.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	rw.WriteHeader(status)
}

// writeAnswer passes an endpoint's answer on.
func writeAnswer(rw http.ResponseWriter, re *result) {
	copyHeader(rw.Header(), re.header)
	rw.Header().Set("Content-Length", strconv.Itoa(len(re.body)))
	rw.WriteHeader(re.status)
	_, _ = rw.Write(re.body) // the caller has left if it fails
}

// copyHeader sets the headers that cross a hop. Without a type of its own the
// answer gets none, where net/http would guess one.
func copyHeader(to, from http.Header) {
	for name, values := range crossing(from) {
		to[name] = values
	}
	if from["Content-Type"] == nil {
		to["Content-Type"] = nil
	}
}
