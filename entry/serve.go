package entry

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/process"
	"wisteriacroft/tick"
)

// errLeaving is the readiness error of an entry that leaves.
var errLeaving = errors.New("leaving")

// Start runs the entry's systems until Shutdown.
func (en *Entry) Start() {
	lo := &tick.Loop{Every: en.options.TickEvery, Systems: en.Systems()}
	en.run(lo.Run)
	en.run(en.follower.Run)
	en.run(en.quarantine.Run)
	en.run(en.quarantine.Follow)
	if en.options.Instances != nil {
		en.run(en.poller.Run)
	}
}

// Serve serves requests on li until Shutdown.
func (en *Entry) Serve(li net.Listener) error { return process.Serve(en.http, li) }

// Shutdown refuses new requests, waits for running ones, releases the leases and stops
// the entry. It must be called once. It fails if the grace period ends first.
//
// The listener stays open for Linger: the load balancer sends requests until it has seen
// that this process is not ready, and they must not meet a closed port.
func (en *Entry) Shutdown(ctx context.Context) error {
	en.log.WithField("grace", en.options.Grace.String()).Info("leaving")
	ctx, cancel := context.WithTimeout(ctx, en.options.Grace)
	defer cancel()
	close(en.shutdownStarted)
	en.memberTable.Leave()
	select {
	case <-time.After(en.options.Linger):
	case <-ctx.Done():
	}
	// Release the leases before the listener closes: other entries forward trainers'
	// requests here as long as the leases are held.
	en.ownership.release(ctx)
	err := en.http.Shutdown(ctx)
	err = errors.CombineErrors(err, en.server.Shutdown(ctx))
	en.stop()
	en.work.Wait()
	en.pool.Close()
	en.transport.CloseIdleConnections()
	return errors.Wrap(err, "shutdown")
}

// Abort stops the entry immediately, as a kill would: running requests are aborted and no
// lease is released. It is for simulations that run many processes in one.
func (en *Entry) Abort() {
	close(en.shutdownStarted)
	en.stop()
	_ = en.http.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = en.server.Shutdown(ended)
	en.pool.Close()
	en.work.Wait()
	en.transport.CloseIdleConnections()
}

// Ready returns nil while the entry accepts requests.
func (en *Entry) Ready() error {
	if en.leaving() {
		return errLeaving
	}
	return nil
}

// leaving reports whether the shutdown has started.
func (en *Entry) leaving() bool {
	select {
	case <-en.shutdownStarted:
		return true
	default:
		return false
	}
}
