package usage

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"wisteriacroft/lease"
	"wisteriacroft/peer"
)

// Times of pushing.
const (
	// gatherPause is for how long what begins is gathered before it is pushed, and so
	// what is lost when an entry is killed.
	gatherPause = 30 * time.Millisecond
	// pushTimeout bounds one push.
	pushTimeout = time.Second
	// finalTime bounds the last push of an entry that ends.
	finalTime = time.Second
	// retryPause is the pause after a push that failed.
	retryPause = 300 * time.Millisecond
)

// A Pusher tells the holder what an entry has recorded. Fill the exported fields, then
// call Run.
type Pusher struct {
	Finder   *lease.Resolver // of the holder
	Instance string
	Log      *logrus.Entry
	Pool     *peer.Pool
	Recorder *Recorder

	believed   time.Time     // true time, as the holder told it
	believedAt time.Duration // by the steady clock
	boot       string
}

// Run pushes until ctx ends, and then what is left.
func (pu *Pusher) Run(ctx context.Context) {
	pu.boot = uuid.NewString()
	wake := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			pu.finish(context.WithoutCancel(ctx))
			return
		case <-pu.Recorder.changes():
			sleep(ctx, gatherPause)
		case <-time.After(wake):
		}
		var err error
		if wake, err = pu.push(ctx, false); err != nil {
			wake = retryPause
			sleep(ctx, retryPause)
		}
	}
}

// finish pushes what is left, and that no more will come.
func (pu *Pusher) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalTime)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := pu.push(ctx, true); err == nil {
			return
		}
		sleep(ctx, retryPause)
	}
}

// push makes one push, and returns when the next one is to follow.
func (pu *Pusher) push(ctx context.Context, final bool) (time.Duration, error) {
	address := pu.Finder.Address(ctx)
	if address == "" {
		return 0, errors.Wrap(ErrNotHolder, "no holder is known")
	}
	rq := pu.Recorder.push()
	rq.Boot, rq.Final, rq.Instance, rq.Wall = pu.boot, final, pu.Instance, time.Now().UnixMicro()
	if !pu.believed.IsZero() {
		rq.Believed = pu.believed.Add(rq.Now - pu.believedAt).UnixMicro()
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	re, err := peer.Call[PushRequest, PushResponse](ctx, pu.Pool, address, pushMethod, rq)
	if err != nil {
		pu.Log.WithError(err).WithFields(logrus.Fields{"batches": len(rq.Batches), "holder": address}).Warn("use can't be told")
		if !errors.Is(err, ErrNotHolder) {
			pu.Finder.Invalidate(address, err)
		}
		return 0, err
	}
	pu.Recorder.lasting(re.Lasting)
	pu.believed = time.UnixMicro(re.Now)
	pu.believedAt = (rq.Now + pu.Recorder.steady()) / 2 // it was told halfway
	return re.Wake, nil
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
