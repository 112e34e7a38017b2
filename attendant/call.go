package attendant

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"wisteriacroft/gate"
	"wisteriacroft/idempotency"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/plainservice"
)

// yes is the value of a header that is set.
const yes = "yes"

// A call is a live request as described by its headers.
type call struct {
	query      bool          // only query the outcome of the key
	deadline   time.Duration // time left; 0 means none
	id         string
	key        string // idempotency key, or ""
	minted     bool   // whether an entry minted the key
	profile    string
	repeatable bool
	revision   uint64 // revision by which the sender chose this endpoint
}

// newCall parses the headers of a live request. A request is repeatable only if its header says so.
func newCall(he http.Header) (call, error) {
	ca := call{
		query:      he.Get(message.KeyQueryHeader) == yes,
		id:         he.Get(message.RequestIDHeader),
		key:        he.Get(message.KeyHeader),
		minted:     he.Get(message.KeyGeneratedHeader) == yes,
		profile:    he.Get(message.ProfileHeader),
		repeatable: he.Get(message.RepeatableHeader) == yes,
	}
	if ca.id == "" {
		return ca, errors.Newf("%s: missing", message.RequestIDHeader)
	}
	if text := he.Get(message.DeadlineHeader); text != "" {
		left, err := time.ParseDuration(text)
		if err != nil {
			return ca, errors.Wrap(err, message.DeadlineHeader)
		}
		ca.deadline = left
	}
	if text := he.Get(message.RevisionHeader); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return ca, errors.Wrap(err, message.RevisionHeader)
		}
		ca.revision = revision
	}
	return ca, nil
}

// withDeadline returns ctx with the call's deadline.
func (ca call) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if ca.deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, ca.deadline)
}

// An answer is the complete answer of a plain service, or a refusal.
type answer struct {
	idempotency.Response
	refusal *outcome.Refusal // set if there is no answer
}

// serveCall forwards a live call to a plain service and returns its answer.
func (at *Attendant) serveCall(rw http.ResponseWriter, rq *http.Request) {
	en := at.endpoint(mux.Vars(rq)["endpoint"])
	ca, err := newCall(rq.Header)
	if err != nil {
		at.refuse(rw, en, outcome.NewRefusal(outcome.BadRequest, ca.id, err.Error()))
		return
	}
	if en == nil || en.plain == nil {
		at.refuse(rw, en, outcome.NewRefusal(outcome.BadRequest, ca.id, "no such plain service here"))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, int64(at.options.MaxBodySize)))
	if err != nil {
		at.refuse(rw, en, outcome.NewRefusal(outcome.BadRequest, ca.id, "read body: "+err.Error()))
		return
	}
	ctx, cancel := ca.withDeadline(rq.Context())
	defer cancel()
	req := plainservice.Request{
		Body:   body,
		Header: message.ForwardHeaders(rq.Header),
		ID:     ca.id,
		Method: rq.Method,
		Path:   servicePath(rq),
	}
	beat := func() { rw.WriteHeader(http.StatusProcessing) }
	an := await(at.options.ProgressEvery, beat, func() answer { return at.call(ctx, en, ca, req) })
	if an.refusal != nil {
		at.refuse(rw, en, an.refusal)
		return
	}
	at.writeAnswer(rw, en, ca, an)
}

// servicePath returns the path and query at the service.
func servicePath(rq *http.Request) string {
	path := "/" + mux.Vars(rq)["path"]
	if rq.URL.RawQuery != "" {
		path += "?" + rq.URL.RawQuery
	}
	return path
}

// call runs a call, at most once per key if it is not repeatable.
func (at *Attendant) call(ctx context.Context, en *endpoint, ca call, req plainservice.Request) answer {
	if ca.repeatable {
		return at.callRepeatable(ctx, en, ca, req)
	}
	return at.callOnce(ctx, en, ca, req)
}

// callRepeatable queues and runs a request. It is canceled with ctx.
func (at *Attendant) callRepeatable(ctx context.Context, en *endpoint, ca call, req plainservice.Request) answer {
	if !at.inflight.enter() {
		return answer{refusal: leaving(ca.id)}
	}
	defer at.inflight.exit()
	ti, err := en.admit(ctx, at.liveRequest(ca))
	if err != nil {
		return answer{refusal: refusal(ctx, ca.id, err)}
	}
	ti.Started()
	an, err := at.exchange(ctx, en, req)
	ti.Release(gateResult(ctx, err))
	if err != nil {
		return answer{refusal: en.callRefusal(ctx, ca.id, err)}
	}
	return answer{Response: an}
}

// liveRequest returns the gate's request for a live call.
func (at *Attendant) liveRequest(ca call) gate.Request {
	return gate.Request{
		Class:    gate.Live,
		ID:       ca.id,
		Priority: at.priority(ca.profile),
		Profile:  ca.profile,
	}
}
