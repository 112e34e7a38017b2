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

// cancelTimeout bounds the word to an engine that a request is given up.
const cancelTimeout = 5 * time.Second

// ErrStalled means that an engine sent no token within its bound.
var ErrStalled = errors.New("engine sends no tokens")

// stream lets the engine answer a request and gives each chunk to take. A
// chunk of another request is dropped and counted. An engine that sends
// nothing for stall is given up on.
func (en *endpoint) stream(
	ctx context.Context, req engine.GenerateRequest, stall time.Duration, take func(engine.Chunk) error,
) (err error) {
	ctx, sp := telemetry.Start(ctx, endpointSpan)
	defer func() { telemetry.End(sp, err) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A connection that nothing comes over any more looks like an engine that
	// thinks. The bound turns it into an error, and the work can go on
	// elsewhere.
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
		re.Fate = outcome.Unknown.String() // it has run, in part
		return re
	default:
		return err
	}
}

// cancel tells the engine to stop a request, in the background. The engine
// would otherwise spend its steps on an answer that nobody reads.
func (en *endpoint) cancel(ctx context.Context, id string) {
	if en.engine.CancelFunc == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer cancel()
		// The engine may be gone, and the request with it.
		_ = en.engine.CancelFunc(ctx, id)
	}()
}

// serveStream passes a live stream on, chunk by chunk. Until the first chunk it
// can still refuse; after it, an answer that can't go on is broken off, so that
// its reader can tell it from a whole one.
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
	req.ID = en.unique(ca.id)
	ctx, cancel := ca.bound(rq.Context())
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
		at.refuse(rw, en, en.refusalOf(ctx, ca.id, err))
	default:
		panic(http.ErrAbortHandler) // ends the connection without the answer's end
	}
}

// stream queues a live stream and sends its chunks to the channel.
func (at *Attendant) stream(
	ctx context.Context, en *endpoint, ca call, req engine.GenerateRequest, chunks chan<- engine.Chunk,
) error {
	if !at.work.enter() {
		return leaving(ca.id)
	}
	defer at.work.exit()
	ti, err := en.enter(ctx, at.live(ca))
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
	started bool // the answer's head is out
}

// run writes chunks until the stream is done, and says why it ended.
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
			err = re.beat()
		case err := <-done:
			return err
		}
		if err != nil {
			cancel() // the reader is gone
		}
	}
}

// write writes a chunk.
func (re *relay) write(ch engine.Chunk) error {
	re.started = true
	return re.lines.write(ch)
}

// beat shows that the stream lives: before the first chunk by an interim
// answer, so that a refusal is still possible, and then by an empty chunk.
func (re *relay) beat() error {
	if !re.started {
		re.header.WriteHeader(http.StatusProcessing)
		return nil
	}
	return re.lines.write(engine.Chunk{First: re.next, RequestID: re.id})
}
