package step

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
)

// follow reads what earlier schedulers wrote and then follows the steps that
// are accepted and ended.
func (sc *Scheduler) follow(ctx context.Context, te *term) {
	var in intake
	var after int64
	scan, lost := true, false
	for ctx.Err() == nil {
		back := te.revival.next()
		ch, err := sc.nextIntake(ctx, te, after, scan, lost)
		switch {
		case errors.Is(err, keyvalue.ErrHistoryGone):
			scan = true
			continue
		case err != nil:
			sc.Log.WithError(err).Warn("steps can't be followed")
			lost = true
			te.revival.pause(ctx, back)
			continue
		}
		if lost {
			te.revival.tell()
		}
		lost = false
		accepted, ended := in.apply(ch.Items, scan)
		kept, err := sc.kept(ctx, te, &in, accepted)
		if err == nil {
			err = sc.restoreAccount(ctx, te, accepted)
		}
		if err != nil {
			sc.Log.WithError(err).Warn("what is kept of steps can't be read")
			in = intake{} // read all again
			after, scan = 0, true
			pause(ctx)
			continue
		}
		sc.takeIntake(te, &in, accepted, ended, kept)
		after, scan = max(after, ch.Version), false
	}
}

// nextIntake returns what has been accepted and ended since a version, or all.
//
// A service that has fallen silent swallows calls, which get no answer after its
// return either. While the last call was lost, the next one doesn't wait for
// changes: waiting, it would hide steps that are accepted right after an outage.
func (sc *Scheduler) nextIntake(ctx context.Context, te *term, after int64, scan, lost bool) (keyvalue.Changes, error) {
	ctx, cancel := te.revival.bound(ctx)
	defer cancel()
	if scan {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return sc.Keeper.Client.Scan(ctx, intakePrefix)
	}
	wait, timeout := intakeWait, intakeWait+intakeSlack
	if lost {
		wait, timeout = 0, probeTimeout
	}
	ctx, cancelTime := context.WithTimeout(ctx, timeout)
	defer cancelTime()
	return sc.Keeper.Client.Follow(ctx, intakePrefix, after, wait)
}

// kept reads what earlier schedulers kept of steps that are open, and for a new term what
// operators hold. The results of steps that have ended are read when someone asks.
func (sc *Scheduler) kept(ctx context.Context, te *term, in *intake, accepted []*Step) (map[string]StoredStep, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	kept := map[string]StoredStep{}
	var mu sync.Mutex
	var gr errgroup.Group
	if !te.ready {
		gr.Go(func() error { return sc.readHolds(ctx, te) })
	}
	for _, st := range accepted {
		if in.ended[st.ID] || !in.scanned[st.ID] {
			continue // a step that has just been accepted has nothing yet
		}
		gr.Go(func() error {
			ke, err := sc.Keeper.Stored(ctx, st.ID)
			mu.Lock()
			defer mu.Unlock()
			kept[st.ID] = ke
			return err
		})
	}
	return kept, gr.Wait()
}

// readHolds takes in what operators hold, before a term places anything.
//
// A process that has just started may become the scheduler before its directory knows of
// the holds. Without this reading, all that is held would begin at that moment.
func (sc *Scheduler) readHolds(ctx context.Context, te *term) error {
	if sc.Holds == nil {
		return nil
	}
	_, err := sc.Directory.ReadHolds(ctx, sc.Holds)
	if errors.Is(err, hold.ErrUndecodable) {
		sc.Log.WithError(err).Error("holds do not decode, those known stay")
		err = nil
	}
	if err != nil {
		return err
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	te.table.SetHolds(sc.Directory.Holds(), time.Now())
	return nil
}

func (sc *Scheduler) takeIntake(
	te *term, in *intake, accepted []*Step, ended []string, kept map[string]StoredStep,
) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := time.Now()
	for _, st := range accepted {
		te.table.Accept(st, kept[st.ID], in.ended[st.ID], now)
	}
	for _, id := range ended {
		te.table.End(id)
	}
	if sc.term == te {
		sc.startRewards(te, now)
	}
	if !te.ready {
		te.ready = true
		sc.Log.WithFields(logrus.Fields{"epoch": te.epoch, "open": len(te.table.openSteps), "steps": len(in.steps)}).Info("scheduler is ready")
	}
	stale := now.Sub(te.polledAt) >= intakeWait+intakeSlack
	te.polledAt = now
	if len(accepted) > 0 || stale {
		notify(sc.stepAccepted)
	}
	if len(accepted) > 0 {
		sc.Metrics.GetOrCreateCounter(`wisteriacroft_steps_accepted_total`).Add(len(accepted))
	}
}

// pause waits after a call that failed.
func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}
