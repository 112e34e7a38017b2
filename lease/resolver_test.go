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

func TestLooksAreCheap(t *testing.T) {
	// Load pattern: all entries look for a lost holder three times a second each. Two
	// of three looks may get an old record; one that stays old ends with the third.
	synctest.Test(t, func(t *testing.T) {
		record := func(owner string) keyvalue.Item {
			return keyvalue.Item{Value: encode(Record{Epoch: 1, ID: owner, Owner: owner})}
		}
		fresh, stale := 0, 0
		fi := &Resolver{Log: logrus.NewEntry(logrus.New()), Name: "name", Client: &keyvalue.Client{
			GetFunc: func(context.Context, string) (keyvalue.Item, error) {
				fresh++
				return record("new"), nil
			},
			GetStaleFunc: func(context.Context, string) (keyvalue.Item, error) {
				stale++
				return record("old"), nil
			},
		}}
		fi.Log.Logger.SetLevel(logrus.PanicLevel)
		var found []string
		for range 4 {
			found = append(found, fi.Address(t.Context()))
			fi.Invalidate("old", context.DeadlineExceeded)
			time.Sleep(lookEvery)
		}
		assert.DeepEqual(t, found, []string{"old", "old", "new", "new"})
		assert.Equal(t, fresh, 1)
		assert.Equal(t, stale, 2)
	})
}
