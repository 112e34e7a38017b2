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

// Timing of pushes.
const (
	// batchDelay is how long starts are batched before a push. They are lost if the entry is
	// killed.
	batchDelay  = 30 * time.Millisecond
	pushTimeout = time.Second
	// finalTimeout bounds the final push of an entry that ends.
	finalTimeout = time.Second
	// retryPause is the pause after a failed push.
	retryPause = 300 * time.Millisecond
)

// A Pusher pushes the starts of a Recorder to the holder. Set the exported fields, then call Run.
type Pusher struct {
	Finder   *lease.Resolver // of the holder
	Instance string
	Log      *logrus.Entry
	Pool     *peer.Pool
	Recorder *Recorder

	holderTime   time.Time     // true time by the last response
	holderTimeAt time.Duration // monotonic time of holderTime
	boot         string
}

// Run pushes until ctx ends, and then makes a final push.
func (pu *Pusher) Run(ctx context.Context) {
	pu.boot = uuid.NewString()
	wake := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			pu.finish(context.WithoutCancel(ctx))
			return
		case <-pu.Recorder.changes():
			sleep(ctx, batchDelay)
		case <-time.After(wake):
		}
		var err error
		if wake, err = pu.push(ctx, false); err != nil {
			wake = retryPause
			sleep(ctx, retryPause)
		}
	}
}

// finish makes the final push, with retries.
func (pu *Pusher) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := pu.push(ctx, true); err == nil {
			return
		}
		sleep(ctx, retryPause)
	}
}

// push makes one push, and returns the maximum delay of the next one.
func (pu *Pusher) push(ctx context.Context, final bool) (time.Duration, error) {
	address := pu.Finder.Address(ctx)
	if address == "" {
		return 0, errors.Wrap(ErrNotHolder, "no holder is known")
	}
	rq := pu.Recorder.pushRequest()
	rq.Boot, rq.Final, rq.Instance, rq.Wall = pu.boot, final, pu.Instance, time.Now().UnixMicro()
	if !pu.holderTime.IsZero() {
		rq.Believed = pu.holderTime.Add(rq.Now - pu.holderTimeAt).UnixMicro()
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
	pu.Recorder.acknowledge(re.Lasting)
	pu.holderTime = time.UnixMicro(re.Now)
	pu.holderTimeAt = (rq.Now + pu.Recorder.now()) / 2 // assumes symmetric network delay
	return re.Wake, nil
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
