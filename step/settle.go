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
func (ke *Store) commit(ctx context.Context, tx keyvalue.Transaction) (version int64, err error) {
	begun, looks := time.Now(), 0
	defer func() { ke.logVerified(tx, looks, time.Since(begun), err) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan commitResult, maxCommitCalls)
	go func() { outcomes <- newCommitResult(ke.Client.Transact(ctx, tx)) }()
	var failure error
	wait := verifyAfter + maxSendTime(tx)
	for pending := 1; pending > 0; {
		var doubt <-chan time.Time
		if ctx.Err() == nil && pending < maxCommitCalls {
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
				go func() { outcomes <- newCommitResult(ke.verify(ctx, tx)) }()
			}
		case <-doubt:
			wait *= 2
			looks++
			pending++
			go func() { outcomes <- newCommitResult(ke.verify(ctx, tx)) }()
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
func (ke *Store) logVerified(tx keyvalue.Transaction, looks int, took time.Duration, err error) {
	if ke.Log == nil || looks == 0 {
		return
	}
	ke.Log.WithFields(logrus.Fields{"error": err, "key": tx.Writes[0].Key, "looks": looks, "ms": took.Milliseconds()}).
		Info("unanswered write looked for")
}

// maxCommitCalls bounds the concurrent calls for one transaction.
const maxCommitCalls = 6

// verify returns the version of what a transaction wrote if it was applied, and otherwise sends it again.
func (ke *Store) verify(ctx context.Context, tx keyvalue.Transaction) (int64, error) {
	version, err := ke.appliedVersion(ctx, tx)
	if version != 0 || err != nil {
		return version, err
	}
	return ke.Client.Transact(ctx, tx)
}

// appliedVersion returns the version of a transaction's first key if it holds the written value, or else 0.
func (ke *Store) appliedVersion(ctx context.Context, tx keyvalue.Transaction) (int64, error) {
	it, err := ke.Client.Get(ctx, tx.Writes[0].Key)
	if errors.Is(err, keyvalue.ErrNotFound) || err == nil && !bytes.Equal(it.Value, tx.Writes[0].Value) {
		return 0, nil
	}
	return it.Version, err
}
