package step

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

// doubtAfter is how long a write goes unanswered before it is looked for; that time doubles
// with each look. A service that is well answers far sooner. One that is slow as a whole is
// slow to answer the look, too, so that a look too many delays nothing.
const doubtAfter = 150 * time.Millisecond

// settle applies a transaction and returns the version of what it wrote. If no answer comes,
// it finds out what became of the transaction. This must have writes, and do no harm if it
// is applied once more at any time: it expects what it changes, or changes nothing that is
// still in use.
//
// The service may apply a write and lose its answer, or fall silent before it applies it.
// Either way the caller, and all later writes, would wait for as long as a call may take.
// What the first key holds tells the two apart: if it isn't what was written, the
// transaction is sent once more, and the one that arrives first counts.
func (ke *Store) settle(ctx context.Context, tx keyvalue.Transaction) (version int64, err error) {
	begun, looks := time.Now(), 0
	defer func() { ke.logLooks(tx, looks, time.Since(begun), err) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan settled, maxLooks)
	go func() { outcomes <- settledBy(ke.Client.Transact(ctx, tx)) }()
	var failure error
	wait := doubtAfter + sendTime(tx)
	for pending := 1; pending > 0; {
		var doubt <-chan time.Time
		if ctx.Err() == nil && pending < maxLooks {
			doubt = time.After(wait)
		}
		select {
		case ou := <-outcomes:
			pending--
			switch {
			case ou.err == nil, !notWritten(ou.err) && !errors.Is(ou.err, keyvalue.ErrOutcomeUnknown):
				return ou.version, ou.err
			case failure == nil || notWritten(failure):
				failure = ou.err
			}
			if pending == 0 && looks == 0 && !notWritten(ou.err) && ctx.Err() == nil {
				looks++
				pending++
				go func() { outcomes <- settledBy(ke.look(ctx, tx)) }()
			}
		case <-doubt:
			wait *= 2
			looks++
			pending++
			go func() { outcomes <- settledBy(ke.look(ctx, tx)) }()
		}
	}
	return 0, failure
}

// A settled is what became of one call for a transaction.
type settled struct {
	version int64 // of what was written
	err     error
}

func settledBy(version int64, err error) settled { return settled{version: version, err: err} }

// writeRate is how many bytes a second of a large write the service takes at least when it
// is well.
const writeRate = 4 << 20

// sendTime returns how long a transaction's values are on their way at most. Looked for
// sooner, the largest writes would be sent twice.
func sendTime(tx keyvalue.Transaction) time.Duration {
	size := 0
	for _, wr := range tx.Writes {
		size += len(wr.Value)
	}
	return time.Duration(size) * time.Second / writeRate
}

// logLooks logs a transaction that was looked for.
func (ke *Store) logLooks(tx keyvalue.Transaction, looks int, took time.Duration, err error) {
	if ke.Log == nil || looks == 0 {
		return
	}
	ke.Log.WithFields(logrus.Fields{"error": err, "key": tx.Writes[0].Key, "looks": looks, "ms": took.Milliseconds()}).
		Info("unanswered write looked for")
}

// maxLooks bounds the calls for one transaction that are under way at once.
const maxLooks = 6

// look returns the version of what a transaction wrote if it is found to have been applied,
// and sends it once more if it is not.
func (ke *Store) look(ctx context.Context, tx keyvalue.Transaction) (int64, error) {
	version, err := ke.applied(ctx, tx)
	if version != 0 || err != nil {
		return version, err
	}
	return ke.Client.Transact(ctx, tx)
}

// applied returns the version of the first key of a transaction if it holds what that
// writes, or else 0.
func (ke *Store) applied(ctx context.Context, tx keyvalue.Transaction) (int64, error) {
	it, err := ke.Client.Get(ctx, tx.Writes[0].Key)
	if errors.Is(err, keyvalue.ErrNotFound) || err == nil && !bytes.Equal(it.Value, tx.Writes[0].Value) {
		return 0, nil
	}
	return it.Version, err
}
