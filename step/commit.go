package step

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

// verifyAfter is how long a write may be unanswered before its outcome is verified by a read. It doubles with each
// verification, so that a slow service is not loaded with many.
const verifyAfter = 150 * time.Millisecond

// commit applies a transaction and returns the version of what it wrote. If no answer comes, it reads the first key
// to verify the outcome. The transaction must have writes, and it must be harmless to apply it again at any time: it
// must either expect what it changes, or change only what is no longer used.
//
// The service may apply a write and lose its answer, or stop responding before it applies the write. If the first key
// doesn't hold the written value, the transaction is sent again; the one that arrives first counts. Without this, the
// caller and all later writes would wait until the call times out.
func (sto *Store) commit(ctx context.Context, tx keyvalue.Transaction) (version int64, err error) {
	begun, checks := time.Now(), 0
	defer func() { sto.logVerified(tx, checks, time.Since(begun), err) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan commitResult, maxCommitCalls)
	go func() { results <- newCommitResult(sto.Client.Transact(ctx, tx)) }()
	var failure error
	wait := verifyAfter + maxSendTime(tx)
	for pending := 1; pending > 0; {
		var verifyTimer <-chan time.Time
		if ctx.Err() == nil && pending < maxCommitCalls {
			verifyTimer = time.After(wait)
		}
		select {
		case cr := <-results:
			pending--
			switch {
			case cr.err == nil, !notWritten(cr.err) && !errors.Is(cr.err, keyvalue.ErrOutcomeUnknown):
				return cr.version, cr.err
			case failure == nil || notWritten(failure):
				failure = cr.err
			}
			if pending == 0 && checks == 0 && !notWritten(cr.err) && ctx.Err() == nil {
				checks++
				pending++
				go func() { results <- newCommitResult(sto.verify(ctx, tx)) }()
			}
		case <-verifyTimer:
			wait *= 2
			checks++
			pending++
			go func() { results <- newCommitResult(sto.verify(ctx, tx)) }()
		}
	}
	return 0, failure
}

// A commitResult is the outcome of one call for a transaction.
type commitResult struct {
	version int64 // version of the first key
	err     error
}

func newCommitResult(version int64, err error) commitResult {
	return commitResult{version: version, err: err}
}

// minWriteRate is the minimum rate at which the service accepts a large write, in bytes per second.
const minWriteRate = 4 << 20

// maxSendTime returns how long sending a transaction's values may take. It delays verification, as otherwise the
// largest writes would be sent twice.
func maxSendTime(tx keyvalue.Transaction) time.Duration {
	size := 0
	for _, wr := range tx.Writes {
		size += len(wr.Value)
	}
	return time.Duration(size) * time.Second / minWriteRate
}

// logVerified logs a transaction whose outcome was verified.
func (sto *Store) logVerified(tx keyvalue.Transaction, checks int, took time.Duration, err error) {
	if sto.Log == nil || checks == 0 {
		return
	}
	sto.Log.WithFields(logrus.Fields{"error": err, "key": tx.Writes[0].Key, "looks": checks, "ms": took.Milliseconds()}).
		Info("unanswered write looked for")
}

// maxCommitCalls bounds the concurrent calls for one transaction.
const maxCommitCalls = 6

// verify returns the version of what a transaction wrote if it was applied, and otherwise sends it again.
func (sto *Store) verify(ctx context.Context, tx keyvalue.Transaction) (int64, error) {
	version, err := sto.appliedVersion(ctx, tx)
	if version != 0 || err != nil {
		return version, err
	}
	return sto.Client.Transact(ctx, tx)
}

// appliedVersion returns the version of a transaction's first key if it holds the written value, or else 0.
func (sto *Store) appliedVersion(ctx context.Context, tx keyvalue.Transaction) (int64, error) {
	it, err := sto.Client.Get(ctx, tx.Writes[0].Key)
	if errors.Is(err, keyvalue.ErrNotFound) || err == nil && !bytes.Equal(it.Value, tx.Writes[0].Value) {
		return 0, nil
	}
	return it.Version, err
}
