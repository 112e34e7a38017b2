package capacity

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/batch"
	"wisteriacroft/engine"
	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/ledger"
	"wisteriacroft/message"
)

const (
	groupSize = 8
	lapTime   = 2 * time.Second
	stepTime  = 24 * time.Minute
)

var places = []message.BlobLocation{
	{Address: "10.0.12.31:7400", FailureDomain: "coventry-hall", Instance: "marker-07"},
	{Address: "10.0.27.104:7400", FailureDomain: "derby-hall", Instance: "marker-19"},
}

// A maker is an owner whose samples are made evenly over the time of a step,
// and the trainer that takes them.
type maker struct {
	attempts []batch.Attempt
	bytes    int // written to the key-value service
	cursor   message.Cursor
	largest  int // value
	me       keyvalue.Memory
	next     int // step to submit
	owner    *batch.Owner
	random   *rand.Rand
	samples  int // of a step
	segments int // of a sample
	taken    int // steps
}

func newMaker(samples, segments int, whole bool) *maker {
	ma := &maker{cursor: message.Cursor{Incarnation: 1, Step: -1}, samples: samples, segments: segments}
	ma.random = rand.New(rand.NewPCG(1, 2))
	cl := ma.me.Client()
	put := cl.PutFunc
	cl.PutFunc = func(ctx context.Context, key string, value []byte, expected int64, id keyvalue.LeaseID) (int64, error) {
		ma.bytes += len(value)
		ma.largest = max(ma.largest, len(value))
		return put(ctx, key, value, expected, id)
	}
	ma.owner = &batch.Owner{
		CancelFunc:    func(string) {},
		Client:        cl,
		FetchFunc:     func(context.Context, []message.BlobLocation, string) ([]byte, error) { return nil, nil },
		LeaseFunc:     func(string, time.Time) (uint64, lease.State) { return 1, lease.Held },
		ReplicateFunc: func(context.Context, []byte) ([]message.BlobLocation, error) { return places, nil },
		StartFunc: func(at batch.Attempt) bool {
			ma.attempts = append(ma.attempts, at)
			return true
		},
	}
	ma.owner.Add("a", batch.Policy{StalenessBound: 4, StragglerAfter: time.Hour, WholeSteps: whole})
	return ma
}

// submit keeps two steps open.
func (ma *maker) submit(ctx context.Context) {
	if ma.next > ma.taken+1 {
		return
	}
	step, req := ma.next, message.StepRequest{Profile: "samples"}
	ma.next++
	for range ma.samples / groupSize {
		req.Groups = append(req.Groups, message.Group{MaxTokens: 20_000, Members: groupSize, Prompt: "a"})
	}
	go func() {
		if _, err := ma.owner.Submit(ctx, "a", step, req); err != nil {
			panic(err) // it waits for nothing but the ledger
		}
	}()
}

// generate makes the samples that are due in one lap, first started first.
func (ma *maker) generate(lap int) {
	laps := int(stepTime / lapTime)
	due := ma.samples*(lap+1)/laps - ma.samples*lap/laps
	for ; due > 0 && len(ma.attempts) > 0; due-- {
		at := ma.attempts[0]
		ma.attempts = ma.attempts[1:]
		ma.owner.Started(at.ID, "marker-llm-1", places[0].Address)
		ma.owner.Finished(at.ID, ma.result())
	}
}

func (ma *maker) result() message.SampleResult {
	sr := message.SampleResult{Digest: ma.digest(), Endpoint: "marker-llm-1", Places: places, Size: 160_000 + ma.random.IntN(9_999)}
	for i := range ma.segments {
		sr.Segments = append(sr.Segments, engine.Segment{Tokens: 4_000, Version: engine.Version(70_000 + i)})
		sr.Tokens += 4_000
	}
	return sr
}

func (ma *maker) digest() string {
	data := make([]byte, 32)
	for i := range data {
		data[i] = byte(ma.random.Uint32())
	}
	return hex.EncodeToString(data)
}

// pull takes the next batch, if there is one.
func (ma *maker) pull(ctx context.Context) {
	an, err := ma.owner.Pull(ctx, "a", message.PullRequest{Cursor: ma.cursor})
	if err != nil || an.Batch == "" {
		return
	}
	ma.cursor = message.Cursor{Batch: an.Batch, Digest: an.Digest, Incarnation: 1, Step: an.Step}
	if an.Whole {
		ma.taken++
	}
}

