package profile

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

// plainService returns a profile of a plain service; timeout varies its text.
func plainService(t testing.TB, name, timeout string) Profile {
	t.Helper()
	pr, findings := Parse(name, name+fileSuffix, fmt.Sprintf(
		"kind = \"service\"\nservice = %q\ntype = \"plain\"\nendpoints = [\"%s-1\"]\nleave-timeout = %q\n",
		name, name, timeout))
	assert.Equal(t, len(findings), 0, "%v", findings)
	return pr
}

// An operator applies profiles from a directory of its own.
type operator struct {
	base   Base
	store  Store
	wanted []Profile
}

// set edits a profile in the operator's directory.
func (op *operator) set(pr Profile) {
	others := []Profile{pr}
	for _, other := range op.wanted {
		if other.name != pr.name {
			others = append(others, other)
		}
	}
	op.wanted = others
}

func (op *operator) apply(ctx context.Context, id string) (ApplyResult, error) {
	res, err := op.store.Apply(ctx, ApplyRequest{Base: op.base, By: "op", ChangeID: id, Wanted: op.wanted})
	if err == nil {
		op.base = op.base.Advance(res.Document, op.wanted)
	}
	return res, err
}

// A fault makes one of ana's calls fail; bob's calls are not affected.
type fault func(t *testing.T, ana *keyvalue.Client, me *keyvalue.Memory, bob *operator)

// onFirstPut replaces the first write by act; put performs the write.
func onFirstPut(cl *keyvalue.Client, act func(ctx context.Context, put func() (int64, error)) (int64, error)) {
	next := cl.PutFunc
	cl.PutFunc = func(ctx context.Context, key string, va []byte, ve int64, le keyvalue.LeaseID) (int64, error) {
		cl.PutFunc = next
		return act(ctx, func() (int64, error) { return next(context.WithoutCancel(ctx), key, va, ve, le) })
	}
}

func noFault(*testing.T, *keyvalue.Client, *keyvalue.Memory, *operator) {}

// loseAnswer lets the first write take effect and drops its response.
func loseAnswer(_ *testing.T, ana *keyvalue.Client, _ *keyvalue.Memory, _ *operator) {
	onFirstPut(ana, func(_ context.Context, put func() (int64, error)) (int64, error) {
		_, err := put()
		return 0, errors.CombineErrors(err, keyvalue.ErrOutcomeUnknown)
	})
}

// bobAfter loses the first write's response and lets bob write after it.
func bobAfter(service string) fault {
	return func(t *testing.T, ana *keyvalue.Client, _ *keyvalue.Memory, bob *operator) {
		onFirstPut(ana, func(ctx context.Context, put func() (int64, error)) (int64, error) {
			_, err := put()
			assert.NilError(t, err)
			vd, err := bob.store.Read(ctx)
			assert.NilError(t, err)
			bob.base, bob.wanted = NewBase(vd.Document), vd.Document.Profiles()
			bob.set(plainService(t, service, "9s"))
			_, err = bob.apply(ctx, "bob")
			assert.NilError(t, err)
			return 0, keyvalue.ErrOutcomeUnknown
		})
	}
}

// bobBefore lets bob write between ana's read and her write.
func bobBefore(service string) fault {
	return func(t *testing.T, ana *keyvalue.Client, _ *keyvalue.Memory, bob *operator) {
		onFirstPut(ana, func(ctx context.Context, put func() (int64, error)) (int64, error) {
			bob.set(plainService(t, service, "9s"))
			_, err := bob.apply(ctx, "bob")
			assert.NilError(t, err)
			return put()
		})
	}
}

// outageBefore starts an outage just before the first write.
func outageBefore(_ *testing.T, ana *keyvalue.Client, me *keyvalue.Memory, _ *operator) {
	onFirstPut(ana, func(_ context.Context, put func() (int64, error)) (int64, error) {
		me.SetFaults(keyvalue.Faults{Outage: true})
		return put()
	})
}

// outageAfter starts an outage just after the first write took effect and loses
// its response.
func outageAfter(_ *testing.T, ana *keyvalue.Client, me *keyvalue.Memory, _ *operator) {
	onFirstPut(ana, func(_ context.Context, put func() (int64, error)) (int64, error) {
		_, err := put()
		me.SetFaults(keyvalue.Faults{Outage: true})
		return 0, errors.CombineErrors(err, keyvalue.ErrOutcomeUnknown)
	})
}

// lateWrite returns an unknown outcome and performs the write after the next read.
func lateWrite(_ *testing.T, ana *keyvalue.Client, _ *keyvalue.Memory, _ *operator) {
	onFirstPut(ana, func(_ context.Context, put func() (int64, error)) (int64, error) {
		time.AfterFunc(firstBackoff+time.Millisecond, func() { _, _ = put() })
		return 0, keyvalue.ErrOutcomeUnknown
	})
}

// silent makes ana's first write hang without performing it.
func silent(_ *testing.T, ana *keyvalue.Client, _ *keyvalue.Memory, _ *operator) {
	onFirstPut(ana, func(ctx context.Context, _ func() (int64, error)) (int64, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	})
}

