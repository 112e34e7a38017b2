package entry

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/process"
	"wisteriacroft/tick"
)

// errLeft is why an entry that leaves is not ready.
var errLeft = errors.New("leaving")

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

// Serve answers the requests that come over li until Shutdown.
func (en *Entry) Serve(li net.Listener) error { return process.Serve(en.http, li) }

// Shutdown refuses new work, waits for what runs, hands the leases over and
// ends. It is called once. Its error says that the grace was over first.
//
// The balancer goes on sending work until it has seen that this process is
// not ready. A listener closed before would turn that work into broken
// connections, so it stays open for Linger.
func (en *Entry) Shutdown(ctx context.Context) error {
	en.log.WithField("grace", en.options.Grace.String()).Info("leaving")
	ctx, cancel := context.WithTimeout(ctx, en.options.Grace)
	defer cancel()
	close(en.left)
	en.roster.Leave()
	select {
	case <-time.After(en.options.Linger):
	case <-ctx.Done():
	}
	// Released before the listener closes: a trainer's next request goes to
	// another entry, which would pass it on here as long as the lease is held.
	en.ownership.release(ctx)
	err := en.http.Shutdown(ctx)
	err = errors.CombineErrors(err, en.server.Shutdown(ctx))
	en.stop()
	en.work.Wait()
	en.pool.Close()
	en.transport.CloseIdleConnections()
	return errors.Wrap(err, "shutdown")
}

// Abort ends the entry at once, as a kill would: what runs is cut off and no
// lease is handed over. It is for trials, which run many processes in one.
func (en *Entry) Abort() {
	close(en.left)
	en.stop()
	_ = en.http.Close()
	over, cancel := context.WithCancel(context.Background())
	cancel()
	_ = en.server.Shutdown(over)
	en.pool.Close()
	en.work.Wait()
	en.transport.CloseIdleConnections()
}

// Ready returns nil while the entry takes work.
func (en *Entry) Ready() error {
	if en.leaving() {
		return errLeft
	}
	return nil
}

// leaving tells whether the entry leaves.
func (en *Entry) leaving() bool {
	select {
	case <-en.left:
		return true
	default:
		return false
	}
}
