package attendant

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"wisteriacroft/engine"
	"wisteriacroft/outcome"
	"wisteriacroft/telemetry"
)

// cancelTimeout is the timeout of a cancel call to an engine.
const cancelTimeout = 5 * time.Second

// ErrStalled means that an engine sent no token within the stall timeout.
var ErrStalled = errors.New("engine sends no tokens")

// stream sends a request to the engine and passes each chunk to take. A chunk of another request is
// dropped and counted. If no chunk arrives for stall, the request fails with ErrStalled.
func (en *endpoint) stream(
	ctx context.Context, req engine.GenerateRequest, stall time.Duration, take func(engine.Chunk) error,
) (err error) {
	ctx, sp := telemetry.Start(ctx, endpointSpan)
	defer func() { telemetry.End(sp, err) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A stalled connection looks like a slow engine. The timeout makes it an error, so that another
	// engine can continue.
	watchdog := time.AfterFunc(stall, func() {
		cancel(errors.Wrapf(ErrStalled, "%s: nothing for %s", en.name, stall))
	})
	defer watchdog.Stop()
	err = en.engine.GenerateFunc(ctx, req, func(ch engine.Chunk) error {
		err := take(ch)
		if errors.Is(err, engine.ErrMismatchedResponse) {
			en.metrics.crossed.Inc()
			return nil
		}
		if err == nil {
			watchdog.Reset(stall)
			en.observeChunk(ch.Version, time.Now())
		}
		return err
	})
	if err == nil {
		return nil
	}
	if errors.Is(err, engine.ErrMismatchedResponse) {
		en.metrics.crossed.Inc()
	}
	if !errors.Is(err, engine.ErrNotSent) {
		en.cancel(ctx, req.ID)
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrStalled):
		return cause
	case errors.Is(cause, errLeaving):
		re := leaving(req.ID)
		re.Fate = outcome.Unknown.String() // part of it has run
		return re
	default:
		return err
	}
}

// cancel asks the engine, in the background, to stop a request whose answer is no longer read.
func (en *endpoint) cancel(ctx context.Context, id string) {
	if en.engine.CancelFunc == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer cancel()
		// On error the engine or the request may have ended.
		_ = en.engine.CancelFunc(ctx, id)
	}()
}

// serveStream forwards a live stream chunk by chunk. It can refuse the request until the first
// chunk. After an error later on the connection is aborted, so that the reader can detect the
// truncation.
func (at *Attendant) serveStream(rw http.ResponseWriter, rq *http.Request) {
	en := at.endpoint(mux.Vars(rq)["endpoint"])
	ca, err := newCall(rq.Header)
	var req engine.GenerateRequest
	if err == nil {
		err = at.decode(rw, rq, &req)
	}
	if err == nil && (en == nil || en.engine == nil) {
		err = errors.New("no such engine here")
	}
	if err != nil {
		at.refuse(rw, en, outcome.NewRefusal(outcome.BadRequest, ca.id, err.Error()))
		return
	}
	req.ID = en.uniqueID(ca.id)
	ctx, cancel := ca.withDeadline(rq.Context())
	defer cancel()
	chunks := make(chan engine.Chunk)
	done := make(chan error, 1)
	go func() { done <- at.stream(ctx, en, ca, req, chunks) }()
	at.setHeader(rw.Header(), en)
	st := &relay{header: rw, lines: newLines[engine.Chunk](rw), id: ca.id, next: len(req.Resume)}
	err = st.run(chunks, done, at.options.ProgressEvery, cancel)
	switch {
	case err == nil:
	case !st.started:
		at.refuse(rw, en, en.callRefusal(ctx, ca.id, err))
	default:
		panic(http.ErrAbortHandler) // closes the connection before the end of the answer
	}
}

// stream queues a live stream and sends its chunks to a channel.
func (at *Attendant) stream(
	ctx context.Context, en *endpoint, ca call, req engine.GenerateRequest, chunks chan<- engine.Chunk,
) error {
	if !at.inflight.enter() {
		return leaving(ca.id)
	}
	defer at.inflight.exit()
	ti, err := en.admit(ctx, at.liveRequest(ca))
	if err != nil {
		return err
	}
	ti.Started()
	sq := &sequence{id: req.ID, next: len(req.Resume)}
	err = en.stream(ctx, req, at.options.StallBound, func(ch engine.Chunk) error {
		if err := sq.check(ch); err != nil {
			return err
		}
		sq.next += len(ch.Tokens)
		ch.RequestID = ca.id
		select {
		case chunks <- ch:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	ti.Release(gateResult(ctx, err))
	return err
}

// A relay writes the chunks of a live stream to its reader.
type relay struct {
	header  http.ResponseWriter
	id      string
	lines   *lines[engine.Chunk]
	next    int
	started bool // the first chunk has been written
}

// run writes chunks until the stream ends and returns its error.
func (re *relay) run(chunks <-chan engine.Chunk, done <-chan error, every time.Duration, cancel func()) error {
	ti := time.NewTicker(every)
	defer ti.Stop()
	for {
		var err error
		select {
		case ch := <-chunks:
			ti.Reset(every)
			err = re.write(ch)
			re.next += len(ch.Tokens)
		case <-ti.C:
			err = re.sendProgress()
		case err := <-done:
			return err
		}
		if err != nil {
			cancel() // the reader has disconnected
		}
	}
}

// write writes a chunk.
func (re *relay) write(ch engine.Chunk) error {
	re.started = true
	return re.lines.write(ch)
}

// sendProgress sends progress: an interim response before the first chunk, so that a refusal is still
// possible, and an empty chunk after it.
func (re *relay) sendProgress() error {
	if !re.started {
		re.header.WriteHeader(http.StatusProcessing)
		return nil
	}
	return re.lines.write(engine.Chunk{First: re.next, RequestID: re.id})
}
