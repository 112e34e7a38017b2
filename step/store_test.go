package step

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/peer"
	"wisteriacroft/runner"
)

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(logger)
}

func frontendOf(sto *Store) *Frontend {
	return &Frontend{
		Keeper: sto, Log: discardLog(), Pool: &peer.Pool{},
		Scheduler: &lease.Resolver{Client: sto.Client, Log: discardLog(), Name: LeaseName},
	}
}

func TestAcceptOnce(t *testing.T) {
	var me keyvalue.Memory
	sto := &Store{Client: me.Client()}
	large := stepOf("s", 3)
	for i := range large.Items {
		large.Items[i].Body = make([]byte, partSize) // forces several values
	}
	assert.NilError(t, sto.Accept(t.Context(), large))
	assert.NilError(t, sto.Accept(t.Context(), large))
	st, err := sto.Load(t.Context(), "s")
	assert.NilError(t, err)
	assert.Equal(t, len(st.Items), 3)
	assert.Equal(t, len(st.Items[2].Body), partSize)
	_, err = sto.Load(t.Context(), "other")
	assert.Assert(t, errors.Is(err, ErrUnknownStep))
}

func TestTooLargeStep(t *testing.T) {
	var me keyvalue.Memory
	st := stepOf("s", 40)
	for i := range st.Items {
		st.Items[i].Body = make([]byte, partSize)
	}
	err := (&Store{Client: me.Client()}).Accept(t.Context(), st)
	assert.Assert(t, errors.Is(err, ErrTooManyParts))
}

func TestUpdateIsAppliedOnce(t *testing.T) {
	// Guards against an item being listed at two positions when a write whose response was lost is retried.
	var me keyvalue.Memory
	sto := &Store{Client: me.Client()}
	fence := keyvalue.Expectation{Key: "lease"}
	ws := WriteSet{Chunks: []Chunk{{Step: "s", Results: []Result{{Item: "a", Text: []byte("x"), Versions: []uint64{1}}}}}}
	for range 2 {
		done, err := sto.Write(t.Context(), fence, ws)
		assert.NilError(t, err)
		assert.Assert(t, done)
	}
	listed, err := sto.Chunks(t.Context(), "s")
	assert.NilError(t, err)
	assert.DeepEqual(t, listed, [][]Result{ws.Chunks[0].Results})
}

func TestOldSchedulerCannotWrite(t *testing.T) {
	// Guards against a delayed write of a scheduler that has lost its lease replacing results of its successor.
	var me keyvalue.Memory
	sto := &Store{Client: me.Client()}
	_, err := me.Client().Put(t.Context(), "lease", []byte("successor"), 0, 0)
	assert.NilError(t, err)
	ws := WriteSet{Chunks: []Chunk{{Step: "s", Results: []Result{{Item: "a"}}}}}
	done, err := sto.Write(t.Context(), keyvalue.Expectation{Key: "lease", Version: 7}, ws)
	assert.Assert(t, !done)
	assert.Assert(t, errors.Is(err, keyvalue.ErrConflict))
}

func TestDropRemovesAll(t *testing.T) {
	var me keyvalue.Memory
	sto := &Store{Client: me.Client()}
	assert.NilError(t, sto.Accept(t.Context(), stepOf("s", 1)))
	assert.NilError(t, sto.End(t.Context(), "s"))
	assert.NilError(t, sto.End(t.Context(), "s"))
	_, err := sto.Write(t.Context(), keyvalue.Expectation{Key: "lease"}, WriteSet{
		Checkpoints: []Checkpoint{{Step: "s", Partials: []Partial{{Item: "a"}}}},
		Chunks:      []Chunk{{Step: "s", Results: []Result{{Item: "a"}}}},
	})
	assert.NilError(t, err)
	assert.NilError(t, sto.Drop(t.Context(), "s"))
	left, err := me.Client().List(t.Context(), "")
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0)
}

func TestAcceptOutcomes(t *testing.T) {
	// Guards against a step being refused although its write, whose response was lost, took effect.
	for _, tc := range []struct {
		name   string
		faults func(me *keyvalue.Memory)
		want   error
		least  time.Duration // minimum time until Accept returns
	}{
		{"service is available", func(*keyvalue.Memory) {}, nil, 0},
		{"answers are lost", func(me *keyvalue.Memory) { me.SetFaults(keyvalue.Faults{LoseAnswers: true}) }, nil, 0},
		{
			"service recovers", func(me *keyvalue.Memory) {
				me.SetFaults(keyvalue.Faults{Outage: true})
				time.AfterFunc(2*time.Second, func() { me.SetFaults(keyvalue.Faults{}) })
			}, nil, 2 * time.Second,
		},
		{
			"service stays unavailable", func(me *keyvalue.Memory) { me.SetFaults(keyvalue.Faults{Outage: true}) },
			keyvalue.ErrUnavailable, acceptTimeout,
		},
		{
			"service is too slow", func(me *keyvalue.Memory) { me.SetFaults(keyvalue.Faults{Delay: time.Minute}) },
			keyvalue.ErrOutcomeUnknown, acceptTimeout,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var me keyvalue.Memory
				tc.faults(&me)
				fr := frontendOf(&Store{Client: me.Client()})
				begun := time.Now()
				err := fr.Accept(t.Context(), stepOf("s", 1))
				took := time.Since(begun)
				if tc.want == nil {
					assert.NilError(t, err)
				} else {
					assert.Assert(t, errors.Is(err, tc.want), "%v", err)
				}
				assert.Assert(t, took >= tc.least && took <= tc.least+2*time.Second, "%s", took)
			})
		})
	}
}

