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

// startKeeper starts a process that saves what its table takes in.
func startKeeper(ctx context.Context, me *keyvalue.Memory) *Table {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	ta := &Table{}
	go (&Store{Client: me.Client(), Log: logrus.NewEntry(logger), Table: ta}).Run(ctx)
	return ta
}

// stored returns a table of what the service holds.
func stored(t *testing.T, me *keyvalue.Memory) *Table {
	t.Helper()
	it, err := me.Client().Get(t.Context(), Key)
	assert.NilError(t, err)
	var ta Table
	assert.NilError(t, ta.Load(it.Value, time.Now()))
	return &ta
}

func TestKeeper(t *testing.T) {
	// Three entries see one endpoint each end under a request, at once. Each writes
	// the value that all share; if one overwrote another's, the request would be
	// taken for half as suspect after the next start of the entries.
	for _, tc := range []struct {
		name    string
		trouble func(me *keyvalue.Memory)
		lasts   time.Duration
	}{
		{"calm", func(*keyvalue.Memory) {}, 0},
		{"the service is away", func(me *keyvalue.Memory) { me.SetFaults(keyvalue.Faults{Outage: true}) }, 5 * time.Second},
		{"the service is slow", func(me *keyvalue.Memory) { me.SetFaults(keyvalue.Faults{Delay: 300 * time.Millisecond}) }, 5 * time.Second},
		{"answers of writes are lost", func(me *keyvalue.Memory) { me.SetFaults(keyvalue.Faults{LoseAnswers: true}) }, time.Second},
		{"the value is another writer's", func(me *keyvalue.Memory) {
			_, _ = me.Client().Put(context.Background(), Key, []byte("text"), 0, 0) // what became of it shows below
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var me keyvalue.Memory
				tc.trouble(&me)
				for _, endpoint := range []string{"a", "b", "c"} {
					startKeeper(ctx, &me).RecordCrash("request", endpoint, time.Now())
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
	// Entries that no other process feeds learn of each other's ends from the
	// service. A watch whose connection has fallen silent never answers; the next one
	// must find what it hid.
	for _, tc := range []struct {
		name   string
		silent bool
		after  time.Duration
	}{{"calm", false, 100 * time.Millisecond}, {"the watch is silent", true, 11 * time.Second}} {
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
				other := startKeeper(ctx, &me)
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
