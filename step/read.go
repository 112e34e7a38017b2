package step

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// current returns the term if this process is the active scheduler and has loaded its state.
func (sc *Scheduler) current() (*term, error) {
	if sc.term == nil || !sc.term.ready {
		return nil, errNotScheduler
	}
	return sc.term, nil
}

// read returns results of a step, and waits for the first one if requested.
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
			return sc.Keeper.Read(ctx, rq) // dropped from memory, or unknown
		}
		if sr.archived() {
			sc.mu.Unlock()
			return sc.readArchived(ctx, te, sr, rq)
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
		changed, release := sr.listedSignal, sr.addRead(begun, rq.Wait)
		sc.mu.Unlock()
		err = awaitResults(ctx, changed, wait)
		sc.mu.Lock()
		release(time.Now())
		sc.mu.Unlock()
		if err != nil {
			return Listing{}, err
		}
	}
}

// answer returns the results for a read, and how long to wait for more before it is answered.
func (sr *stepRow) answer(rq ReadRequest, begun, now time.Time) (Listing, time.Duration) {
	li := sr.listingFrom(rq.After)
	switch {
	case len(li.Results) == 0 && !sr.idle:
		return li, rq.Wait - now.Sub(begun)
	case rq.Wait > 0:
		return li, sr.joinWait(now)
	default:
		return li, 0
	}
}

// awaitResults waits until changed is closed or the wait is over.
func awaitResults(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-time.After(wait):
	}
	return nil
}

// maxListingBytes bounds the text of one answer. A message may have 1 MB, including its encoding.
const maxListingBytes = 800 << 10

// listingFrom returns results from a position on.
func (sr *stepRow) listingFrom(after int) Listing {
	return page(sr.results, after-sr.unread, sr.step.Total())
}

// page returns the results from position after on, up to maxListingBytes but at least one.
func page(results []Result, after, total int) Listing {
	li := Listing{Total: total}
	size := 0
	for _, re := range results[min(max(after, 0), len(results)):] {
		if size += len(re.Text); size > maxListingBytes && len(li.Results) > 0 {
			break
		}
		li.Results = append(li.Results, re)
	}
	return li
}

// body returns an item's body, from memory or from the key-value service.
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
