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

// follow loads the state that earlier schedulers stored, then follows accepted and ended steps until the term ends.
func (sc *Scheduler) follow(ctx context.Context, te *term) {
	var in intake
	var after int64
	scan, lost := true, false
	for ctx.Err() == nil {
		recovered := te.recovery.Recovered()
		ch, err := sc.nextIntake(ctx, te, after, scan, lost)
		switch {
		case errors.Is(err, keyvalue.ErrHistoryGone):
			scan = true
			continue
		case err != nil:
			sc.Log.WithError(err).Warn("steps can't be followed")
			lost = true
			te.recovery.Pause(ctx, recovered, retryDelay)
			continue
		}
		if lost {
			te.notifyRecovery()
		}
		lost = false
		accepted, ended := in.apply(ch.Items, scan)
		stored, err := sc.loadStored(ctx, te, &in, accepted)
		if err == nil {
			err = sc.restoreAccount(ctx, te, accepted)
		}
		if err != nil {
			sc.Log.WithError(err).Warn("can't load the stored state of steps")
			in = intake{} // reload everything
			after, scan = 0, true
			retryPause(ctx)
			continue
		}
		sc.applyIntake(te, &in, accepted, ended, stored)
		after, scan = max(after, ch.Version), false
	}
}

// nextIntake returns the changes of accepted and ended steps since a version, or with scan all of them.
//
// Calls that the service received before it stopped responding get no answer after it recovers. After a lost call,
// the next one doesn't wait for changes: its own loss would hide steps that are accepted right after an outage.
func (sc *Scheduler) nextIntake(ctx context.Context, te *term, after int64, scan, lost bool) (keyvalue.Changes, error) {
	ctx, cancel := te.recovery.Context(ctx)
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

// loadStored loads what earlier schedulers stored of open steps, and for a new term the holds of operators. Results of
// ended steps are loaded on request.
func (sc *Scheduler) loadStored(ctx context.Context, te *term, in *intake, accepted []*Step) (map[string]StoredStep, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stored := map[string]StoredStep{}
	var mu sync.Mutex
	var gr errgroup.Group
	if !te.ready {
		gr.Go(func() error { return sc.readHolds(ctx, te) })
	}
	for _, st := range accepted {
		if in.ended[st.ID] || !in.scanned[st.ID] {
			continue // nothing is stored yet of a step that was just accepted
		}
		gr.Go(func() error {
			ss, err := sc.Keeper.Stored(ctx, st.ID)
			mu.Lock()
			defer mu.Unlock()
			stored[st.ID] = ss
			return err
		})
	}
	return stored, gr.Wait()
}

// readHolds loads the holds of operators before a term places anything.
//
// The directory of a process that has just started may not have loaded the holds when it becomes the scheduler. Held
// items would then start.
func (sc *Scheduler) readHolds(ctx context.Context, te *term) error {
	if sc.Holds == nil {
		return nil
	}
	_, err := sc.Directory.ReadHolds(ctx, sc.Holds)
	if errors.Is(err, hold.ErrUndecodable) {
		sc.Log.WithError(err).Error("can't decode holds; keeping the previous ones")
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

func (sc *Scheduler) applyIntake(
	te *term, in *intake, accepted []*Step, ended []string, stored map[string]StoredStep,
) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := time.Now()
	for _, st := range accepted {
		te.table.Accept(st, stored[st.ID], in.ended[st.ID], now)
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

// retryPause waits for the pause after a failed call.
func retryPause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}