// run makes and takes steps until so many are taken.
func (ma *maker) run(t *testing.T, steps int) {
	for lap := 0; ma.taken < steps; lap++ {
		assert.Assert(t, lap < 20*int(stepTime/lapTime), "no progress")
		time.Sleep(lapTime)
		ma.submit(t.Context())
		synctest.Wait()
		for _, sy := range ma.owner.Systems() {
			sy.Run(time.Now())
			synctest.Wait()
		}
		ma.generate(lap)
		ma.pull(t.Context())
	}
}

// TestLedgerTraffic counts what one trainer's steps write to the key-value
// service, once steps are kept and open beside the one at hand.
func TestLedgerTraffic(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%7s %8s %6s %12s %10s %10s %13s %6s\n",
		"samples", "segments", "whole", "writes/step", "reads/step", "KB/step", "largest-bytes", "B/s")
	for _, ca := range []struct {
		samples, segments int
		whole             bool
	}{{64, 2, true}, {256, 2, true}, {1024, 2, true}, {1024, 5, true}, {64, 2, false}, {256, 2, false}, {1024, 2, false}, {1024, 5, false}} {
		synctest.Test(t, func(t *testing.T) {
			ma := newMaker(ca.samples, ca.segments, ca.whole)
			const warm, measured = 2, 2
			ma.run(t, warm)
			before, bytes := ma.me.Calls(), ma.bytes
			ma.run(t, warm+measured)
			after := ma.me.Calls()
			written := ma.bytes - bytes
			fmt.Fprintf(&table, "%7d %8d %6v %12.1f %10.1f %10.0f %13d %6.0f\n",
				ca.samples, ca.segments, ca.whole,
				float64(after.Writes-before.Writes)/measured, float64(after.Reads-before.Reads)/measured,
				float64(written)/measured/1024, ma.largest, float64(written)/measured/stepTime.Seconds())
		})
	}
	golden.Assert(t, table.String(), "ledger-traffic.golden")
}

// record returns a ledger with so many batches, each of a whole step.
func record(batches, samples, segments int) ledger.Record {
	ma := newMaker(samples, segments, true)
	rec := ledger.Record{Epoch: 1, Seals: batches}
	for i := range batches {
		ba := ledger.Batch{Digest: ma.digest(), Seal: 70_000 + i, Step: 70_000 + i, Whole: true}
		for j := range samples {
			sr := ma.result()
			ba.Entries = append(ba.Entries, message.SampleEntry{
				Digest: sr.Digest, Group: j / groupSize, Member: j % groupSize, Places: places, Segments: sr.Segments, Size: sr.Size,
			})
		}
		rec.Batches = append(rec.Batches, ba)
		rec.Steps = append(rec.Steps, ledger.Step{Digest: ma.digest(), Number: 70_000 + i, Places: places, Profile: "samples", Samples: samples})
	}
	return rec
}

// write returns the size of a record in the key-value service, or its refusal.
func write(t *testing.T, rec ledger.Record) (int, error) {
	var me keyvalue.Memory
	bo := &ledger.Writer{Client: me.Client(), Trainer: "a"}
	_, _, err := bo.Adopt(t.Context(), 1)
	assert.NilError(t, err)
	if err := bo.Write(t.Context(), rec); err != nil {
		return 0, err
	}
	its, err := me.Client().List(t.Context(), "")
	assert.NilError(t, err)
	return len(its[0].Value), nil
}

// TestLedgerSize measures a ledger that holds as many manifests as it may: one
// kept, one sealed and two open steps that are sealed too. It looks for the
// largest step that the service's bound on values allows.
func TestLedgerSize(t *testing.T) {
	const manifests = 4
	var table strings.Builder
	fmt.Fprintf(&table, "%9s %8s %8s %9s\n", "manifests", "segments", "samples", "bytes")
	for _, segments := range []int{2, 5, 8} {
		for _, ca := range []struct{ manifests, samples int }{{1, 64}, {1, 256}, {1, 1024}, {manifests, 1024}, {manifests, batch.MaxSamples}} {
			size, err := write(t, record(ca.manifests, ca.samples, segments))
			if errors.Is(err, keyvalue.ErrTooLarge) {
				size = -1
			}
			fmt.Fprintf(&table, "%9d %8d %8d %9d\n", ca.manifests, segments, ca.samples, size)
		}
		fits := 0
		for step := 4096; step > 0; step /= 2 {
			if _, err := write(t, record(manifests, fits+step, segments)); err == nil {
				fits += step
			}
		}
		fmt.Fprintf(&table, "%9d %8d %8d   largest\n", manifests, segments, fits)
	}
	golden.Assert(t, table.String(), "ledger-size.golden")
}
