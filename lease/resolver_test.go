package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

func TestResolverStaleReads(t *testing.T) {
	// Guards against expensive consistent reads at each lookup, and against finding only a
	// stale record.
	synctest.Test(t, func(t *testing.T) {
		record := func(owner string) keyvalue.Item {
			return keyvalue.Item{Value: encode(Record{Epoch: 1, ID: owner, Owner: owner})}
		}
		fresh, stale := 0, 0
		re := &Resolver{Log: logrus.NewEntry(logrus.New()), Name: "name", Client: &keyvalue.Client{
			GetFunc: func(context.Context, string) (keyvalue.Item, error) {
				fresh++
				return record("new"), nil
			},
			GetStaleFunc: func(context.Context, string) (keyvalue.Item, error) {
				stale++
				return record("old"), nil
			},
		}}
		re.Log.Logger.SetLevel(logrus.PanicLevel)
		var found []string
		for range 4 {
			found = append(found, re.Address(t.Context()))
			re.Invalidate("old", context.DeadlineExceeded)
			time.Sleep(lookupInterval)
		}
		assert.DeepEqual(t, found, []string{"old", "old", "new", "new"})
		assert.Equal(t, fresh, 1)
		assert.Equal(t, stale, 2)
	})
}
