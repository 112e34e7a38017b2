package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

// startStore starts a store that saves the records of the returned table.
func startStore(ctx context.Context, me *keyvalue.Memory) *Table {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	ta := &Table{}
	go (&Store{Client: me.Client(), Log: logrus.NewEntry(logger), Table: ta}).Run(ctx)
	return ta
}

// stored returns a table with the stored records.
func stored(t *testing.T, me *keyvalue.Memory) *Table {
	t.Helper()
	it, err := me.Client().Get(t.Context(), Key)
	assert.NilError(t, err)
	var ta Table
	assert.NilError(t, ta.Load(it.Value, time.Now()))
	return &ta
}

func TestStore(t *testing.T) {
	// Guards against processes that save at the same time overwriting each other's records.
	for _, tc := range []struct {
		name  string
		fault func(me *keyvalue.Memory)
		lasts time.Duration
	}{
		{"no fault", func(*keyvalue.Memory) {}, 0},
		{"outage", func(me *keyvalue.Memory) { me.SetFaults(keyvalue.Faults{Outage: true}) }, 5 * time.Second},
		{"slow service", func(me *keyvalue.Memory) { me.SetFaults(keyvalue.Faults{Delay: 300 * time.Millisecond}) }, 5 * time.Second},
		{"lost responses", func(me *keyvalue.Memory) { me.SetFaults(keyvalue.Faults{LoseAnswers: true}) }, time.Second},
		{"undecodable value", func(me *keyvalue.Memory) {
			_, _ = me.Client().Put(context.Background(), Key, []byte("text"), 0, 0) // checked below
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var me keyvalue.Memory
				tc.fault(&me)
				for _, endpoint := range []string{"a", "b", "c"} {
					startStore(ctx, &me).RecordCrash("request", endpoint, time.Now())
				}
				time.Sleep(tc.lasts)
				me.SetFaults(keyvalue.Faults{})
				time.Sleep(time.Second)
				assert.Equal(t, stored(t, &me).Check("request", time.Now()).Strikes, 3)
				calls := me.Calls()
				time.Sleep(time.Minute)
				assert.Equal(t, me.Calls(), calls, "nothing is left to save")
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestFollow(t *testing.T) {
	// Guards against missing records of other processes because the connection of a watch is
	// dead.
	for _, tc := range []struct {
		name   string
		silent bool
		after  time.Duration
	}{{"no fault", false, 100 * time.Millisecond}, {"dead connection", true, 11 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var me keyvalue.Memory
				cl := me.Client()
				if watch := cl.WatchFunc; tc.silent {
					cl.WatchFunc = func(ctx context.Context, key string, after int64) (keyvalue.Item, error) {
						cl.WatchFunc = watch
						<-ctx.Done()
						return keyvalue.Item{}, ctx.Err()
					}
				}
				logger := logrus.New()
				logger.SetLevel(logrus.PanicLevel)
				var ta Table
				go (&Store{Client: cl, Log: logrus.NewEntry(logger), Table: &ta}).Follow(ctx)
				synctest.Wait()
				other := startStore(ctx, &me)
				for i := range 2 {
					other.RecordCrash("request", string(rune('a'+i)), time.Now())
				}
				time.Sleep(tc.after)
				assert.Equal(t, ta.Check("request", time.Now()).Strikes, 2)
				cancel()
				synctest.Wait()
			})
		})
	}
}
