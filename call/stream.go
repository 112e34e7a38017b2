package call

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/telemetry"
)

// writeTimeout is the timeout for writing one chunk. A caller that stops reading must not block the
// engine.
const writeTimeout = 10 * time.Second

// errGap means that tokens are missing before a chunk.
var errGap = errors.New("tokens are missing from the stream")

// A GenerateAnswer is the whole answer of an engine.
type GenerateAnswer struct {
	RequestID string           `json:"request-id"`
	Segments  []engine.Segment `json:"segments"` // in order
	Tokens    []engine.Token   `json:"tokens"`
}

// add appends a chunk.
func (an *GenerateAnswer) add(ch engine.Chunk) {
	an.Tokens = append(an.Tokens, ch.Tokens...)
	last := len(an.Segments) - 1
	switch {
	case len(ch.Tokens) == 0:
	case last >= 0 && an.Segments[last].Version == ch.Version:
		an.Segments[last].Tokens += len(ch.Tokens)
	default:
		an.Segments = append(an.Segments, engine.Segment{Tokens: len(ch.Tokens), Version: ch.Version})
	}
}

// A stream is the state of an engine's answer over all attempts.
type stream struct {
	emit     func(engine.Chunk) error // forwards a chunk to the caller
	received []engine.Token
	request  engine.GenerateRequest
}

// serveGenerate serves a call of an engine with a single JSON answer.
func (se *Server) serveGenerate(rw http.ResponseWriter, rq *http.Request) {
	var an GenerateAnswer
	req, re := se.generate(rw, rq, func(ch engine.Chunk) error {
		an.add(ch)
		return nil
	})
	if re != nil {
		se.refuse(rw, req.policy.Service, re)
		return
	}
	an.RequestID = req.id
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set(message.FateHeader, outcome.Ran.String())
	rw.Header().Set(message.RequestIDHeader, req.id)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(rw).Encode(an)
}

// serveStream serves a call of an engine with JSON lines of chunks. If the answer fails after its
// first chunk, the connection is aborted, so that the caller can detect the truncation.
func (se *Server) serveStream(rw http.ResponseWriter, rq *http.Request) {
	var started bool
	encoder := json.NewEncoder(rw)
	control := http.NewResponseController(rw)
	req, re := se.generate(rw, rq, func(ch engine.Chunk) error {
		if !started {
			started = true
			rw.Header().Set("Content-Type", "application/jsonl")
			rw.Header().Set(message.RequestIDHeader, ch.RequestID)
		}
		// Not every connection supports deadlines; the others have only the server's own timeouts.
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := encoder.Encode(ch); err != nil {
			return err
		}
		return control.Flush()
	})
	switch {
	case re == nil:
	case started:
		panic(http.ErrAbortHandler) // closes the connection before the end of the answer
	default:
		se.refuse(rw, req.policy.Service, re)
	}
}

// generate reads a call of an engine and emits the chunks of its answer.
func (se *Server) generate(rw http.ResponseWriter, rq *http.Request, emit func(engine.Chunk) error) (*request, *outcome.Refusal) {
	ctx := telemetry.Extract(rq.Context(), rq.Header)
	req, re := se.read(rw, rq, Engine)
	if re != nil {
		return req, re
	}
	st := &stream{emit: emit}
	if err := json.Unmarshal(req.body, &st.request); err != nil {
		return req, req.refusal(outcome.BadRequest, "body: "+err.Error())
	}
	st.received = append(st.received, st.request.Resume...)
	ctx, sp := telemetry.Start(ctx, "generate",
		attribute.String("request-id", req.id), attribute.String("service", req.policy.Service))
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	ru := &run{request: req, server: se}
	re = ru.runAttempts(ctx, func(ctx context.Context, at *attempt) error {
		return se.attemptStream(ctx, at, st)
	})
	if re != nil {
		telemetry.End(sp, re)
		return req, re
	}
	telemetry.End(sp, nil)
	answered(req.policy.Service).Inc()
	return req, nil
}

// attemptStream makes one attempt at a stream, resuming after the tokens received so far.
func (se *Server) attemptStream(ctx context.Context, at *attempt, st *stream) error {
	want := st.request
	at.echoPerLine = true
	want.ID = at.id
	want.Resume = st.received
	if len(st.received) > len(st.request.Resume) {
		resumed(at.call.policy.Service).Inc()
	}
	body, err := json.Marshal(want)
	if err != nil {
		return errors.Wrapf(errNotSent, "%v", err)
	}
	he := http.Header{"Content-Type": {"application/json"}}
	ex, err := se.send(ctx, at, http.MethodPost, at.path(message.StreamPath, ""), body, he)
	if err != nil {
		return err
	}
	defer ex.close()
	if ex.answer.StatusCode != http.StatusOK {
		return ex.readRefusal()
	}
	if err := st.read(at, ex); err != nil {
		return err
	}
	ex.drain()
	return nil
}

// read forwards the chunks of one attempt up to the last.
func (st *stream) read(at *attempt, body io.Reader) error {
	decoder := json.NewDecoder(body)
	for {
		var ch engine.Chunk
		if err := decoder.Decode(&ch); err != nil {
			return errors.Wrap(err, "stream broke off")
		}
		if ch.RequestID != at.id {
			mismatched(at.call.policy.Service).Inc()
			continue
		}
		if err := st.forward(at, ch); err != nil {
			return err
		}
		if ch.Done {
			return nil
		}
	}
}

// forward forwards the tokens of a chunk that are new. By the position of its first token it drops
// tokens that were received before, and returns errGap if some are missing; the next attempt then
// resumes before the gap.
func (st *stream) forward(at *attempt, ch engine.Chunk) error {
	next := len(st.received)
	if len(ch.Tokens) > 0 {
		if ch.First > next {
			return errors.Wrapf(errGap, "chunk at %d, want %d", ch.First, next)
		}
		ch.Tokens = ch.Tokens[min(next-ch.First, len(ch.Tokens)):]
	}
	ch.First = next
	ch.RequestID = at.call.id
	st.received = append(st.received, ch.Tokens...)
	if err := st.emit(ch); err != nil {
		return errors.CombineErrors(errCallerDisconnected, err)
	}
	return nil
}
