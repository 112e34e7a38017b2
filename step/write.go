package step

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/keyvalue"
)

// writeLoop writes results and checkpoints during the term, one write set at a time. One whose outcome is unknown is
// repeated unchanged.
func (sc *Scheduler) writeLoop(ctx context.Context, te *term) {
	var ws WriteSet
	timeout := resultsWriteTimeout
	for ctx.Err() == nil {
		recovered := te.recovery.Recovered()
		if ws.empty() {
			sc.mu.Lock()
			ws = te.table.NextWrites(time.Now())
			sc.mu.Unlock()
		}
		if ws.empty() {
			te.awaitWrites(ctx)
			continue
		}
		sc.mu.Lock()
		epoch := te.epoch
		sc.mu.Unlock()
		done, err := sc.applyWrites(ctx, te, epoch, ws, timeout)
		switch {
		case done:
			if timeout != resultsWriteTimeout {
				te.notifyRecovery()
			}
			timeout = resultsWriteTimeout
			sc.mu.Lock()
			te.table.WritesApplied(ws, time.Now())
			sc.mu.Unlock()
			ws = WriteSet{}
		case errors.Is(err, keyvalue.ErrConflict):
			// The term either ends or continues under another epoch and repeats the write.
			sc.Log.WithError(err).WithField("epoch", epoch).Warn("can't list results: the lease was lost")
			sc.Holder.FenceFailed(epoch)
			te.awaitWrites(ctx)
		default:
			sc.Log.WithError(err).Warn("results can't be listed")
			timeout = probeTimeout
			te.recovery.Pause(ctx, recovered, retryDelay)
		}
	}
}

// awaitWrites waits until there may be something to write.
func (te *term) awaitWrites(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-te.writeKick:
	case <-time.After(tickInterval):
	}
}

func (sc *Scheduler) applyWrites(ctx context.Context, te *term, epoch uint64, ws WriteSet, timeout time.Duration) (bool, error) {
	fence, ok := sc.Holder.Fence(epoch)
	if !ok {
		return false, keyvalue.ErrConflict
	}
	defer sc.Metrics.GetOrCreateHistogram(`wisteriacroft_list_seconds`).UpdateDuration(time.Now())
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, cancel = te.recovery.Context(ctx)
	defer cancel()
	return sc.Keeper.Write(ctx, fence, ws)
}
