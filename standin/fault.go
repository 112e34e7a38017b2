package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/roundtrip"
	"wisteriacroft/unit"
)

// A FaultName is a kind of fault.
type FaultName string

// The faults. All but the last four apply to any target.
const (
	Clear       FaultName = "clear"        // ends all faults of the target
	Crash       FaultName = "crash"        // cuts connections, aborts requests; serves again after For
	Cross       FaultName = "cross"        // responds with another request's id
	Drop        FaultName = "drop"         // processes the request, then cuts the connection
	Freeze      FaultName = "freeze"       // accepts requests and doesn't respond
	Outage      FaultName = "outage"       // responds with status 503
	Slow        FaultName = "slow"         // adds Delay
	Restore     FaultName = "restore"      // platform: restores the snapshot
	Snapshot    FaultName = "snapshot"     // platform: takes the snapshot
	SwapFails   FaultName = "swap-fails"   // engines: accepts an order and doesn't execute it
	SwapUnknown FaultName = "swap-unknown" // engines: reports no version after an order
)

var faultNames = map[FaultName]bool{
	Clear: true, Crash: true, Cross: true, Drop: true, Freeze: true, Outage: true, Slow: true,
	Restore: true, Snapshot: true, SwapFails: true, SwapUnknown: true,
}

// A Fault is a command to activate a fault, the body of POST /faults.
type Fault struct {
	Count  int           `json:"count,omitempty"` // requests or orders affected; 0: all
	Delay  unit.Duration `json:"delay,omitempty"`
	For    unit.Duration `json:"for,omitempty"` // 0: until cleared
	Name   FaultName     `json:"name"`
	Target string        `json:"target"`
}

// faultPoll is how often wait checks whether a fault has expired.
const faultPoll = 10 * time.Millisecond

// An activeFault is a fault that was set and has not expired.
type activeFault struct {
	delay     time.Duration
	expiresAt time.Time // zero: never
	remaining int       // requests or orders; 0: unlimited
}

// faults holds the active faults of one target. The zero value has none.
type faults struct {
	mu       sync.Mutex
	active   map[FaultName]activeFault
	changed  chan struct{} // closed when a fault is set
	crashed  chan struct{} // closed by the next crash
	onCrash  func()        // optional
	previous string        // id of the previous request
}

// set activates a fault, or clears all.
func (fs *faults) set(fa Fault) {
	fs.mu.Lock()
	fs.initialize()
	if fa.Name == Clear {
		clear(fs.active)
	} else {
		af := activeFault{delay: time.Duration(fa.Delay), remaining: fa.Count}
		if fa.For > 0 {
			af.expiresAt = time.Now().Add(time.Duration(fa.For))
		}
		fs.active[fa.Name] = af
	}
	close(fs.changed)
	fs.changed = make(chan struct{})
	if fa.Name == Crash {
		close(fs.crashed)
		fs.crashed = make(chan struct{})
	}
	fs.mu.Unlock()
	if fa.Name == Crash && fs.onCrash != nil {
		fs.onCrash()
	}
}

// initialize makes the zero value usable. The caller holds mu.
func (fs *faults) initialize() {
	if fs.active == nil {
		fs.active = map[FaultName]activeFault{}
		fs.changed = make(chan struct{})
		fs.crashed = make(chan struct{})
	}
}

// trigger returns the delay of a fault and whether it is active, and decrements
// its count.
func (fs *faults) trigger(name FaultName) (time.Duration, bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	af, ok := fs.active[name]
	if !ok {
		return 0, false
	}
	if !af.expiresAt.IsZero() && !time.Now().Before(af.expiresAt) {
		delete(fs.active, name)
		return 0, false
	}
	if af.remaining == 1 {
		delete(fs.active, name)
	} else if af.remaining > 1 {
		af.remaining--
		fs.active[name] = af
	}
	return af.delay, true
}

// wait blocks until a fault is no longer active or ctx ends.
func (fs *faults) wait(ctx context.Context, name FaultName) {
	for ctx.Err() == nil {
		fs.mu.Lock()
		fs.initialize()
		changed := fs.changed
		fs.mu.Unlock()
		if _, ok := fs.trigger(name); !ok {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(faultPoll): // it may have expired
		}
	}
}

// crashes returns a channel that the next crash closes.
func (fs *faults) crashes() <-chan struct{} {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.initialize()
	return fs.crashed
}

// responseID returns the id for the response to a request.
func (fs *faults) responseID(id string) string {
	_, cross := fs.trigger(Cross)
	fs.mu.Lock()
	defer fs.mu.Unlock()
	previous := fs.previous
	fs.previous = id
	if !cross {
		return id
	}
	if previous == "" || previous == id {
		return "no-request"
	}
	return previous
}

// wrap applies the faults to a handler. It sets the response id in the response
// header before it calls next.
func (fs *faults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		crashed := fs.crashes()
		go func() {
			select {
			case <-crashed:
				cancel()
			case <-ctx.Done():
			}
		}()
		if _, ok := fs.trigger(Crash); ok {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(roundtrip.IDHeader, fs.responseID(r.Header.Get(roundtrip.IDHeader)))
		fs.wait(ctx, Freeze)
		if delay, ok := fs.trigger(Slow); ok {
			sleep(ctx, delay)
		}
		if _, ok := fs.trigger(Outage); ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, ok := fs.trigger(Drop); ok {
			next.ServeHTTP(&discardWriter{w.Header()}, r.WithContext(ctx))
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r.WithContext(ctx))
		select {
		case <-crashed:
			panic(http.ErrAbortHandler)
		default:
		}
	})
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// A discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

// Flush implements http.Flusher.
func (dw *discardWriter) Flush() {}

// Header implements http.ResponseWriter.
func (dw *discardWriter) Header() http.Header { return dw.header }

// Write implements http.ResponseWriter.
func (dw *discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (dw *discardWriter) WriteHeader(int) {}

// faultHandler serves POST /faults.
func faultHandler(command func(Fault) error) http.HandlerFunc {
	return handle(func(_ context.Context, fa Fault) (struct{}, error) {
		if !faultNames[fa.Name] {
			return struct{}{}, errors.Wrapf(errBadRequest, "no fault is named %q", fa.Name)
		}
		return struct{}{}, command(fa)
	})
}