// silentRead makes ana's first read hang.
func silentRead(_ *testing.T, ana *keyvalue.Client, _ *keyvalue.Memory, _ *operator) {
	get := ana.GetFunc
	ana.GetFunc = func(ctx context.Context, _ string) (keyvalue.Item, error) {
		ana.GetFunc = get
		<-ctx.Done()
		return keyvalue.Item{}, ctx.Err()
	}
}

func TestApply(t *testing.T) {
	// Under races, lost responses and outages, a change must be applied exactly once
	// or reported as failed or unknown. ana sets service a's timeout to 2s.
	tests := []struct {
		name     string
		fault    fault
		err      error  // sentinel error
		errText  string // part of the error, if there is no sentinel
		a, b     string // leave-timeouts in the service at the end
		revision uint64
		settled  bool
		unknown  bool
	}{
		{name: "no fault", fault: noFault, a: "2s", b: "1s", revision: 2},
		{name: "response lost", fault: loseAnswer, a: "2s", b: "1s", revision: 2, settled: true},
		{name: "response lost, then another profile written", fault: bobAfter("b"), a: "2s", b: "9s", revision: 3, settled: true},
		{name: "response lost, then the same profile written", fault: bobAfter("a"), a: "9s", b: "1s", revision: 3, settled: true},
		{name: "write arrives late", fault: lateWrite, a: "2s", b: "1s", revision: 2},
		{name: "write hangs", fault: silent, a: "2s", b: "1s", revision: 2},
		{name: "read hangs", fault: silentRead, err: keyvalue.ErrUnavailable, a: "1s", b: "1s", revision: 1},
		{name: "race on different profiles", fault: bobBefore("b"), a: "2s", b: "9s", revision: 3},
		{name: "race on the same profile", fault: bobBefore("a"), errText: "changed both here and in revision 2", a: "9s", b: "1s", revision: 2},
		{name: "outage before the write", fault: outageBefore, err: keyvalue.ErrUnavailable, a: "1s", b: "1s", revision: 1},
		{name: "outage after the write", fault: outageAfter, err: keyvalue.ErrOutcomeUnknown, unknown: true, a: "2s", b: "1s", revision: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var me keyvalue.Memory
				ana := operator{store: Store{Client: me.Client()}}
				ana.wanted = []Profile{plainService(t, "a", "1s"), plainService(t, "b", "1s")}
				_, err := ana.apply(t.Context(), "first")
				assert.NilError(t, err)
				bob := operator{base: ana.base, store: Store{Client: me.Client()}, wanted: ana.wanted}

				ana.set(plainService(t, "a", "2s"))
				tt.fault(t, ana.store.Client, &me, &bob)
				started := time.Now()
				res, err := ana.apply(t.Context(), "ana")
				assert.Assert(t, time.Since(started) < 30*time.Second)

				var unknown *OutcomeUnknownError
				assert.Equal(t, errors.As(err, &unknown), tt.unknown, "%v", err)
				switch {
				case tt.err != nil:
					assert.Assert(t, errors.Is(err, tt.err), "%v", err)
				case tt.errText != "":
					assert.ErrorContains(t, err, tt.errText)
				default:
					assert.NilError(t, err)
					assert.Equal(t, res.Settled, tt.settled)
				}
				var conflict *Conflict
				if errors.As(err, &conflict) {
					assert.Equal(t, conflict.Last().ID(), "bob")
					assert.DeepEqual(t, conflict.Differences(), []Difference{{
						Current: plainService(t, "a", "9s").Source(),
						Name:    "a",
						Wanted:  plainService(t, "a", "2s").Source(),
					}})
				}
				time.Sleep(time.Minute)
				me.SetFaults(keyvalue.Faults{})
				vd, err := bob.store.Read(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, vd.Document.Revision(), tt.revision)
				a, _ := vd.Document.Profile("a")
				b, _ := vd.Document.Profile("b")
				assert.Equal(t, formatDuration(a.LeaveTimeout())+" "+formatDuration(b.LeaveTimeout()), tt.a+" "+tt.b)
			})
		})
	}
}

func TestApplyChecksMergedProfiles(t *testing.T) {
	// Two valid directories can merge into an invalid document, such as two
	// services with the same endpoint.
	var me keyvalue.Memory
	ana := operator{store: Store{Client: me.Client()}, wanted: []Profile{plainService(t, "a", "1s")}}
	_, err := ana.apply(t.Context(), "ana")
	assert.NilError(t, err)
	other, _ := Parse("b", "b.toml", "kind = \"service\"\nservice = \"b\"\ntype = \"plain\"\nendpoints = [\"a-1\"]\n")
	bob := operator{store: Store{Client: me.Client()}, wanted: []Profile{other}}
	_, err = bob.apply(t.Context(), "bob")
	assert.Assert(t, errors.Is(err, ErrInvalid))
	assert.ErrorContains(t, err, `b.toml:4: endpoints: the endpoint "a-1" is claimed by profile "a" too`)
	_, err = ana.store.Apply(t.Context(), ApplyRequest{ChangeID: "ana", Wanted: []Profile{plainService(t, "a", "5s")}})
	assert.Assert(t, errors.Is(err, ErrChangeIDUsed))
	_, err = ana.store.Apply(t.Context(), ApplyRequest{AtLeast: 2, Base: ana.base, Wanted: ana.wanted})
	assert.ErrorContains(t, err, "holds revision 1, but revision 2 has been in force")
}
