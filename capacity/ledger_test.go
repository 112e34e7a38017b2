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
	groupSize    = 8
	tickInterval = 2 * time.Second
	stepTime     = 24 * time.Minute
)

var places = []message.BlobLocation{
	{Address: "10.0.12.31:7400", FailureDomain: "coventry-hall", Instance: "marker-07"},
	{Address: "10.0.27.104:7400", FailureDomain: "derby-hall", Instance: "marker-19"},
}

// A sampleOwner is an owner whose samples are generated evenly over the time of a
// step, and the trainer that pulls them.
type sampleOwner struct {
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

func newSampleOwner(samples, segments int, whole bool) *sampleOwner {
	so := &sampleOwner{cursor: message.Cursor{Incarnation: 1, Step: -1}, samples: samples, segments: segments}
	so.random = rand.New(rand.NewPCG(1, 2))
	cl := so.me.Client()
	put := cl.PutFunc
	cl.PutFunc = func(ctx context.Context, key string, value []byte, expected int64, id keyvalue.LeaseID) (int64, error) {
		so.bytes += len(value)
		so.largest = max(so.largest, len(value))
		return put(ctx, key, value, expected, id)
	}
	so.owner = &batch.Owner{
		CancelFunc:    func(string) {},
		Client:        cl,
		FetchFunc:     func(context.Context, []message.BlobLocation, string) ([]byte, error) { return nil, nil },
		LeaseFunc:     func(string, time.Time) (uint64, lease.State) { return 1, lease.Held },
		ReplicateFunc: func(context.Context, []byte) ([]message.BlobLocation, error) { return places, nil },
		StartFunc: func(at batch.Attempt) bool {
			so.attempts = append(so.attempts, at)
			return true
		},
	}
	so.owner.Add("a", batch.Policy{StalenessBound: 4, StragglerAfter: time.Hour, WholeSteps: whole})
	return so
}

// submit submits the next step, unless two are open.
func (so *sampleOwner) submit(ctx context.Context) {
	if so.next > so.taken+1 {
		return
	}
	step, req := so.next, message.StepRequest{Profile: "samples"}
	so.next++
	for range so.samples / groupSize {
		req.Groups = append(req.Groups, message.Group{MaxTokens: 20_000, Members: groupSize, Prompt: "a"})
	}
	go func() {
		if _, err := so.owner.Submit(ctx, "a", step, req); err != nil {
			panic(err) // it depends only on the ledger
		}
	}()
}

// generate finishes the samples that are due in one tick, first started first.
func (so *sampleOwner) generate(tick int) {
	ticks := int(stepTime / tickInterval)
	due := so.samples*(tick+1)/ticks - so.samples*tick/ticks
	for ; due > 0 && len(so.attempts) > 0; due-- {
		at := so.attempts[0]
		so.attempts = so.attempts[1:]
		so.owner.Started(at.ID, "marker-llm-1", places[0].Address)
		so.owner.Finished(at.ID, so.result())
	}
}

func (so *sampleOwner) result() message.SampleResult {
	sr := message.SampleResult{Digest: so.digest(), Endpoint: "marker-llm-1", Places: places, Size: 160_000 + so.random.IntN(9_999)}
	for i := range so.segments {
		sr.Segments = append(sr.Segments, engine.Segment{Tokens: 4_000, Version: engine.Version(70_000 + i)})
		sr.Tokens += 4_000
	}
	return sr
}

func (so *sampleOwner) digest() string {
	data := make([]byte, 32)
	for i := range data {
		data[i] = byte(so.random.Uint32())
	}
	return hex.EncodeToString(data)
}

// pull pulls the next batch, if there is one.
func (so *sampleOwner) pull(ctx context.Context) {
	an, err := so.owner.Pull(ctx, "a", message.PullRequest{Cursor: so.cursor})
	if err != nil || an.Batch == "" {
		return
	}
	so.cursor = message.Cursor{Batch: an.Batch, Digest: an.Digest, Incarnation: 1, Step: an.Step}
	if an.Whole {
		so.taken++
	}
}

// run generates and pulls steps until a number of them are taken.
func (so *sampleOwner) run(t *testing.T, steps int) {
	for tick := 0; so.taken < steps; tick++ {
		assert.Assert(t, tick < 20*int(stepTime/tickInterval), "no progress")
		time.Sleep(tickInterval)
		so.submit(t.Context())
		synctest.Wait()
		for _, sy := range so.owner.Systems() {
			sy.Run(time.Now())
			synctest.Wait()
		}
		so.generate(tick)
		so.pull(t.Context())
	}
}

// TestLedgerTraffic counts the writes of one trainer's steps to the key-value
// service, when the ledger also holds the previous and further open steps.
func TestLedgerTraffic(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%7s %8s %6s %12s %10s %10s %13s %6s\n",
		"samples", "segments", "whole", "writes/step", "reads/step", "KB/step", "largest-bytes", "B/s")
	for _, ca := range []struct {
		samples, segments int
		whole             bool
	}{{64, 2, true}, {256, 2, true}, {1024, 2, true}, {1024, 5, true}, {64, 2, false}, {256, 2, false}, {1024, 2, false}, {1024, 5, false}} {
		synctest.Test(t, func(t *testing.T) {
			so := newSampleOwner(ca.samples, ca.segments, ca.whole)
			const warm, measured = 2, 2
			so.run(t, warm)
			before, bytes := so.me.Calls(), so.bytes
			so.run(t, warm+measured)
			after := so.me.Calls()
			written := so.bytes - bytes
			fmt.Fprintf(&table, "%7d %8d %6v %12.1f %10.1f %10.0f %13d %6.0f\n",
				ca.samples, ca.segments, ca.whole,
				float64(after.Writes-before.Writes)/measured, float64(after.Reads-before.Reads)/measured,
				float64(written)/measured/1024, so.largest, float64(written)/measured/stepTime.Seconds())
		})
	}
	golden.Assert(t, table.String(), "ledger-traffic.golden")
}

// record returns a ledger record with a number of batches, each of a whole step.
func record(batches, samples, segments int) ledger.Record {
	so := newSampleOwner(samples, segments, true)
	rec := ledger.Record{Epoch: 1, Seals: batches}
	for i := range batches {
		ba := ledger.Batch{Digest: so.digest(), Seal: 70_000 + i, Step: 70_000 + i, Whole: true}
		for j := range samples {
			sr := so.result()
			ba.Entries = append(ba.Entries, message.SampleEntry{
				Digest: sr.Digest, Group: j / groupSize, Member: j % groupSize, Places: places, Segments: sr.Segments, Size: sr.Size,
			})
		}
		rec.Batches = append(rec.Batches, ba)
		rec.Steps = append(rec.Steps, ledger.Step{Digest: so.digest(), Number: 70_000 + i, Places: places, Profile: "samples", Samples: samples})
	}
	return rec
}

// write stores a record in a key-value service and returns its size there.
func write(t *testing.T, rec ledger.Record) (int, error) {
	var me keyvalue.Memory
	wr := &ledger.Writer{Client: me.Client(), Trainer: "a"}
	_, _, err := wr.Adopt(t.Context(), 1)
	assert.NilError(t, err)
	if err := wr.Write(t.Context(), rec); err != nil {
		return 0, err
	}
	its, err := me.Client().List(t.Context(), "")
	assert.NilError(t, err)
	return len(its[0].Value), nil
}

// TestLedgerSize measures a ledger with the maximum number of manifests: one
// retained, one sealed and two open steps that are sealed too. It searches for the
// largest step that fits into the service's limit on values.
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