func TestCutOffEntryFailsFast(t *testing.T) {
	// Guards against an isolated entry retrying for seconds instead of failing fast, so that the trainer can try
	// another one.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		me.SetFaults(keyvalue.Faults{Outage: true})
		fr := frontendOf(&Store{Client: me.Client()})
		var cutOff atomic.Bool
		fr.CutOffFunc = cutOff.Load
		time.AfterFunc(2*time.Second, func() { cutOff.Store(true) })
		begun := time.Now()
		err := fr.Accept(t.Context(), stepOf("s", 1))
		assert.Assert(t, errors.Is(err, keyvalue.ErrUnavailable))
		assert.Assert(t, time.Since(begun) < 2500*time.Millisecond, "it stops retrying once it is cut off")
		begun = time.Now()
		assert.Assert(t, errors.Is(fr.Accept(t.Context(), stepOf("s", 1)), keyvalue.ErrUnavailable))
		assert.Assert(t, time.Since(begun) < 1100*time.Millisecond)
		begun = time.Now()
		_, err = fr.Read(t.Context(), ReadRequest{ID: "s", Wait: time.Second})
		assert.Assert(t, err != nil && !errors.Is(err, ErrUnknownStep))
		_, err = fr.Body(t.Context(), BodyRequest{Step: "s"})
		assert.Assert(t, err != nil && !errors.Is(err, ErrUnknownStep))
		assert.Assert(t, fr.End(t.Context(), "s") != nil)
		assert.Equal(t, time.Since(begun), time.Duration(0))
	})
}

func TestCutOffEntryRetriesBriefly(t *testing.T) {
	// Guards against all entries refusing steps at once in an outage in which the scheduler is lost too, when all of
	// them seem isolated: they retry for a short time.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		me.SetFaults(keyvalue.Faults{Outage: true})
		fr := frontendOf(&Store{Client: me.Client()})
		fr.CutOffFunc = func() bool { return true }
		time.AfterFunc(cutOffTimeout/2, func() { me.SetFaults(keyvalue.Faults{}) })
		assert.NilError(t, fr.Accept(t.Context(), stepOf("s", 1)))
	})
}

func TestCutOffEntryReportsUnknownOutcome(t *testing.T) {
	// Guards against a definite refusal of a step that an earlier, unanswered write may have stored.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		me.SetFaults(keyvalue.Faults{Delay: time.Minute})
		fr := frontendOf(&Store{Client: me.Client()})
		var cutOff atomic.Bool
		fr.CutOffFunc = cutOff.Load
		time.AfterFunc(time.Second, func() { cutOff.Store(true) })
		assert.Assert(t, errors.Is(fr.Accept(t.Context(), stepOf("s", 1)), keyvalue.ErrOutcomeUnknown))
	})
}

func TestReadsWithoutAScheduler(t *testing.T) {
	// Guards against existing steps being reported as unknown while no scheduler is active.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		sto := &Store{Client: me.Client()}
		fr := frontendOf(sto)
		assert.NilError(t, sto.Accept(t.Context(), stepOf("s", 2)))
		_, err := sto.Write(t.Context(), keyvalue.Expectation{Key: "lease"}, WriteSet{
			Chunks: []Chunk{{Step: "s", Results: []Result{{Item: "a"}}}},
		})
		assert.NilError(t, err)
		li, err := fr.Read(t.Context(), ReadRequest{ID: "s"})
		assert.NilError(t, err)
		assert.Equal(t, li.Total, 2)
		assert.Equal(t, len(li.Results), 1)
		re, err := fr.Body(t.Context(), BodyRequest{Item: "s-0-1", Step: "s"})
		assert.NilError(t, err)
		assert.Equal(t, string(re.Body), "body")
		_, err = fr.Read(t.Context(), ReadRequest{ID: "other"})
		assert.Assert(t, errors.Is(err, ErrUnknownStep))
		me.SetFaults(keyvalue.Faults{Outage: true})
		_, err = fr.Read(t.Context(), ReadRequest{ID: "other"})
		assert.Assert(t, err != nil && !errors.Is(err, ErrUnknownStep), "%v", err)
	})
}

