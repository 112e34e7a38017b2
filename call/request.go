package call

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"wisteriacroft/finding"
	"wisteriacroft/idempotency"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/quarantine"
)

// Limits on what callers send.
const (
	maxHeaderSize = 256 // bytes of one of the project's own headers
	readTimeout   = 10 * time.Second
)

// Values of message.RepeatableHeader and its like.
const (
	no  = "no"
	yes = "yes"
)

// A request is a live call as it was read and checked.
type request struct {
	body       []byte
	deadline   time.Time
	digest     quarantine.Digest
	header     http.Header // of the caller
	id         string
	key        idempotency.Key // of the caller
	keyed      bool            // the caller gave a key
	kind       Kind            // of the path by which the call came
	method     string
	path       string // with the query; of a plain service, escaped
	policy     Policy
	repeatable bool
}

// refusal returns the refusal of the call by the entry itself. With a key of
// the caller it never says not-run: an earlier call with the key may have run,
// by way of another entry, and only the key's home knows.
func (req *request) refusal(code outcome.Code, text string) *outcome.Refusal {
	re := outcome.NewRefusal(code, req.id, text)
	if req.keyed {
		claimNothing(re)
	}
	return re
}

// claimNothing takes what a refusal says of the request's fate out of it.
func claimNothing(re *outcome.Refusal) {
	re.Fate = outcome.Unknown.String()
	if re.Code == outcome.Refused {
		re.Code = outcome.OutcomeUnknown
	}
}

// read reads a call and checks it against its profile. Its error is a
// *outcome.Refusal that names all faults with their places.
func (se *Server) read(rw http.ResponseWriter, rq *http.Request, kind Kind) (*request, *outcome.Refusal) {
	service := mux.Vars(rq)["service"]
	req := &request{
		header: rq.Header,
		id:     rq.Header.Get(message.RequestIDHeader),
		kind:   kind,
		method: rq.Method,
	}
	req.keyed = rq.Header.Get(message.IdempotencyKeyHeader) != ""
	if re := req.checkSizes(); re != nil {
		return req, re
	}
	if req.id == "" {
		req.id = uuid.NewString()
	}
	po, err := se.ProfileFunc(service, rq.Header.Get(message.ProfileHeader))
	if err != nil {
		return req, req.unknownProfile(err)
	}
	req.policy = po.withDefaults()
	var li finding.List
	if req.policy.Kind != "" && req.policy.Kind != kind {
		li.Add("", 0, "path", "service %s is of kind %s, which is called by another path", service, po.Kind)
	}
	req.readHeaders(&li)
	req.readBody(rw, rq, &li)
	req.digest = quarantine.DigestOf("", service, rq.Method, rq.URL.RequestURI(), req.body)
	if err := li.Err(); err != nil {
		return req, req.refusal(outcome.BadRequest, err.Error())
	}
	return req, nil
}

// unknownProfile returns the refusal of a call whose profile is not in force.
func (req *request) unknownProfile(err error) *outcome.Refusal {
	var re *outcome.Refusal
	if !errors.As(err, &re) {
		return req.refusal(outcome.UnknownProfile, err.Error())
	}
	out := req.refusal(re.Code, re.Message)
	out.RetryAfter = re.RetryAfter
	return out
}

// checkSizes refuses headers that are too large to be looked at.
func (req *request) checkSizes() *outcome.Refusal {
	var li finding.List
	for _, name := range []string{
		message.DeadlineHeader, message.IdempotencyKeyHeader, message.ProfileHeader,
		message.RepeatableHeader, message.RequestIDHeader,
	} {
		if size := len(req.header.Get(name)); size > maxHeaderSize {
			li.Add("", 0, "header "+name, "%d bytes, at most %d", size, maxHeaderSize)
		}
	}
	if li.Err() == nil {
		return nil
	}
	if len(req.id) > maxHeaderSize {
		req.id = ""
	}
	return req.refusal(outcome.BadRequest, li.Err().Error())
}

// readHeaders reads the headers that say how the call is to be served.
func (req *request) readHeaders(li *finding.List) {
	req.deadline = time.Now().Add(req.policy.Deadline)
	if text := req.header.Get(message.DeadlineHeader); text != "" {
		left, err := time.ParseDuration(text)
		switch {
		case err != nil || left <= 0:
			li.Add("", 0, "header "+message.DeadlineHeader, "%q is no duration above 0 such as 250ms", text)
		default:
			req.deadline = time.Now().Add(min(left, req.policy.Deadline))
		}
	}
	switch text := req.header.Get(message.RepeatableHeader); text {
	case "":
		req.repeatable = req.policy.Repeatable
	case yes:
		req.repeatable = true
	case no:
	default:
		li.Add("", 0, "header "+message.RepeatableHeader, "%q is neither yes nor no", text)
	}
	if req.keyed {
		req.readKey(li)
	}
}

// readKey reads the caller's key. A request that is repeatable needs none, and
// its key is passed over whatever its form.
func (req *request) readKey(li *finding.List) {
	place := "header " + message.IdempotencyKeyHeader
	if req.repeatable {
		req.keyed = false
		return
	}
	if req.kind == Engine {
		li.Add("", 0, place, "engines take no keys")
		return
	}
	ke, err := idempotency.ParseKey(req.header.Get(message.IdempotencyKeyHeader))
	if err != nil {
		li.Add("", 0, place, "%v", err)
		req.keyed = false // nothing that may not be repeated has ever run with it
		return
	}
	req.key = ke
}

// readBody reads the body whole, so that none that is cut short or too large
// is ever passed on in part.
func (req *request) readBody(rw http.ResponseWriter, rq *http.Request, li *finding.List) {
	// Not every connection has deadlines; where it has none, the server's own
	// bounds hold.
	_ = http.NewResponseController(rw).SetReadDeadline(time.Now().Add(readTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, int64(req.policy.MaxBodySize)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		li.Add("", 0, "body", "more than %d bytes", req.policy.MaxBodySize)
	case err != nil:
		li.Add("", 0, "body", "cut short after %d bytes: %v", len(body), err)
	}
	_ = http.NewResponseController(rw).SetReadDeadline(time.Time{})
	req.body = body
}

// servicePath returns the escaped path and query that a plain service sees,
// without the leading slash.
func servicePath(rq *http.Request) string {
	prefix := strings.Replace(strings.TrimSuffix(message.ServicePath, "{path:.*}"), "{service}", mux.Vars(rq)["service"], 1)
	path := strings.TrimPrefix(rq.URL.EscapedPath(), prefix)
	if rq.URL.RawQuery != "" {
		path += "?" + rq.URL.RawQuery
	}
	return path
}
