package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"wisteriacroft/instancelist"
)

// A listing is the content of the list from a point in time until the next listing.
type listing struct {
	rows  []instancelist.Instance
	since time.Time
}

// An instanceList serves a list of instances as of a lag ago.
type instanceList struct {
	faults
	mu       sync.Mutex
	lag      time.Duration
	listings []listing // sorted by time
	snapshot []instancelist.Instance
}

// latest returns a copy of the newest rows, which list may not return yet. The
// caller holds mu.
func (li *instanceList) latest() []instancelist.Instance {
	if len(li.listings) == 0 {
		return nil
	}
	return slices.Clone(li.listings[len(li.listings)-1].rows)
}

// put adds or replaces a row.
func (li *instanceList) put(in instancelist.Instance, now time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	rows := slices.DeleteFunc(li.latest(), func(row instancelist.Instance) bool { return row.ID == in.ID })
	li.listings = append(li.listings, listing{rows: append(rows, in), since: now})
}

// remove removes a row.
func (li *instanceList) remove(id string, now time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	rows := slices.DeleteFunc(li.latest(), func(row instancelist.Instance) bool { return row.ID == id })
	li.listings = append(li.listings, listing{rows: rows, since: now})
}

// list returns the rows as of one lag before now.
func (li *instanceList) list(now time.Time) []instancelist.Instance {
	li.mu.Lock()
	defer li.mu.Unlock()
	for len(li.listings) > 1 && !now.Add(-li.lag).Before(li.listings[1].since) {
		li.listings = li.listings[1:]
	}
	if len(li.listings) == 0 || now.Add(-li.lag).Before(li.listings[0].since) {
		return nil
	}
	return li.listings[0].rows
}

// command sets a fault, takes a snapshot or restores it.
func (li *instanceList) command(fa Fault) error {
	rows := li.list(time.Now())
	li.mu.Lock()
	defer li.mu.Unlock()
	switch fa.Name {
	case Snapshot:
		li.snapshot = rows
	case Restore:
		li.listings = []listing{{rows: li.snapshot}}
	default:
		li.set(fa)
	}
	return nil
}

func (li *instanceList) handler() http.Handler {
	ro := mux.NewRouter()
	ro.HandleFunc("/instances", handle(func(context.Context, struct{}) ([]instancelist.Instance, error) {
		return li.list(time.Now()), nil
	})).Methods(http.MethodGet)
	ro.HandleFunc("/instances", handle(func(_ context.Context, in instancelist.Instance) (struct{}, error) {
		li.put(in, time.Now())
		return struct{}{}, nil
	})).Methods(http.MethodPost)
	ro.HandleFunc("/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		li.remove(mux.Vars(r)["id"], time.Now())
		answer(w, struct{}{}, nil)
	}).Methods(http.MethodDelete)
	return ro
}
