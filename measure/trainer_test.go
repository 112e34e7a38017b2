package measure

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// pullWait is how long a trainer lets the owner wait for a batch.
const pullWait = 30 * time.Second

// A Trainer is a fake of a trainer: it asks for steps ahead, pulls batches,
// trains on each for its part of the train time and publishes new weights.
type Trainer struct {
	askAgain  time.Time
	asked     int // steps accepted
	asking    *answer[message.StepResponse]
	began     bool // has taken a batch
	cursor    message.Cursor
	idle      time.Duration
	pullAgain time.Time
	pulling   *answer[message.PullResponse]
	row       TrainerRow
	step      int // to be taken
	trained   time.Duration
	training  time.Time // until then
	whole     bool      // the batch in training ends its step
}

// NewTrainer returns a trainer that has taken nothing.
func NewTrainer(row TrainerRow) *Trainer {
	return &Trainer{
		cursor: message.Cursor{Incarnation: 1, Step: -1, Version: 1},
		row:    row,
	}
}

// Run does what the trainer does in a tick.
func (tr *Trainer) Run(ctx context.Context, wo *World, now time.Time) {
	if now.Before(tr.training) {
		tr.trained += Tick
	} else {
		tr.finish(wo)
		tr.pull(ctx, wo, now)
	}
	if !wo.policy.LiveOnly {
		tr.ask(ctx, wo, now)
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

// ask requests the steps ahead, in order.
func (tr *Trainer) ask(ctx context.Context, wo *World, now time.Time) {
	if tr.asking.ended() {
		err := tr.asking.err
		tr.asking = nil
		if err != nil {
			tr.askAgain = now.Add(waitOf(err))
			return
		}
		tr.asked++
	}
	if tr.asking != nil || now.Before(tr.askAgain) || tr.asked > tr.step+tr.row.StepsAhead {
		return
	}
	req := message.StepRequest{Profile: wo.ca.Name}
	for gr := range tr.row.Groups {
		req.Groups = append(req.Groups, message.Group{
			MaxTokens: wo.ca.Lengths.MaxTokens,
			Members:   tr.row.Members,
			Prompt:    promptOf(tr.row.Name, tr.asked, gr),
		})
	}
	wo.ledger.Ask(tr.row, tr.asked, now)
	tr.asking = ask(func() (message.StepResponse, error) {
		return wo.owner.Submit(ctx, tr.row.Name, tr.asked, req)
	})
}

// pull takes the next batch if there is one.
func (tr *Trainer) pull(ctx context.Context, wo *World, now time.Time) {
	switch {
	case wo.policy.LiveOnly:
		tr.whole = true
		tr.training = now.Add(time.Duration(tr.row.TrainTime))
	case tr.pulling == nil && !now.Before(tr.pullAgain):
		req := message.PullRequest{Cursor: tr.cursor, Wait: pullWait.String()}
		tr.pulling = ask(func() (message.PullResponse, error) {
			return wo.owner.Pull(ctx, tr.row.Name, req)
		})
	}
	if tr.pulling.ended() {
		pa, err := tr.pulling.value, tr.pulling.err
		tr.pulling = nil
		if err != nil {
			tr.pullAgain = now.Add(waitOf(err))
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
	wo.ledger.Take(tr, pa, now)
	tr.began = true
	tr.whole = pa.Whole
	tr.cursor.Batch, tr.cursor.Digest, tr.cursor.Step = pa.Batch, pa.Digest, pa.Step
	part := float64(len(pa.Manifest)) / float64(tr.row.Groups*tr.row.Members)
	tr.training = now.Add(time.Duration(part * float64(tr.row.TrainTime)))
	tr.trained += Tick
}

// IdleRatio returns the part of the time since its first batch that the
// trainer waited for the next.
func (tr *Trainer) IdleRatio() float64 {
	if tr.idle+tr.trained == 0 {
		return 1
	}
	return tr.idle.Seconds() / (tr.idle + tr.trained).Seconds()
}

// waitOf returns how long a refusal says to wait, at least a second.
func waitOf(err error) time.Duration {
	var re *outcome.Refusal
	if errors.As(err, &re) {
		return max(re.RetryDelay(), time.Second)
	}
	return time.Second
}

// behind returns how many versions the oldest segment lies behind.
func behind(trainer engine.Version, segments []engine.Segment) int64 {
	oldest := segments[0].Version
	for _, se := range segments {
		oldest = min(oldest, se.Version)
	}
	return max(0, int64(trainer)-int64(oldest))
}
