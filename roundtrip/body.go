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
	closed     func() // called by Close
	limit      int64  // maximum size, in bytes
	remaining  int64  // remaining bytes up to limit
	untilClose bool   // delimited by the end of the connection, so that truncation can't be detected
}

// newResponseBody returns the body of a response, at most limit bytes, whose read errors wrap broken. It calls closed when
// the body is no longer read.
func newResponseBody(resp *http.Response, broken error, limit int64, closed func()) io.ReadCloser {
	if resp.Body == http.NoBody {
		closed()
		return resp.Body
	}
	return &responseBody{
		ReadCloser: resp.Body, broken: broken, closed: closed, limit: limit, remaining: limit,
		untilClose: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}
}

// Read implements io.Reader.
func (rb *responseBody) Read(buf []byte) (int, error) {
	n, err := rb.ReadCloser.Read(buf)
	rb.remaining -= int64(n)
	switch {
	case rb.remaining < 0:
		return n, errors.Wrapf(rb.broken, "answer is larger than %d bytes", rb.limit)
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !rb.untilClose:
		return n, io.EOF
	default:
		return n, errors.Wrapf(rb.broken, "read the answer: %v", err)
	}
}

// Close implements io.Closer. If the body has not been read to its end, it closes the connection.
func (rb *responseBody) Close() error {
	defer rb.closed()
	return rb.ReadCloser.Close()
}
