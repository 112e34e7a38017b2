package quarantine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/keyvalue"
)

// ErrNotQuarantined means that no crash is recorded for a request.
var ErrNotQuarantined = errors.New("no endpoint crash is recorded for it")

// An Entry describes a request for operators.
type Entry struct {
	Digest  Digest        `json:"digest"`
	HeldFor time.Duration `json:"held-for"` // 0 means that it may be sent
	LastEnd time.Time     `json:"last-end"` // of the last crash
	Strikes int           `json:"strikes"`  // endpoints that crashed since the last success
}

// Entries returns the requests with crashes, those with the most first.
func (ta *Table) Entries(now time.Time) []Entry {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ens := []Entry{}
	for di, ro := range ta.rows {
		crashes, last := ro.summary()
		if crashes == 0 || ro.expired(now) {
			continue
		}
		ens = append(ens, Entry{
			Digest: di, HeldFor: ro.verdict(ta.Spread, now).HeldFor, LastEnd: time.UnixMilli(last).UTC(), Strikes: crashes,
		})
	}
	slices.SortFunc(ens, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Strikes, a.Strikes), b.LastEnd.Compare(a.LastEnd), cmp.Compare(a.Digest, b.Digest))
	})
	return ens
}

// Read merges the stored records into the table.
func (st *Store) Read(ctx context.Context) error {
	_, err := st.read(ctx)
	return err
}

// Lift lifts the quarantine of a request, once an operator has fixed the cause of the
// crashes. It is stored and propagated like a success.
func (st *Store) Lift(ctx context.Context, di Digest) error {
	if err := st.Read(ctx); err != nil {
		return err
	}
	if !st.Table.lift(di, time.Now()) {
		return errors.Wrapf(ErrNotQuarantined, "%s", di)
	}
	for {
		err := st.save(ctx)
		if !errors.Is(err, keyvalue.ErrConflict) {
			return err
		}
	}
}

// lift records a success, even of a blocked request, and reports whether there were crashes.
func (ta *Table) lift(di Digest, now time.Time) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[di]
	if ro == nil {
		return false
	}
	crashes, last := ro.summary()
	if crashes == 0 {
		return false
	}
	// Not before the last crash, as the clock of the process that saw it may be ahead.
	ta.add(Record{AtMS: max(now.UnixMilli(), last), Digest: di}, now)
	return true
}
