package call

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/roundtrip"
	"wisteriacroft/telemetry"
)

// Errors of an exchange with an attendant.
var (
	errBroken             = errors.New("connection to the attendant broke")
	errMismatchedResponse = errors.New("answer belongs to another request")
	errNotSent            = errors.New("no connection to the attendant")
	errStalled            = errors.New("connection to the attendant fell silent")
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	maxIdle         = 64       // idle connections per attendant
	maxAnswerHeader = 64 << 10 // bytes
	pingPath        = "/healthz"
)

// A client sends requests to attendants. Its transport never repeats a request.
type client struct {
	http         *http.Client
	stallTimeout time.Duration // maximum time without progress on a connection
}

// newClient returns a client that connects with dial, or over TCP if dial is nil.
func newClient(dial func(context.Context, string, string) (net.Conn, error), progress time.Duration) client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return client{
		http: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				DialContext:            dial,
				DisableCompression:     true,
				IdleConnTimeout:        idleTimeout,
				MaxIdleConnsPerHost:    maxIdle,
				MaxResponseHeaderBytes: maxAnswerHeader,
			},
		},
		stallTimeout: progress,
	}
}

// An exchange is one request to an attendant, with a timer for its progress.
type exchange struct {
	answer       *http.Response
	cancel       context.CancelCauseFunc
	cause        func() error  // why this side canceled the exchange, or nil
	sent         bool          // there was a connection, so bytes may have been sent
	stallTimer   *time.Timer   // cancels the exchange unless reset by progress
	stallTimeout time.Duration // progress timeout
}

// do sends a request and returns after the header of its answer. After any error except errNotSent
// the request may have run. The caller closes the exchange unless there is an error.
//
// A connection can stall for good, for example when a device between its ends has lost its state,
// and TCP takes minutes to detect it. Attendants send progress every half second, so a connection
// without any for the progress timeout is abandoned, but a slow answer is not.
func (cl client) do(ctx context.Context, rq *http.Request) (*exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	ex := &exchange{
		cancel:       cancel,
		cause:        func() error { return context.Cause(ctx) },
		stallTimeout: cl.stallTimeout,
	}
	ex.stallTimer = time.AfterFunc(cl.stallTimeout, func() {
		cancel(errors.Wrapf(errStalled, "nothing for %s", cl.stallTimeout))
	})
	trace := &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			ex.noteProgress()
			return nil
		},
		GotConn: func(httptrace.GotConnInfo) { ex.sent = true },
	}
	rq = rq.WithContext(httptrace.WithClientTrace(ctx, trace))
	telemetry.Inject(ctx, rq.Header)
	forbidResend(rq)
	an, err := cl.http.Do(rq) //nolint:bodyclose // closed by exchange.close
	if err != nil {
		err = ex.wrapError(err)
		ex.close()
		if !ex.sent {
			return ex, errors.Wrapf(errNotSent, "%v", err)
		}
		return ex, err
	}
	ex.answer = an
	ex.noteProgress()
	return ex, nil
}

// forbidResend prevents the transport from repeating a request.
//
// When a reused connection breaks, the transport repeats requests that it considers idempotent, by
// method or by an idempotency key, if they have no body or one that can be rewound. Such a call
// would run twice. A body that can't be rewound prevents this.
func forbidResend(rq *http.Request) {
	rq.GetBody = nil
	if rq.Body == nil || rq.Body == http.NoBody {
		rq.Body = io.NopCloser(emptyBody{})
	}
}

// An emptyBody is an empty body that the transport does not recognize as http.NoBody.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// noteProgress resets the progress timer.
func (ex *exchange) noteProgress() { ex.stallTimer.Reset(ex.stallTimeout) }

// wrapError returns the reason for a failed exchange.
func (ex *exchange) wrapError(err error) error {
	if cause := ex.cause(); cause != nil {
		return cause
	}
	return errors.Wrapf(errBroken, "%v", err)
}

// Read reads the answer's body. It returns io.EOF only if the body is complete by its framing.
func (ex *exchange) Read(data []byte) (int, error) {
	n, err := ex.answer.Body.Read(data)
	if n > 0 {
		ex.noteProgress()
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && !ex.closeDelimited() {
		return n, io.EOF
	}
	return n, ex.wrapError(err)
}

// closeDelimited reports whether only the close of the connection ends the body, so that a truncated body
// can't be detected.
func (ex *exchange) closeDelimited() bool {
	return ex.answer.ContentLength < 0 && len(ex.answer.TransferEncoding) == 0 && ex.answer.Body != http.NoBody
}

// drain reads the rest of an answer, so that its connection can be reused.
func (ex *exchange) drain() { roundtrip.Finish(ex.answer.Body, func() { ex.cancel(nil) }) }

// close ends the exchange. If the answer was not read to its end, the connection is closed.
func (ex *exchange) close() {
	ex.stallTimer.Stop()
	ex.cancel(nil)
	if ex.answer != nil {
		_ = ex.answer.Body.Close()
	}
}

// ping reports whether the process at an address answers over a new connection, with any status. It
// closes idle connections, since they may have stalled too.
func (cl client) ping(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, cl.stallTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pingPath, nil)
	if err != nil {
		return false
	}
	cl.http.CloseIdleConnections()
	rq.Close = true
	an, err := cl.http.Do(rq)
	if err != nil {
		return false
	}
	_ = an.Body.Close()
	return true
}