func TestReadWhileTheTermEnds(t *testing.T) {
	// Guards against an empty answer for stored results when the scheduler's term ends while they are being fetched.
	var me keyvalue.Memory
	sto := &Store{Client: me.Client()}
	assert.NilError(t, sto.Accept(t.Context(), stepOf("s", 2)))
	_, err := sto.Write(t.Context(), keyvalue.Expectation{Key: "lease"}, WriteSet{
		Chunks: []Chunk{{Step: "s", Results: []Result{{Item: "a"}, {Item: "b"}}}},
	})
	assert.NilError(t, err)
	ta := NewTable(1, nil)
	ta.Accept(stepOf("s", 2), StoredStep{}, true, begin)
	te := &term{epoch: 1, ready: true, table: ta}
	for _, tc := range []struct {
		name string
		term *term
	}{{"term ended", nil}, {"term continues", te}, {"results are in memory", te}} {
		sc := &Scheduler{Keeper: sto, term: tc.term}
		li, err := sc.readArchived(t.Context(), te, ta.steps["s"], ReadRequest{After: 1, ID: "s"})
		assert.NilError(t, err, tc.name)
		assert.Equal(t, li.Total, 2, tc.name)
		assert.Equal(t, len(li.Results), 1, tc.name)
	}
	assert.Equal(t, len(ta.steps["s"].results), 2)
}

func TestIntakeReleasesDroppedSteps(t *testing.T) {
	// Guards against a memory leak: the intake releases a step when its keys are removed.
	var me keyvalue.Memory
	sto := &Store{Client: me.Client()}
	assert.NilError(t, sto.Accept(t.Context(), stepOf("s", 1)))
	assert.NilError(t, sto.End(t.Context(), "s"))
	assert.NilError(t, sto.Drop(t.Context(), "s"))
	ch, err := me.Client().Follow(t.Context(), intakePrefix, 0, 0)
	assert.NilError(t, err)
	var in intake
	accepted, ended := in.apply(ch.Items, false)
	assert.Equal(t, len(accepted), 1)
	assert.DeepEqual(t, ended, []string{"s"})
	assert.Equal(t, len(in.steps)+len(in.ended)+len(in.parts)+len(in.scanned), 0)
}

func TestUpdateFitsOneTransaction(t *testing.T) {
	// Guards against a write set with more entries than a transaction may have: it would be retried unchanged forever,
	// and nothing more would be listed.
	var me keyvalue.Memory
	ta := tableOf(t, 1, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
	for i := range 10 {
		st := stepOf(fmt.Sprint("s", i), 2)
		st.Groups = 1
		ta.Accept(st, StoredStep{}, false, begin)
	}
	ta.Place(begin)
	for id := range ta.steps {
		end(ta, t, id, 0, runner.Complete, events(1, 3, 1), begin)
		engine, key := keyOf(t, ta, id, 1)
		respond(ta, engine, runner.ExchangeResponse{Runs: []runner.Progress{{Events: events(1, minFirstEvents, 1), Key: key}}}, begin)
	}
	for i := range 20 {
		ta.garbageKeys = append(ta.garbageKeys, checkpointKey("old", i))
	}
	sto := &Store{Client: me.Client()}
	now, listed, saved := begin.Add(time.Minute), 0, map[string]bool{}
	for range 8 {
		ws := ta.NextWrites(now)
		tx, err := ws.transaction(keyvalue.Expectation{Key: "fence"})
		assert.NilError(t, err)
		assert.Assert(t, tx.Size() <= keyvalue.MaxTransaction, "%d entries", tx.Size())
		done, err := sto.Write(t.Context(), keyvalue.Expectation{Key: "fence"}, ws)
		assert.NilError(t, err)
		assert.Assert(t, done)
		ta.WritesApplied(ws, now)
		for _, ch := range ws.Chunks {
			listed += len(ch.Results)
		}
		for _, cp := range ws.Checkpoints {
			saved[cp.Step] = true
		}
		now = now.Add(checkpointInterval)
	}
	assert.Equal(t, listed, 10)
	assert.Equal(t, len(saved), 10)
	assert.Assert(t, len(ta.garbageKeys) < 20, "some keys are deleted along with the writes")
}

func TestTooLargeTransaction(t *testing.T) {
	// The client rejects a transaction that the service would refuse, so that its outcome is known.
	var me keyvalue.Memory
	tx := keyvalue.Transaction{Deletes: make([]string, keyvalue.MaxTransaction+1)}
	_, err := me.Client().Transact(t.Context(), tx)
	assert.Assert(t, errors.Is(err, keyvalue.ErrTooLarge))
}
