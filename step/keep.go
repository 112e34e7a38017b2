package step

import (
	"context"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"wisteriacroft/keyvalue"
)

// Prefixes of the keys of steps. Steps and their ends share one, so that one
// call follows both.
const (
	intakePrefix = "wisteriacroft/intake/"
	stepPrefix   = intakePrefix + "step/"  // then ID/PART
	endPrefix    = intakePrefix + "end/"   // then ID
	listedPrefix = "wisteriacroft/listed/" // then ID/CHUNK

	checkpointPrefix = "wisteriacroft/checkpoint/" // then ID/NUMBER, or ID/listed/CHUNK: a mark

	accountKey = "wisteriacroft/fair-share" // what customers have had
)

// partSize is the size of one value of a step or a listing, in bytes. A value
// may have 1 MB.
const partSize = 700 << 10

// Errors of keeping steps.
var (
	// ErrUnknownStep means that no such step was accepted.
	ErrUnknownStep = errors.New("no such step")
	// ErrUnsure means that whether the step exists can't be told now.
	ErrUnsure = errors.New("can't be told now")
	// ErrTooManyParts means that a step is too large to be accepted at once.
	ErrTooManyParts = errors.New("step is too large")
)

// maxParts is how many values a step may have: one transaction writes them under
// one expectation.
const maxParts = keyvalue.MaxTransaction - 1

// A part is one value of a step.
type part struct {
	Count int
	Data  []byte
}

// A Store reads and writes what must last of steps.
type Store struct {
	Client *keyvalue.Client
	Log    *logrus.Entry // optional

	account accountVersion
}

// Accept keeps a step. It may be repeated with the same step; only the first
// counts. ErrOutcomeUnknown means that the step may be kept, now or later.
func (ke *Store) Accept(ctx context.Context, st *Step) error {
	values, err := st.values()
	if err != nil {
		return err
	}
	var tx keyvalue.Transaction
	for i, value := range values {
		tx.Writes = append(tx.Writes, keyvalue.Write{Key: stepKey(st.ID, i), Value: value})
	}
	tx.Expects = []keyvalue.Expectation{{Key: stepKey(st.ID, 0)}}
	_, err = ke.settle(ctx, tx)
	if errors.Is(err, keyvalue.ErrConflict) {
		return nil // kept before
	}
	return err
}

// values returns the values that keep a step, one at least.
func (st *Step) values() ([][]byte, error) {
	data, err := cbor.Marshal(st)
	if err != nil {
		return nil, errors.Wrapf(err, "step %s", st.ID)
	}
	count := (len(data) + partSize - 1) / partSize
	if count > maxParts {
		return nil, errors.Wrapf(ErrTooManyParts, "step %s: %d bytes", st.ID, len(data))
	}
	var values [][]byte
	for i := range count {
		value, err := cbor.Marshal(part{Count: count, Data: data[i*partSize : min((i+1)*partSize, len(data))]})
		if err != nil {
			return nil, errors.Wrapf(err, "step %s", st.ID)
		}
		values = append(values, value)
	}
	return values, nil
}

// End keeps that a step has ended. It may be repeated.
func (ke *Store) End(ctx context.Context, id string) error {
	_, err := ke.Client.Put(ctx, endPrefix+id, []byte("ended"), 0, 0)
	if errors.Is(err, keyvalue.ErrConflict) {
		return nil
	}
	return err
}

// Load returns a step, or ErrUnknownStep.
func (ke *Store) Load(ctx context.Context, id string) (*Step, error) {
	ch, err := ke.Client.Scan(ctx, stepPrefix+id+"/")
	if err != nil {
		return nil, err
	}
	var in intake
	in.apply(ch.Items, true)
	st, ok := in.steps[id]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownStep, "step %s", id)
	}
	return st, nil
}

// Listed returns the chunks of a step's results in order.
func (ke *Store) Listed(ctx context.Context, id string) ([][]Result, error) {
	ch, err := ke.Client.Scan(ctx, listedPrefix+id+"/")
	if err != nil {
		return nil, err
	}
	var chunks [][]Result
	for i, it := range ch.Items {
		if it.Key != listedKey(id, i) {
			return nil, errors.Newf("step %s: chunk %d is missing", id, i)
		}
		var res []Result
		if err := cbor.Unmarshal(it.Value, &res); err != nil {
			return nil, errors.Wrapf(err, "decode %s", it.Key)
		}
		chunks = append(chunks, res)
	}
	return chunks, nil
}

// Chunk returns one chunk of a step's results.
func (ke *Store) Chunk(ctx context.Context, id string, number int) ([]Result, error) {
	it, err := ke.Client.Get(ctx, listedKey(id, number))
	if err != nil {
		return nil, err
	}
	var res []Result
	return res, errors.Wrapf(cbor.Unmarshal(it.Value, &res), "decode %s", it.Key)
}

