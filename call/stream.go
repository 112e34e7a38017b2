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

// writeTimeout bounds the writing of one chunk to a caller. One who no longer
// reads would otherwise hold the engine for good.
const writeTimeout = 10 * time.Second

// errGap means that a chunk doesn't follow the one before it: tokens were
// lost on the way.
var errGap = errors.New("tokens are missing from the stream")

// A GenerateAnswer is a whole answer of an engine.
type GenerateAnswer struct {
	RequestID string           `json:"request-id"`
	Segments  []engine.Segment `json:"segments"` // in order, by the version that made them
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

// A stream is the answer of an engine to one call, over all its attempts.
type stream struct {
	emit func(engine.Chunk) error // to the caller
	made []engine.Token
	want engine.GenerateRequest
}

// serveGenerate serves a call of an engine with its whole answer.
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
	// The caller may be gone; the answer has nowhere else to go then.
	_ = json.NewEncoder(rw).Encode(an)
}

// serveStream serves a call of an engine with lines of chunks as they come. An
// answer that can't go on after its first chunk is broken off, so that its
// reader can tell it from a whole one.
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
		// Not every connection has deadlines; where it has none, the server's
		// own bounds hold.
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := encoder.Encode(ch); err != nil {
			return err
		}
		return control.Flush()
	})
	switch {
	case re == nil:
	case started:
		panic(http.ErrAbortHandler) // ends the connection without the answer's end
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
	if err := json.Unmarshal(req.body, &st.want); err != nil {
		return req, req.refusal(outcome.BadRequest, "body: "+err.Error())
	}
	st.made = append(st.made, st.want.Resume...)
	ctx, sp := telemetry.Start(ctx, "generate",
		attribute.String("request-id", req.id), attribute.String("service", req.policy.Service))
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	ru := &run{request: req, server: se}
	re = ru.each(ctx, func(ctx context.Context, at *attempt) error {
		return se.follow(ctx, at, st)
	})
	if re != nil {
		telemetry.End(sp, re)
		return req, re
	}
	telemetry.End(sp, nil)
	answered(req.policy.Service).Inc()
	return req, nil
}

// follow makes one attempt at a stream, from the tokens that are already
// there.
func (se *Server) follow(ctx context.Context, at *attempt, st *stream) error {
	want := st.want
	at.lines = true
	want.ID = at.id
	want.Resume = st.made
	if len(st.made) > len(st.want.Resume) {
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
	ex.finish()
	return nil
}

// read passes the chunks of one attempt on until the last.
func (st *stream) read(at *attempt, body io.Reader) error {
	decoder := json.NewDecoder(body)
	for {
		var ch engine.Chunk
		if err := decoder.Decode(&ch); err != nil {
			return errors.Wrap(err, "stream broke off")
		}
		if ch.RequestID != at.id {
			crossed(at.call.policy.Service).Inc()
			continue
		}
		if err := st.take(at, ch); err != nil {
			return err
		}
		if ch.Done {
			return nil
		}
	}
}

// take passes a chunk on, if it follows what is there. A chunk that comes
// twice would double tokens, one that is lost would leave a gap: both show in
// the position of the first token. What is there already is cut off; a gap
// ends the attempt, and the next resumes before it.
func (st *stream) take(at *attempt, ch engine.Chunk) error {
	next := len(st.made)
	if len(ch.Tokens) > 0 {
		if ch.First > next {
			return errors.Wrapf(errGap, "chunk at %d, want %d", ch.First, next)
		}
		ch.Tokens = ch.Tokens[min(next-ch.First, len(ch.Tokens)):]
	}
	ch.First = next
	ch.RequestID = at.call.id
	st.made = append(st.made, ch.Tokens...)
	if err := st.emit(ch); err != nil {
		return errors.CombineErrors(errCallerGone, err)
	}
	return nil
}
