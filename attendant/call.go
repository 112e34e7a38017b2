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

// yes is the value of a header that says so.
const yes = "yes"

// A call is a live request as its headers describe it.
type call struct {
	ask        bool          // don't run it: only say what became of its key
	deadline   time.Duration // that is left; 0 means none
	id         string
	key        string // idempotency key, or ""
	minted     bool   // the key is the entry's own
	profile    string
	repeatable bool
	revision   uint64 // by which the sender chose this endpoint
}

// newCall reads the headers of a live request. What doesn't say that it is
// repeatable is not: to run it twice might do harm.
func newCall(he http.Header) (call, error) {
	ca := call{
		ask:        he.Get(message.KeyQueryHeader) == yes,
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

// bound returns ctx with the call's deadline.
func (ca call) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if ca.deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, ca.deadline)
}

// An answer is what a plain service answered, with its body whole.
type answer struct {
	idempotency.Response
	refusal *outcome.Refusal // set if there is no answer
}

// serveCall gives a live call to a plain service and passes its answer on.
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
	ctx, cancel := ca.bound(rq.Context())
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

// servicePath returns the path and query that the service sees.
func servicePath(rq *http.Request) string {
	path := "/" + mux.Vars(rq)["path"]
	if rq.URL.RawQuery != "" {
		path += "?" + rq.URL.RawQuery
	}
	return path
}

// call runs a call, once or as often as it comes.
func (at *Attendant) call(ctx context.Context, en *endpoint, ca call, req plainservice.Request) answer {
	if ca.repeatable {
		return at.callRepeatable(ctx, en, ca, req)
	}
	return at.callOnce(ctx, en, ca, req)
}

// callRepeatable queues a request and runs it. It ends with its caller.
func (at *Attendant) callRepeatable(ctx context.Context, en *endpoint, ca call, req plainservice.Request) answer {
	if !at.work.enter() {
		return answer{refusal: leaving(ca.id)}
	}
	defer at.work.exit()
	ti, err := en.enter(ctx, at.live(ca))
	if err != nil {
		return answer{refusal: refusal(ctx, ca.id, err)}
	}
	ti.Started()
	an, err := at.exchange(ctx, en, req)
	ti.Release(gateResult(ctx, err))
	if err != nil {
		return answer{refusal: en.refusalOf(ctx, ca.id, err)}
	}
	return answer{Response: an}
}

// live returns what the gate needs to know of a live call.
func (at *Attendant) live(ca call) gate.Request {
	return gate.Request{
		Class:    gate.Live,
		ID:       ca.id,
		Priority: at.priority(ca.profile),
		Profile:  ca.profile,
	}
}
