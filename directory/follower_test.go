package directory

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

func source() Schema {
	return Schema{
		ConfigurationKey: "op/config", EndpointPrefix: "servers/", OperatorPrefix: "op/", VersionPrefix: "op/version/",
		DecodeConfigurationFunc: func(value []byte) (*Configuration, error) {
			co := &Configuration{}
			return co, json.Unmarshal(value, co)
		},
		DecodeEndpointFunc: func(id string, value []byte) (Endpoint, error) {
			en := Endpoint{ID: id}
			return en, json.Unmarshal(value, &en)
		},
		DecodeVersionFunc: func(value []byte) (string, uint64, error) {
			return "model", uint64(len(value)), nil
		},
	}
}

// follow runs a follower until ctx ends, and returns its directory.
func follow(ctx context.Context, me *keyvalue.Memory) *Directory {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	fo := &Follower{Client: me.Client(), Directory: &Directory{}, Log: logrus.NewEntry(logger), Source: source()}
	go fo.Run(ctx)
	return fo.Directory
}

func put(t *testing.T, me *keyvalue.Memory, key, value string) {
	t.Helper()
	it, _ := me.Client().Get(t.Context(), key)
	_, err := me.Client().Put(t.Context(), key, []byte(value), it.Version, 0)
	assert.NilError(t, err)
}

func remove(t *testing.T, me *keyvalue.Memory, key string) {
	t.Helper()
	it, err := me.Client().Get(t.Context(), key)
	assert.NilError(t, err)
	assert.NilError(t, me.Client().Delete(t.Context(), key, it.Version))
}

func TestChangesOfOneEndpointStayInOrder(t *testing.T) {
	// Guards against a removed endpoint reappearing if its entry is changed and removed within
	// one response.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var me keyvalue.Memory
		put(t, &me, "servers/a", `{"Service":"desk"}`)
		di := follow(ctx, &me)
		time.Sleep(followPause + time.Millisecond)
		put(t, &me, "servers/b", `{"Service":"desk"}`) // starts a pause
		time.Sleep(time.Millisecond)
		put(t, &me, "servers/a", `{"Service":"desk","Slots":2}`)
		remove(t, &me, "servers/a")
		time.Sleep(2 * followPause)
		assert.Assert(t, !known(di, "a"))
		assert.Assert(t, known(di, "b"))
		cancel()
		synctest.Wait()
	})
}

func TestLostHistory(t *testing.T) {
	// Guards against missing a removal if the service drops its history before the follower
	// has read it.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var me keyvalue.Memory
		put(t, &me, "servers/a", `{"Service":"desk"}`)
		put(t, &me, "op/config", `{"Version":3}`)
		di := follow(ctx, &me)
		time.Sleep(time.Millisecond)
		remove(t, &me, "servers/a")
		put(t, &me, "op/config", `{"Version":5}`)
		me.Forget()
		time.Sleep(2 * followPause)
		assert.Assert(t, !known(di, "a"))
		assert.Equal(t, di.Configuration().Version, int64(5))
		cancel()
		synctest.Wait()
	})
}

func TestUndecodableConfiguration(t *testing.T) {
	// Guards against losing the current configuration if operators write one that cannot be
	// decoded.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var me keyvalue.Memory
		put(t, &me, "op/config", `{"Version":3}`)
		di := follow(ctx, &me)
		time.Sleep(time.Millisecond)
		put(t, &me, "op/config", `{"Version":`)
		put(t, &me, "op/version/model", "1234")
		time.Sleep(time.Second)
		assert.Equal(t, di.Configuration().Version, int64(3))
		assert.DeepEqual(t, di.Versions(), map[string]uint64{"model": 4})
		cancel()
		synctest.Wait()
	})
}

// Parts of a configuration that cannot be decoded are logged once for each version.
func TestUnreadPartsAreLoggedOnce(t *testing.T) {
	logger, hook := test.NewNullLogger()
	fo := &Follower{Directory: &Directory{}, Log: logrus.NewEntry(logger), Source: source()}
	lines := func() int {
		count := 0
		for _, en := range hook.AllEntries() {
			if en.Level == logrus.ErrorLevel {
				count++
				assert.DeepEqual(t, en.Data["unread"], []string{"quota of customer ada"})
			}
		}
		return count
	}
	apply := func(value string) {
		fo.applyOperator([]keyvalue.Item{{Key: "op/config", Value: []byte(value), Version: 1}}, true)
	}
	for range 3 {
		apply(`{"Version":1,"Unread":["quota of customer ada"]}`)
	}
	assert.Equal(t, lines(), 1)
	apply(`{"Version":2,"Unread":["quota of customer ada"]}`)
	assert.Equal(t, lines(), 2)
	apply(`{"Version":3}`)
	assert.Equal(t, lines(), 2)
}
