package cmd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/instancelist"
	"wisteriacroft/message"
	"wisteriacroft/peer"
)

var cutOff = time.Date(2026, 3, 2, 5, 4, 0, 0, time.UTC)

// fleet holds the status of each process by its address. The process at 10.3.0.5:7100 is in
// the instance list but unreachable.
var fleet = map[string]message.Status{
	"10.1.0.5:7100": {
		Batches: []message.BatchStatus{
			{ID: "b-7", Published: true, Samples: 8, State: message.BatchSealed, Step: 6, Trainer: "marker-a", Wanted: 8},
			{ID: "b-8", Samples: 8, State: message.BatchSealed, Step: 7, Trainer: "marker-a", Wanted: 8},
			{ID: "b-9", Samples: 3, State: message.BatchOpen, Step: 8, Trainer: "marker-a", Wanted: 8},
		},
		FailureDomain: "coventry-hall", Incarnation: 17, Instance: "coventry-entry-1",
		Leases:   []message.LeaseStatus{{Epoch: 4, ExpiresAt: cutOff.Add(time.Minute), Name: "trainers/marker-a"}},
		Revision: 12, RevisionSource: message.FromKeyValue, Role: "entry",
		Trainers: []message.TrainerStatus{{Delivered: 8, Epoch: 4, Missing: 5, Name: "marker-a", Step: 8, Version: 31}},
	},
	"10.1.1.1:7200": {
		CutOffSince: cutOff,
		Endpoints: []message.EndpointStatus{
			{Name: "gate-api-1", Running: 2, Service: "gate-api", Serving: true},
			{Leaving: true, Name: "marker-llm-1", Running: 6, Service: "marker-llm", Version: 31, Waiting: 9},
		},
		FailureDomain: "derby-hall", Incarnation: 3, Instance: "derby-marker-1", Leaving: true,
		Revision: 11, RevisionSource: message.FromPeer, Role: "attendant",
	},
}

// newStatusEnv returns an environment in which each process of the fleet responds over
// net/rpc on a pipe.
func newStatusEnv(t *testing.T, out *bytes.Buffer) *StatusEnv {
	processes := map[string]net.Conn{}
	for address, st := range fleet {
		processes[address] = serveStatus(st)
	}
	po := &peer.Pool{DialFunc: func(_ context.Context, address string) (net.Conn, error) {
		co, ok := processes[address]
		if !ok {
			return nil, errors.New("connection refused")
		}
		return co, nil
	}}
	t.Cleanup(po.Close)
	return &StatusEnv{
		AskFunc: func(ctx context.Context, address, role string) (message.Status, error) {
			return askThrough(ctx, po, address, role)
		},
		ListFunc: func(context.Context, string) ([]instancelist.Instance, error) {
			return []instancelist.Instance{
				{Address: "10.1.1.1:7200", FailureDomain: "derby-hall", ID: "derby-marker-1", Role: "attendant", State: instancelist.Leaving},
				{Address: "10.3.0.5:7100", FailureDomain: "walsall-hall", ID: "walsall-entry-1", Role: "entry", State: instancelist.Live},
				{Address: "10.1.0.5:7100", FailureDomain: "coventry-hall", ID: "coventry-entry-1", Role: "entry", State: instancelist.Live},
			}, nil
		},
		Stdout: out,
	}
}

// TestStatus compares the output for one process and for the whole fleet with golden files.
func TestStatus(t *testing.T) {
	for _, tc := range []struct {
		name string
		cmd  StatusCmd
	}{
		{"all-table", StatusCmd{Output: "table", Platform: "http://platform"}},
		{"all-json", StatusCmd{Output: "json", Platform: "http://platform"}},
		{"attendant-table", StatusCmd{Address: []string{"10.1.1.1:7200"}, Output: "table"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			tc.cmd.Timeout = time.Minute
			err := tc.cmd.Run(t.Context(), newStatusEnv(t, &out))
			fmt.Fprintf(&out, "\nexit code %d, error %v\n", exitCodeOf(err), err)
			golden.Assert(t, out.String(), "status-"+tc.name+".golden")
		})
	}
}

// TestStatusOfEmptyInstanceList checks the output for an empty instance list.
func TestStatusOfEmptyInstanceList(t *testing.T) {
	var out bytes.Buffer
	env := &StatusEnv{
		ListFunc: func(context.Context, string) ([]instancelist.Instance, error) { return nil, nil },
		Stdout:   &out,
	}
	err := (&StatusCmd{Platform: "http://platform", Timeout: time.Minute}).Run(t.Context(), env)
	assert.NilError(t, err)
	assert.Equal(t, out.String(), "no process is listed\n")
}

// serveStatus returns a connection to a process that responds with a status.
func serveStatus(st message.Status) net.Conn {
	method := message.EntryStatusMethod
	if st.Role == "attendant" {
		method = message.AttendantStatusMethod
	}
	sv := &peer.Server{}
	peer.Handle(sv, method, func(context.Context, message.Header, message.StatusRequest) (message.Status, error) {
		return st, nil
	})
	client, server := net.Pipe()
	go serveConnect(sv, server)
	return client
}

// serveConnect serves net/rpc on one connection after an HTTP CONNECT.
func serveConnect(sv *peer.Server, co net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(co)); err != nil {
		return
	}
	_, _ = io.WriteString(co, "HTTP/1.0 200 Connected\n\n")
	sv.ServeConn(context.Background(), co)
}
