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

// Prefixes of the keys of steps. Steps and their ends share a prefix, so that one call follows both.
const (
	intakePrefix = "wisteriacroft/intake/"
	stepPrefix   = intakePrefix + "step/"  // then ID/PART
	endPrefix    = intakePrefix + "end/"   // then ID
	listedPrefix = "wisteriacroft/listed/" // then ID/CHUNK

	checkpointPrefix = "wisteriacroft/checkpoint/" // then ID/NUMBER, or ID/listed/CHUNK: a manifest

	accountKey = "wisteriacroft/fair-share" // the fair-share account of customers
)

// partSize is the maximum size of one value of a step or a chunk, in bytes. The service allows 1 MB.
const partSize = 700 << 10

// Errors of storing and reading steps.
var (
	// ErrUnknownStep means that no such step was accepted.
	ErrUnknownStep = errors.New("no such step")
	// ErrUndetermined means that it is currently unknown whether the step exists.
	ErrUndetermined = errors.New("can't be told now")
	// ErrTooManyParts means that a step is too large to be stored in one transaction.
	ErrTooManyParts = errors.New("step is too large")
)

// maxParts is the maximum number of values of a step: one transaction writes them, under one expectation.
const maxParts = keyvalue.MaxTransaction - 1

// A part is one value of an encoded step.
type part struct {
	Count int
	Data  []byte
}

// A Store keeps steps and their results in the key-value service.
type Store struct {
	Client *keyvalue.Client
	Log    *logrus.Entry // optional

	account accountVersion
}

// Accept stores a step. It may be repeated with the same step; only the first call has an effect. ErrOutcomeUnknown
// means that the step may be stored, now or later.
func (sto *Store) Accept(ctx context.Context, st *Step) error {
	values, err := st.values()
	if err != nil {
		return err
	}
	var tx keyvalue.Transaction
	for i, value := range values {
		tx.Writes = append(tx.Writes, keyvalue.Write{Key: stepKey(st.ID, i), Value: value})
	}
	tx.Expects = []keyvalue.Expectation{{Key: stepKey(st.ID, 0)}}
	_, err = sto.commit(ctx, tx)
	if errors.Is(err, keyvalue.ErrConflict) {
		return nil // stored before
	}
	return err
}

// values returns the encoded step, split into one or more values.
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

// End records that a step has ended. It may be repeated.
func (sto *Store) End(ctx context.Context, id string) error {
	_, err := sto.Client.Put(ctx, endPrefix+id, []byte("ended"), 0, 0)
	if errors.Is(err, keyvalue.ErrConflict) {
		return nil
	}
	return err
}

