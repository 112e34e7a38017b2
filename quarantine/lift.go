package quarantine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/keyvalue"
)

// ErrNotQuarantined means that no endpoint is known to have ended under a request.
var ErrNotQuarantined = errors.New("no endpoint is known to have ended under it")

// An Entry is what an operator sees of a request or an item.
type Entry struct {
	Digest  Digest        `json:"digest"`
	HeldFor time.Duration `json:"held-for"` // 0: a request may be sent; an item may rest for less
	LastEnd time.Time     `json:"last-end"` // of an endpoint
	Strikes int           `json:"strikes"`  // endpoints that ended since the last answer
}

// Entries returns what is known, the most suspect first.
func (ta *Table) Entries(now time.Time) []Entry {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ens := []Entry{}
	for di, ro := range ta.rows {
		strikes, last := ro.standing()
		if strikes == 0 || ro.expired(now) {
			continue
		}
		ens = append(ens, Entry{
			Digest: di, HeldFor: ro.judge(requestPolicy, now).HeldFor, LastEnd: time.UnixMilli(last).UTC(), Strikes: strikes,
		})
	}
	slices.SortFunc(ens, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Strikes, a.Strikes), b.LastEnd.Compare(a.LastEnd), cmp.Compare(a.Digest, b.Digest))
	})
	return ens
}

// Read takes in what the service holds.
func (ke *Store) Read(ctx context.Context) error {
	_, err := ke.read(ctx)
	return err
}

// Lift lets a request or an item be sent to endpoints again, for an operator who has
// mended what ended them. All processes hear of it as of an answer.
func (ke *Store) Lift(ctx context.Context, di Digest) error {
	if err := ke.Read(ctx); err != nil {
		return err
	}
	if !ke.Table.lift(di, time.Now()) {
		return errors.Wrapf(ErrNotQuarantined, "%s", di)
	}
	for {
		err := ke.save(ctx)
		if !errors.Is(err, keyvalue.ErrConflict) {
			return err
		}
	}
}

// lift notes an answer, also to what is barred, and returns whether there was
// anything to lift.
func (ta *Table) lift(di Digest, now time.Time) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ro := ta.rows[di]
	if ro == nil {
		return false
	}
	strikes, last := ro.standing()
	if strikes == 0 {
		return false
	}
	// Not before the last end, which a clock that is ahead may have seen.
	ta.add(Record{AtMS: max(now.UnixMilli(), last), Digest: di}, now)
	return true
}
