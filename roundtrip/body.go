package roundtrip

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// A responseBody is a response body whose read errors wrap broken. It fails if the body is
// truncated or too large.
type responseBody struct {
	io.ReadCloser
	broken     error
	untilClose bool  // delimited by the end of the connection, so that truncation can't be detected
	remaining  int64 // remaining bytes up to MaxAnswerSize
}

// newResponseBody returns the body of a response, whose read errors wrap broken.
func newResponseBody(resp *http.Response, broken error) io.ReadCloser {
	if resp.Body == http.NoBody {
		return resp.Body
	}
	return &responseBody{
		ReadCloser: resp.Body,
		broken:     broken,
		untilClose: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
		remaining:  MaxAnswerSize,
	}
}

// Read implements io.Reader.
func (rb *responseBody) Read(buf []byte) (int, error) {
	n, err := rb.ReadCloser.Read(buf)
	rb.remaining -= int64(n)
	switch {
	case rb.remaining < 0:
		return n, errors.Wrapf(rb.broken, "answer is larger than %d bytes", int64(MaxAnswerSize))
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !rb.untilClose:
		return n, io.EOF
	default:
		return n, errors.Wrapf(rb.broken, "read the answer: %v", err)
	}
}
