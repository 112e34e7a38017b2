package attendant

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/process"
)

// closeTimeout is the timeout for closing an idle server.
const closeTimeout = 2 * time.Second

// handOverFraction is the fraction of the grace period after which queued requests are refused and
// running samples end, to be resumed elsewhere.
const handOverFraction = 0.75

// errLeaving is the cancellation cause of samples during shutdown.
var errLeaving = errors.New("attendant is leaving")

// Serve serves requests on li until Shutdown.
func (at *Attendant) Serve(li net.Listener) error { return process.Serve(at.http, li) }

// Shutdown refuses new requests, waits for running ones and stops the attendant. It must be called
// once. It returns an error if requests are still running at the end of the grace period.
//
// Entries send requests until they receive the leaving state. With a closed listener these would
// fail with unknown outcome, so it stays open for at least Linger and refuses them.
func (at *Attendant) Shutdown(ctx context.Context) error {
	grace := at.grace()
	at.options.Log.WithField("grace", grace.String()).Info("leaving")
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	part := time.Duration(handOverFraction * float64(grace))
	at.leave()
	for _, en := range at.endpoints {
		en.gate.Close(time.Now(), part)
	}
	linger := time.After(at.options.Linger)
	err := at.drain(ctx, part)
	select {
	case <-linger:
	case <-ctx.Done():
	}
	ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	return errors.Wrap(errors.CombineErrors(err, at.close(ctx)), "shutdown")
}

// grace returns the grace period: the longest leave timeout of the endpoints' services, at most
// that of the process.
func (at *Attendant) grace() time.Duration {
	do := at.profiles.Current()
	var longest time.Duration
	for _, en := range at.endpoints {
		se, ok := do.Service(en.service)
		if !ok {
			return at.options.Grace
		}
		longest = max(longest, se.LeaveTimeout())
	}
	if longest == 0 {
		return at.options.Grace // only a data folder
	}
	return min(longest, at.options.Grace)
}

// drain waits for running requests. Samples that run longer than part are ended early, so that
// another attendant can fetch their tokens before this one stops.
func (at *Attendant) drain(ctx context.Context, part time.Duration) error {
	early, cancel := context.WithTimeout(ctx, part)
	defer cancel()
	if at.inflight.wait(early) == nil {
		return nil
	}
	close(at.handOver)
	if err := at.inflight.wait(ctx); err != nil {
		return errors.Wrap(err, "wait for running requests")
	}
	select {
	case <-time.After(at.options.Linger):
	case <-ctx.Done():
	}
	return nil
}

// Abort stops the attendant immediately, like a kill. It is for tests that run several attendants
// in one process.
func (at *Attendant) Abort() {
	at.inflight.leave()
	_ = at.http.Close()
	over, cancel := context.WithCancel(context.Background())
	cancel()
	_ = at.server.Shutdown(over)
	close(at.done)
	at.pool.Close()
	at.loop.Wait()
}

// close stops the servers and the systems.
func (at *Attendant) close(ctx context.Context) error {
	err := errors.Wrap(at.http.Shutdown(ctx), "close the server")
	err = errors.CombineErrors(err, errors.Wrap(at.server.Shutdown(ctx), "close the RPC server"))
	close(at.done)
	at.loop.Wait()
	at.pool.Close()
	return err
}
