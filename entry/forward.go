package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/telemetry"
)

// forwardedHeader marks a forwarded request, so that two entries that disagree about the
// owner don't forward it back and forth.
const forwardedHeader = "Wisteriacroft-Forwarded"

// A forwarder forwards a trainer's request to the entry that owns its batches. All of a
// trainer's requests are idempotent, so the trainer can retry one that fails.
type forwarder struct {
	client *http.Client
}

// forward sends the request to the entry at address and copies its response.
func (fo *forwarder) forward(rw http.ResponseWriter, req trainerRequest, address string) error {
	if req.http.Header.Get(forwardedHeader) != "" {
		re := outcome.NewRefusal(outcome.Refused, "", "the owner of the trainer's batches is changing")
		re.RetryAfter = ownerRetryAfter.String()
		return re
	}
	rs, err := fo.send(req.http.Context(), req, address)
	if err != nil {
		re := outcome.NewRefusal(outcome.OutcomeUnknown, "", "owner at "+address+": "+err.Error())
		re.RetryAfter = ownerRetryAfter.String()
		return re
	}
	defer rs.Body.Close()
	return copyResponse(rw, rs)
}

// send sends the request to the entry at address, marked as forwarded.
func (fo *forwarder) send(ctx context.Context, req trainerRequest, address string) (*http.Response, error) {
	url := "http://" + address + req.http.URL.Path
	out, err := http.NewRequestWithContext(ctx, req.http.Method, url, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	out.Header.Set(forwardedHeader, "1")
	telemetry.Inject(ctx, out.Header)
	return fo.client.Do(out)
}

// copyResponse copies a response. If reading it fails, the connection is aborted, so that
// the trainer doesn't take a truncated response for a complete one.
func copyResponse(rw http.ResponseWriter, rs *http.Response) error {
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if value := rs.Header.Get(name); value != "" {
			rw.Header().Set(name, value)
		}
	}
	rw.WriteHeader(rs.StatusCode)
	if _, err := io.Copy(rw, rs.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// writeRefusal writes the refusal that err wraps, or else one with an unknown outcome.
func writeRefusal(rw http.ResponseWriter, err error) {
	var re *outcome.Refusal
	if !errors.As(err, &re) {
		re = outcome.NewRefusal(outcome.OutcomeUnknown, "", err.Error())
	}
	message.WriteRefusal(rw, re)
}
