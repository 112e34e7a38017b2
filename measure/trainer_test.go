package measure

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// pullWait is how long the owner may delay the response to a pull.
const pullWait = 30 * time.Second

// A Trainer is a fake trainer: it submits steps ahead, pulls batches, trains on
// each for a proportional part of the train time and publishes new weights.
type Trainer struct {
	submitAt   time.Time
	submitted  int // steps accepted
	submitting *asyncCall[message.StepResponse]
	began      bool // has received a batch
	cursor     message.Cursor
	idle       time.Duration
	pullAt     time.Time
	pulling    *asyncCall[message.PullResponse]
	row        TrainerRow
	step       int // being pulled
	trained    time.Duration
	training   time.Time // end of the current training
	whole      bool      // the batch in training completes its step
}

// NewTrainer returns a trainer without batches.
func NewTrainer(row TrainerRow) *Trainer {
	return &Trainer{
		cursor: message.Cursor{Incarnation: 1, Step: -1, Version: 1},
		row:    row,
	}
}

// Run runs one tick of the trainer.
func (tr *Trainer) Run(ctx context.Context, wo *World, now time.Time) {
	if now.Before(tr.training) {
		tr.trained += Tick
	} else {
		tr.finish(wo)
		tr.pull(ctx, wo, now)
	}
	if !wo.policy.LiveOnly {
		tr.submit(ctx, wo, now)
	}
}

// finish ends the training of a batch.
func (tr *Trainer) finish(wo *World) {
	if !tr.whole {
		return
	}
	tr.whole = false
	tr.step++
	if tr.row.Publishes {
		wo.published++
	}
	tr.cursor.Version = wo.published
}

// submit submits the steps ahead, in order.
func (tr *Trainer) submit(ctx context.Context, wo *World, now time.Time) {
	if tr.submitting.ended() {
		err := tr.submitting.err
		tr.submitting = nil
		if err != nil {
			tr.submitAt = now.Add(retryDelay(err))
			return
		}
		tr.submitted++
	}
	if tr.submitting != nil || now.Before(tr.submitAt) || tr.submitted > tr.step+tr.row.StepsAhead {
		return
	}
	req := message.StepRequest{Profile: wo.ca.Name}
	for gr := range tr.row.Groups {
		req.Groups = append(req.Groups, message.Group{
			MaxTokens: wo.ca.Lengths.MaxTokens,
			Members:   tr.row.Members,
			Prompt:    promptOf(tr.row.Name, tr.submitted, gr),
		})
	}
	wo.ledger.RecordRequest(tr.row, tr.submitted, now)
	tr.submitting = startCall(func() (message.StepResponse, error) {
		return wo.owner.Submit(ctx, tr.row.Name, tr.submitted, req)
	})
}

// pull pulls the next batch, and starts to train on it if there is one.
func (tr *Trainer) pull(ctx context.Context, wo *World, now time.Time) {
	switch {
	case wo.policy.LiveOnly:
		tr.whole = true
		tr.training = now.Add(time.Duration(tr.row.TrainTime))
	case tr.pulling == nil && !now.Before(tr.pullAt):
		req := message.PullRequest{Cursor: tr.cursor, Wait: pullWait.String()}
		tr.pulling = startCall(func() (message.PullResponse, error) {
			return wo.owner.Pull(ctx, tr.row.Name, req)
		})
	}
	if tr.pulling.ended() {
		pa, err := tr.pulling.value, tr.pulling.err
		tr.pulling = nil
		if err != nil {
			tr.pullAt = now.Add(retryDelay(err))
		} else if pa.Batch != "" {
			tr.take(wo, now, pa)
			return
		}
	}
	if tr.began && !wo.policy.LiveOnly {
		tr.idle += Tick
	}
}

// take starts to train on a batch.
func (tr *Trainer) take(wo *World, now time.Time, pa message.PullResponse) {
	wo.ledger.RecordBatch(tr, pa, now)
	tr.began = true
	tr.whole = pa.Whole
	tr.cursor.Batch, tr.cursor.Digest, tr.cursor.Step = pa.Batch, pa.Digest, pa.Step
	part := float64(len(pa.Manifest)) / float64(tr.row.Groups*tr.row.Members)
	tr.training = now.Add(time.Duration(part * float64(tr.row.TrainTime)))
	tr.trained += Tick
}

// IdleRatio returns the fraction of the time since its first batch that the
// trainer waited for the next one.
func (tr *Trainer) IdleRatio() float64 {
	if tr.idle+tr.trained == 0 {
		return 1
	}
	return tr.idle.Seconds() / (tr.idle + tr.trained).Seconds()
}

// retryDelay returns the retry delay of a refusal, at least a second.
func retryDelay(err error) time.Duration {
	var re *outcome.Refusal
	if errors.As(err, &re) {
		return max(re.RetryDelay(), time.Second)
	}
	return time.Second
}

// versionsBehind returns how many versions the oldest segment is behind the trainer's.
func versionsBehind(trainer engine.Version, segments []engine.Segment) int64 {
	oldest := segments[0].Version
	for _, se := range segments {
		oldest = min(oldest, se.Version)
	}
	return max(0, int64(trainer)-int64(oldest))
}
