package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"wisteriacroft/batch"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/profile"
	"wisteriacroft/telemetry"
)

// ownerRetryAfter is the retry delay for a trainer while the owner of its batches is
// unknown.
const ownerRetryAfter = time.Second

// A trainers serves the trainers' requests, or forwards them to the entry that owns the
// trainer's batches.
type trainers struct {
	forwarder       *forwarder
	shutdownStarted <-chan struct{} // closed when the shutdown starts
	log             *logrus.Entry
	owner           *batch.Owner
	ownership       *ownership
	profiles        *profile.Replica
}

func (tr *trainers) register(ro *mux.Router) {
	ro.HandleFunc(message.StepPath, tr.serve("trainer-step", maxStepSize, tr.step)).Methods(http.MethodPut)
	ro.HandleFunc(message.PullPath, tr.serve("trainer-pull", maxPullSize, tr.pull)).Methods(http.MethodPost)
	ro.HandleFunc(message.BatchPath, tr.serve("trainer-batch", maxPullSize, tr.batch)).Methods(http.MethodGet)
}

// A trainerRequest is a request of a trainer whose body has been read.
type trainerRequest struct {
	body    []byte
	http    *http.Request
	trainer string
	vars    map[string]string
}

// An ownerHandler handles a request at the owner. An *outcome.Refusal is sent as the
// response; any other error is sent as a refusal with an unknown outcome.
type ownerHandler func(rw http.ResponseWriter, req trainerRequest) error

// serve returns the HTTP handler that answers a request, or writes its refusal, within a
// span.
func (tr *trainers) serve(span string, limit int64, handle ownerHandler) http.HandlerFunc {
	return func(rw http.ResponseWriter, rq *http.Request) {
		ctx, sp := telemetry.Start(telemetry.Extract(rq.Context(), rq.Header), span)
		rq = rq.WithContext(ctx)
		err := tr.handleOrForward(rw, rq, limit, handle)
		if err != nil {
			tr.log.WithError(err).WithField("path", rq.URL.Path).Debug("trainer request refused")
			writeRefusal(rw, err)
		}
		telemetry.End(sp, err)
	}
}

// handleOrForward handles a request here or forwards it to the owner of the trainer's batches.
func (tr *trainers) handleOrForward(rw http.ResponseWriter, rq *http.Request, limit int64, handle ownerHandler) error {
	body, refusal := readBody(rw, rq, limit)
	if refusal != nil {
		return refusal
	}
	vars := mux.Vars(rq)
	req := trainerRequest{body: body, http: rq, trainer: vars["trainer"], vars: vars}
	if !tr.listed(req.trainer, "") {
		return outcome.NewRefusal(outcome.UnknownProfile, "", "no profile in force names trainer "+strconv.Quote(req.trainer))
	}
	address, err := tr.ownership.find(rq.Context(), trainerLeasePrefix+req.trainer)
	if err != nil {
		re := outcome.NewRefusal(outcome.Refused, "", err.Error())
		re.RetryAfter = ownerRetryAfter.String()
		return re
	}
	if address != tr.ownership.address {
		return tr.forwarder.forward(rw, req, address)
	}
	return handle(rw, req)
}

// listed reports whether the samples profile called name, or any if name is "", lists the
// trainer.
func (tr *trainers) listed(trainer, name string) bool {
	for _, pr := range tr.profiles.Current().Trainer(trainer) {
		if name == "" || pr.Name() == name {
			return true
		}
	}
	return false
}

// step is the ownerHandler that accepts a step.
func (tr *trainers) step(rw http.ResponseWriter, req trainerRequest) error {
	step, err := strconv.Atoi(req.vars["step"])
	if err != nil {
		return badRequest(errors.Wrap(err, "step"))
	}
	sr, err := decodeStep(req.body)
	if err != nil {
		return badRequest(err)
	}
	if !tr.listed(req.trainer, sr.Profile) {
		return outcome.NewRefusal(outcome.UnknownProfile, "",
			"profile: no samples profile "+strconv.Quote(sr.Profile)+" in force names trainer "+strconv.Quote(req.trainer))
	}
	resp, err := tr.owner.Submit(req.http.Context(), req.trainer, step, sr)
	if err != nil {
		return err
	}
	return writeJSON(rw, http.StatusOK, resp)
}

// pull is the ownerHandler that returns the next batch.
func (tr *trainers) pull(rw http.ResponseWriter, req trainerRequest) error {
	pr, err := decodePull(req.body)
	if err != nil {
		return badRequest(err)
	}
	resp, err := tr.pullUntilShutdown(req, pr)
	if err != nil {
		return err
	}
	return writeJSON(rw, http.StatusOK, resp)
}

// pullUntilShutdown pulls, and ends the wait with a retry delay as soon as the entry leaves.
//
// Otherwise a pull, which may wait for a minute, would delay the shutdown past its grace
// period and then be aborted.
func (tr *trainers) pullUntilShutdown(req trainerRequest, pr message.PullRequest) (message.PullResponse, error) {
	ctx, cancel := context.WithCancel(req.http.Context())
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-tr.shutdownStarted:
			cancel()
		case <-done:
		}
	}()
	resp, err := tr.owner.Pull(ctx, req.trainer, pr)
	if err != nil && ctx.Err() != nil && req.http.Context().Err() == nil {
		return message.PullResponse{RetryAfter: ownerRetryAfter.String()}, nil
	}
	return resp, err
}

// batch is the ownerHandler that sends a batch's payload.
func (tr *trainers) batch(rw http.ResponseWriter, req trainerRequest) error {
	rw.Header().Set("Content-Type", "application/x-ndjson")
	wr := &countingWriter{ResponseWriter: rw}
	err := tr.owner.Payload(req.http.Context(), req.trainer, req.vars["batch"], wr)
	if err != nil && wr.written > 0 {
		// The header is already sent, so abort the connection: the trainer sees a
		// truncated body. A normal end would look like a complete batch.
		panic(http.ErrAbortHandler)
	}
	return err
}

// A countingWriter counts the bytes written to the response body.
type countingWriter struct {
	http.ResponseWriter
	written int64
}

// Write implements io.Writer.
func (co *countingWriter) Write(data []byte) (int, error) {
	n, err := co.ResponseWriter.Write(data)
	co.written += int64(n)
	return n, err
}

// writeJSON writes value as a JSON response.
func writeJSON(rw http.ResponseWriter, status int, value any) error {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	return errors.Wrap(json.NewEncoder(rw).Encode(value), "write the answer")
}
