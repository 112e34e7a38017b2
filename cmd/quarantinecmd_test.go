package cmd

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/platform"
	"wisteriacroft/platform/standin"
	"wisteriacroft/quarantine"
)

// TestQuarantine lists and lifts a quarantined request, with the records in either of the
// key-value services.
func TestQuarantine(t *testing.T) {
	var me keyvalue.Memory
	store := &standin.Store{}
	sv := httptest.NewServer(store.Handler())
	defer sv.Close()
	address := strings.TrimPrefix(sv.URL, "http://")
	for _, tc := range []struct {
		name   string
		client *keyvalue.Client
		flag   string
	}{
		{"own key-value service", me.Client(), "--platform=http://own"},
		{"key-value service of the users' platform", platform.NewStore(address, nil), "--store=" + address},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ta quarantine.Table
			for _, endpoint := range []string{"a", "b", "c"} {
				ta.RecordCrash("barred", endpoint, time.Now())
			}
			ta.RecordCrash("suspect", "a", time.Now())
			value, err := cbor.Marshal(ta.Records(time.Now()))
			assert.NilError(t, err)
			_, err = tc.client.Put(t.Context(), quarantine.Key, value, 0, 0)
			assert.NilError(t, err)
			run := func(args ...string) (string, error) {
				var out bytes.Buffer
				var root struct {
					Quarantine QuarantineCmd `cmd:""`
				}
				parser, err := kong.New(&root, kong.Exit(func(int) {}))
				assert.NilError(t, err)
				command, err := parser.Parse(append([]string{"quarantine"}, append(args, tc.flag)...))
				assert.NilError(t, err)
				command.BindTo(t.Context(), (*context.Context)(nil))
				err = command.Run(&ProfileEnv{
					OpenFunc: func(string) (*keyvalue.Client, error) { return me.Client(), nil }, Stdout: &out,
				})
				return out.String(), err
			}
			out, err := run("list")
			assert.NilError(t, err)
			lines := strings.Split(strings.TrimSpace(out), "\n")
			assert.Equal(t, len(lines), 3, out)
			assert.Assert(t, strings.HasPrefix(lines[1], "barred") && strings.Contains(lines[1], " 3 "), out)
			out, err = run("lift", "barred", "--dry-run")
			assert.NilError(t, err)
			assert.Equal(t, out, "would lift barred, 3 endpoints ended under it\n")
			out, err = run("lift", "barred")
			assert.NilError(t, err)
			assert.Equal(t, out, "lifted barred\n")
			_, err = run("lift", "barred")
			assert.ErrorIs(t, err, quarantine.ErrNotQuarantined)
			out, err = run("list", "--output", "json")
			assert.NilError(t, err)
			assert.Assert(t, !strings.Contains(out, "barred") && strings.Contains(out, `"digest": "suspect"`), out)
		})
	}
}
