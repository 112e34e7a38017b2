package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/batch"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// Limits of trainers' requests.
const (
	maxMembers     = maxSamples // of one group
	maxPullSize    = 64 << 10   // bytes
	maxPullWait    = time.Minute
	maxSamples     = batch.MaxSamples // of one step
	maxStepSize    = 64 << 20         // bytes
	maxTokensBound = 1 << 20          // of one sample
)

// decodeStep decodes and validates a trainer's request for a step. Errors name the byte
// offset or the field.
func decodeStep(data []byte) (message.StepRequest, error) {
	var req message.StepRequest
	if err := decodeStrict(data, &req); err != nil {
		return message.StepRequest{}, err
	}
	return req, checkStep(req)
}

// checkStep checks the values of a decoded request.
func checkStep(req message.StepRequest) error {
	if req.Profile == "" {
		return errors.New("profile: is missing")
	}
	if len(req.Groups) == 0 {
		return errors.New("groups: at least one is needed")
	}
	samples := 0
	for i, gr := range req.Groups {
		if err := checkGroup(gr); err != nil {
			return errors.Wrapf(err, "groups[%d]", i)
		}
		samples += gr.Members
		if samples > maxSamples {
			return errors.Newf("groups[%d]: more than %d samples in one step", i, maxSamples)
		}
	}
	return nil
}

func checkGroup(gr message.Group) error {
	if gr.Members < 1 || gr.Members > maxMembers {
		return errors.Newf("members: %d is not between 1 and %d", gr.Members, maxMembers)
	}
	if gr.MaxTokens < 1 || gr.MaxTokens > maxTokensBound {
		return errors.Newf("max-tokens: %d is not between 1 and %d", gr.MaxTokens, maxTokensBound)
	}
	if gr.Prompt == "" {
		return errors.New("prompt: is empty")
	}
	return nil
}

// decodePull decodes and validates a trainer's pull.
func decodePull(data []byte) (message.PullRequest, error) {
	var req message.PullRequest
	if err := decodeStrict(data, &req); err != nil {
		return message.PullRequest{}, err
	}
	if req.Cursor.Step < -1 {
		return message.PullRequest{}, errors.Newf("cursor.step: %d is below -1", req.Cursor.Step)
	}
	if (req.Cursor.Batch == "") != (req.Cursor.Digest == "") {
		return message.PullRequest{}, errors.New("cursor: batch and digest go together")
	}
	if req.Wait == "" {
		return req, nil
	}
	wait, err := time.ParseDuration(req.Wait)
	if err != nil {
		return message.PullRequest{}, errors.Wrap(err, "wait")
	}
	if wait < 0 || wait > maxPullWait {
		return message.PullRequest{}, errors.Newf("wait: %s is not between 0s and %s", wait, maxPullWait)
	}
	return req, nil
}

// decodeStrict decodes one JSON value. It rejects unknown keys and trailing data.
func decodeStrict(data []byte, value any) error {
	de := json.NewDecoder(bytes.NewReader(data))
	de.DisallowUnknownFields()
	if err := de.Decode(value); err != nil {
		return errors.Wrapf(plainError(err), "byte %d", offset(err, de, len(data)))
	}
	if _, err := de.Token(); !errors.Is(err, io.EOF) {
		return errors.Newf("byte %d: something follows the request", de.InputOffset())
	}
	return nil
}

// offset returns the byte offset of a decoding error; that of a truncated body is its
// end.
func offset(err error, de *json.Decoder, size int) int64 {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return int64(size)
	}
	return de.InputOffset()
}

// plainError returns err, or a plainer error if the body is truncated.
func plainError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.New("the body is cut short")
	}
	return err
}

// readBody reads a body of at most limit bytes.
func readBody(rw http.ResponseWriter, rq *http.Request, limit int64) ([]byte, *outcome.Refusal) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, limit))
	if err == nil {
		return data, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, badRequest(errors.Newf("body: larger than %d bytes", tooLarge.Limit))
	}
	return nil, badRequest(errors.Wrap(plainError(err), "body"))
}

func badRequest(err error) *outcome.Refusal {
	return outcome.NewRefusal(outcome.BadRequest, "", err.Error())
}
