package directory

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
)

func TestCheckEndpoint(t *testing.T) {
	valid := Endpoint{Address: "10.0.0.1:80", Domain: "z", ID: "i-1", Service: "desk", Slots: 6}
	assert.NilError(t, valid.Check())
	for _, tc := range []struct {
		name   string
		change func(en *Endpoint)
		err    error
	}{
		{"no id", func(en *Endpoint) { en.ID = "" }, errNoID},
		{"id not a valid header", func(en *Endpoint) { en.ID = "a\nb" }, errNoID},
		{"no address", func(en *Endpoint) { en.Address = "" }, errNoAddress},
		{"address with a host name", func(en *Endpoint) { en.Address = "host:80" }, errNoAddress},
		{"address without a port", func(en *Endpoint) { en.Address = "10.0.0.1" }, errNoAddress},
		{"no service", func(en *Endpoint) { en.Service = "" }, errNoService},
		{"no failure domain", func(en *Endpoint) { en.Domain = "" }, errNoDomain},
		{"no slots", func(en *Endpoint) { en.Slots = 0 }, errNoSlots},
		{"negative slots", func(en *Endpoint) { en.Slots = -1 }, errNoSlots},
	} {
		t.Run(tc.name, func(t *testing.T) {
			en := valid
			tc.change(&en)
			assert.Assert(t, errors.Is(en.Check(), tc.err))
		})
	}
}

func TestUnusableEntries(t *testing.T) {
	// Guards against keeping the previous endpoint if its entry is overwritten with one that
	// cannot be decoded, and against logging such an entry at each read.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var me keyvalue.Memory
		put(t, &me, "servers/a", `{"Service":"desk"}`)
		put(t, &me, "servers/b", `{"Service":"desk"}`)
		logger, hook := test.NewNullLogger()
		fo := &Follower{Client: me.Client(), Directory: &Directory{}, Log: logrus.NewEntry(logger), Source: source()}
		go fo.Run(ctx)
		time.Sleep(2 * followPause)
		put(t, &me, "servers/b", `{"Service":`)
		put(t, &me, "servers/c", `[1]`)
		put(t, &me, "servers/d", fmt.Sprintf(`{"Service":"%s"}`, strings.Repeat("x", maxEntry)))
		time.Sleep(2 * followPause)
		assert.Assert(t, known(fo.Directory, "a"))
		for _, id := range []string{"b", "c", "d"} {
			assert.Assert(t, !known(fo.Directory, id), id)
		}
		assert.Equal(t, fo.Unusable(), 3)
		for range 5 {
			me.Forget() // forces a full scan
			time.Sleep(followWait)
		}
		lines := 0
		for _, en := range hook.AllEntries() {
			if en.Message == "entry names no endpoint" {
				lines++
			}
		}
		assert.Equal(t, lines, 3, "one for each entry and version")
		put(t, &me, "servers/b", `{"Service":"desk"}`)
		remove(t, &me, "servers/c")
		time.Sleep(2 * followPause)
		assert.Assert(t, known(fo.Directory, "b"))
		assert.Equal(t, fo.Unusable(), 1)
		cancel()
		synctest.Wait()
	})
}