// Load returns a stored step, or ErrUnknownStep.
func (sto *Store) Load(ctx context.Context, id string) (*Step, error) {
	ch, err := sto.Client.Scan(ctx, stepPrefix+id+"/")
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

// Chunks returns all chunks of a step's results, in order.
func (sto *Store) Chunks(ctx context.Context, id string) ([][]Result, error) {
	ch, err := sto.Client.Scan(ctx, listedPrefix+id+"/")
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
func (sto *Store) Chunk(ctx context.Context, id string, number int) ([]Result, error) {
	it, err := sto.Client.Get(ctx, listedKey(id, number))
	if err != nil {
		return nil, err
	}
	var res []Result
	return res, errors.Wrapf(cbor.Unmarshal(it.Value, &res), "decode %s", it.Key)
}

// Read returns a step's results from the key-value service.
func (sto *Store) Read(ctx context.Context, rq ReadRequest) (Listing, error) {
	st, err := sto.Load(ctx, rq.ID)
	if err != nil {
		return Listing{}, err
	}
	chunks, err := sto.Chunks(ctx, rq.ID)
	if err != nil {
		return Listing{}, err
	}
	var results []Result
	for _, chunk := range chunks {
		results = append(results, chunk...)
	}
	return page(results, rq.After, st.Total()), nil
}

// Drop deletes everything that is stored of a step.
func (sto *Store) Drop(ctx context.Context, id string) error {
	keys := []string{endPrefix + id}
	for _, prefix := range []string{stepPrefix + id + "/", listedPrefix + id + "/", checkpointPrefix + id + "/"} {
		ch, err := sto.Client.Scan(ctx, prefix)
		if err != nil {
			return err
		}
		for _, it := range ch.Items {
			keys = append(keys, it.Key)
		}
	}
	for len(keys) > 0 {
		count := min(len(keys), keyvalue.MaxTransaction)
		if _, err := sto.Client.Transact(ctx, keyvalue.Transaction{Deletes: keys[:count]}); err != nil {
			return err
		}
		keys = keys[count:]
	}
	return nil
}

// A Chunk holds results that are stored in one value.
type Chunk struct {
	Number  int
	Results []Result
	Step    string
}

// A WriteSet is what a scheduler writes in one transaction.
type WriteSet struct {
	Account     []byte // encoded fair-share account; empty if it is not written
	Checkpoints []Checkpoint
	Chunks      []Chunk
	Cuts        []*Step // ended steps, to be stored without their items
	Deletes     []string
}

// transaction returns the write set as a transaction that expects fence.
func (ws WriteSet) transaction(fence keyvalue.Expectation) (keyvalue.Transaction, error) {
	tx := keyvalue.Transaction{Deletes: ws.Deletes, Expects: []keyvalue.Expectation{fence}}
	add := func(key string, value any) error {
		data, err := cbor.Marshal(value)
		tx.Expects = append(tx.Expects, keyvalue.Expectation{Key: key})
		tx.Writes = append(tx.Writes, keyvalue.Write{Key: key, Value: data})
		return errors.Wrapf(err, "encode %s", key)
	}
	for _, ch := range ws.Chunks {
		if err := add(listedKey(ch.Step, ch.Number), ch.Results); err != nil {
			return tx, err
		}
		data, err := cbor.Marshal(manifestOf(ch))
		if err != nil {
			return tx, errors.Wrapf(err, "encode the manifest of %s", listedKey(ch.Step, ch.Number))
		}
		tx.Writes = append(tx.Writes, keyvalue.Write{Key: manifestKey(ch.Step, ch.Number), Value: data})
	}
	for _, cp := range ws.Checkpoints {
		if err := add(checkpointKey(cp.Step, cp.Number), cp); err != nil {
			return tx, err
		}
	}
	for _, st := range ws.Cuts {
		values, err := st.values()
		if err != nil {
			return tx, err
		}
		tx.Writes = append(tx.Writes, keyvalue.Write{Key: stepKey(st.ID, 0), Value: values[0]})
		for i := 1; i < st.Parts; i++ {
			tx.Deletes = append(tx.Deletes, stepKey(st.ID, i))
		}
	}
	if len(ws.Account) > 0 {
		tx.Writes = append(tx.Writes, keyvalue.Write{Key: accountKey, Value: ws.Account})
	}
	return tx, nil
}

// Write applies a write set if fence holds. It may be repeated with the same write set. done reports that it is
// applied, by this call or an earlier one.
func (sto *Store) Write(ctx context.Context, fence keyvalue.Expectation, ws WriteSet) (done bool, err error) {
	tx, err := ws.transaction(fence)
	if err != nil {
		return false, err
	}
	if len(tx.Writes) == 0 {
		_, err = sto.Client.Transact(ctx, tx)
		return err == nil, err
	}
	if len(ws.Account) > 0 {
		return sto.writeAccount(ctx, tx)
	}
	return sto.writeOnce(ctx, tx)
}

// writeOnce applies a transaction unless it was applied before.
func (sto *Store) writeOnce(ctx context.Context, tx keyvalue.Transaction) (done bool, err error) {
	if _, err = sto.commit(ctx, tx); !errors.Is(err, keyvalue.ErrConflict) {
		return err == nil, err
	}
	// An earlier attempt of the same write may have succeeded.
	version, errGet := sto.appliedVersion(ctx, tx)
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