// Read returns a step's results from what is kept.
func (ke *Store) Read(ctx context.Context, rq ReadRequest) (Listing, error) {
	st, err := ke.Load(ctx, rq.ID)
	if err != nil {
		return Listing{}, err
	}
	chunks, err := ke.Listed(ctx, rq.ID)
	if err != nil {
		return Listing{}, err
	}
	var results []Result
	for _, chunk := range chunks {
		results = append(results, chunk...)
	}
	return page(results, rq.After, st.Total()), nil
}

// Drop removes all that is kept of a step.
func (ke *Store) Drop(ctx context.Context, id string) error {
	keys := []string{endPrefix + id}
	for _, prefix := range []string{stepPrefix + id + "/", listedPrefix + id + "/", checkpointPrefix + id + "/"} {
		ch, err := ke.Client.Scan(ctx, prefix)
		if err != nil {
			return err
		}
		for _, it := range ch.Items {
			keys = append(keys, it.Key)
		}
	}
	for len(keys) > 0 {
		count := min(len(keys), keyvalue.MaxTransaction)
		if _, err := ke.Client.Transact(ctx, keyvalue.Transaction{Deletes: keys[:count]}); err != nil {
			return err
		}
		keys = keys[count:]
	}
	return nil
}

// A Chunk is some results that are listed together.
type Chunk struct {
	Number  int
	Results []Result
	Step    string
}

// A WriteSet is what a scheduler writes at once.
type WriteSet struct {
	Account     []byte // of customers' parts; empty while it need not be written
	Checkpoints []Checkpoint
	Chunks      []Chunk
	Cuts        []*Step // that have ended, to be kept without their items
	Deletes     []string
}

// transaction returns the update as one that is applied only under a fence.
func (up WriteSet) transaction(fence keyvalue.Expectation) (keyvalue.Transaction, error) {
	tx := keyvalue.Transaction{Deletes: up.Deletes, Expects: []keyvalue.Expectation{fence}}
	add := func(key string, value any) error {
		data, err := cbor.Marshal(value)
		tx.Expects = append(tx.Expects, keyvalue.Expectation{Key: key})
		tx.Writes = append(tx.Writes, keyvalue.Write{Key: key, Value: data})
		return errors.Wrapf(err, "encode %s", key)
	}
	for _, ch := range up.Chunks {
		if err := add(listedKey(ch.Step, ch.Number), ch.Results); err != nil {
			return tx, err
		}
		data, err := cbor.Marshal(manifestOf(ch))
		if err != nil {
			return tx, errors.Wrapf(err, "encode the mark of %s", listedKey(ch.Step, ch.Number))
		}
		tx.Writes = append(tx.Writes, keyvalue.Write{Key: manifestKey(ch.Step, ch.Number), Value: data})
	}
	for _, cp := range up.Checkpoints {
		if err := add(checkpointKey(cp.Step, cp.Number), cp); err != nil {
			return tx, err
		}
	}
	for _, st := range up.Cuts {
		values, err := st.values()
		if err != nil {
			return tx, err
		}
		tx.Writes = append(tx.Writes, keyvalue.Write{Key: stepKey(st.ID, 0), Value: values[0]})
		for i := 1; i < st.Parts; i++ {
			tx.Deletes = append(tx.Deletes, stepKey(st.ID, i))
		}
	}
	if len(up.Account) > 0 {
		tx.Writes = append(tx.Writes, keyvalue.Write{Key: accountKey, Value: up.Account})
	}
	return tx, nil
}

// Write applies an update, if fence still holds. It may be repeated with the
// same update; done tells that it is applied.
func (ke *Store) Write(ctx context.Context, fence keyvalue.Expectation, up WriteSet) (done bool, err error) {
	tx, err := up.transaction(fence)
	if err != nil {
		return false, err
	}
	if len(tx.Writes) == 0 {
		_, err = ke.Client.Transact(ctx, tx)
		return err == nil, err
	}
	if len(up.Account) > 0 {
		return ke.writeAccount(ctx, tx)
	}
	return ke.writeOnce(ctx, tx)
}

// writeOnce applies a transaction unless it was applied before.
func (ke *Store) writeOnce(ctx context.Context, tx keyvalue.Transaction) (done bool, err error) {
	if _, err = ke.settle(ctx, tx); !errors.Is(err, keyvalue.ErrConflict) {
		return err == nil, err
	}
	// An earlier try of the same update may have been applied.
	version, errGet := ke.applied(ctx, tx)
	if version != 0 || errGet != nil {
		return version != 0, errGet
	}
	return false, err
}

func stepKey(id string, number int) string {
	return stepPrefix + id + "/" + strconv.Itoa(number)
}

func checkpointKey(id string, number int) string {
	return fmt.Sprintf("%s%s/%06d", checkpointPrefix, id, number)
}

func listedKey(id string, number int) string {
	return fmt.Sprintf("%s%s/%06d", listedPrefix, id, number)
}
