package step

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// current returns the term, if this process runs the steps.
func (sc *Scheduler) current() (*term, error) {
	if sc.term == nil || !sc.term.ready {
		return nil, errNotScheduler
	}
	return sc.term, nil
}

// read returns results, after waiting for one if need be.
func (sc *Scheduler) read(ctx context.Context, rq ReadRequest) (Listing, error) {
	begun := time.Now()
	for {
		sc.mu.Lock()
		te, err := sc.current()
		if err != nil {
			sc.mu.Unlock()
			return Listing{}, err
		}
		sr, ok := te.table.steps[rq.ID]
		if !ok {
			sc.mu.Unlock()
			return sc.Keeper.Read(ctx, rq) // not held any longer, or never accepted
		}
		if sr.archived() {
			sc.mu.Unlock()
			return sc.readEnded(ctx, te, sr, rq)
		}
		if rq.After < sr.unread {
			sc.mu.Unlock()
			return sc.readStoredResults(ctx, sr, rq)
		}
		li, wait := sr.answer(rq, begun, time.Now())
		if wait <= 0 {
			sc.mu.Unlock()
			sc.Log.WithFields(logrus.Fields{
				"after": rq.After, "allowed-ms": rq.Wait.Milliseconds(), "results": len(li.Results), stepField: rq.ID,
				"waited-ms": time.Since(begun).Milliseconds(),
			}).Info("results read")
			return li, nil
		}
		changed, release := sr.listedSignal, sr.hold(begun, rq.Wait)
		sc.mu.Unlock()
		err = await(ctx, changed, wait)
		sc.mu.Lock()
		release(time.Now())
		sc.mu.Unlock()
		if err != nil {
			return Listing{}, err
		}
	}
}

// answer returns what a read gets now, and for how long it is to wait for more
// first.
func (sr *stepRow) answer(rq ReadRequest, begun, now time.Time) (Listing, time.Duration) {
	li := sr.listing(rq.After)
	switch {
	case len(li.Results) == 0 && !sr.idle:
		return li, rq.Wait - now.Sub(begun)
	case rq.Wait > 0:
		return li, sr.joins(now)
	default:
		return li, 0
	}
}

// await waits until results are listed or a time is over.
func await(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-time.After(wait):
	}
	return nil
}

// maxListing bounds the text of one answer, in bytes: an answer may have 1 MB,
// and its encoding takes some more.
const maxListing = 800 << 10

// listing returns results from a position on.
func (sr *stepRow) listing(after int) Listing {
	return page(sr.results, after-sr.unread, sr.step.Total())
}

func page(results []Result, after, total int) Listing {
	li := Listing{Total: total}
	size := 0
	for _, re := range results[min(max(after, 0), len(results)):] {
		if size += len(re.Text); size > maxListing && len(li.Results) > 0 {
			break
		}
		li.Results = append(li.Results, re)
	}
	return li
}

// body returns an item's body.
func (sc *Scheduler) body(ctx context.Context, rq BodyRequest) (BodyResponse, error) {
	sc.mu.Lock()
	te, err := sc.current()
	if err != nil {
		sc.mu.Unlock()
		return BodyResponse{}, err
	}
	sr, ok := te.table.steps[rq.Step]
	sc.mu.Unlock()
	if ok {
		return sr.step.body(rq.Item), nil
	}
	st, err := sc.Keeper.Load(ctx, rq.Step)
	if err != nil {
		return BodyResponse{}, err
	}
	return st.body(rq.Item), nil
}
