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

func TestResolverLearns(t *testing.T) {
	// Guards against a lookup by every process after a change of holder, and against calls to a dead
	// holder that another process still names.
	synctest.Test(t, func(t *testing.T) {
		re := &Resolver{Client: &keyvalue.Client{}, Log: logrus.NewEntry(logrus.New()), Name: "name"}
		re.Log.Logger.SetLevel(logrus.PanicLevel)
		re.Learn("")
		assert.Equal(t, re.Known(), "")
		re.Learn("old")
		assert.Equal(t, re.Known(), "old")
		re.Invalidate("old", context.DeadlineExceeded)
		re.Learn("old")
		assert.Equal(t, re.Known(), "", "it may have died just now")
		re.Learn("new")
		assert.Equal(t, re.Known(), "new")
		re.Invalidate("new", context.DeadlineExceeded)
		time.Sleep(learnPause)
		re.Learn("new")
		assert.Equal(t, re.Known(), "new", "it is back")
	})
}
