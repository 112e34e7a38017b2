package cmd

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/directory"
	"wisteriacroft/hold"
	"wisteriacroft/overview"
	"wisteriacroft/platform"
	"wisteriacroft/platform/standin"
	"wisteriacroft/scale"
)

// TestLoadTable prints an overview of overload, an overview without steps and an empty one.
func TestLoadTable(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "overview", "testdata", "crowd.golden"))
	assert.NilError(t, err)
	var ov overview.Overview
	assert.NilError(t, json.Unmarshal(data, &ov))
	var out bytes.Buffer
	pr := printer{out: &out}
	pr.load(ov)
	ov.Steps, ov.Holds, ov.Omitted.Engines = nil, nil, 7
	pr.printf("\n")
	pr.load(ov)
	pr.printf("\n")
	pr.load(overview.Overview{})
	assert.NilError(t, pr.err)
	golden.Assert(t, out.String(), "load-table.golden")
}

func TestScaleTable(t *testing.T) {
	var out bytes.Buffer
	pr := printer{out: &out}
	subject := func(domain string) scale.Subject { return scale.Subject{Domain: domain, Service: "llm"} }
	pr.scale(scale.Overview{Epoch: 4, Lines: []scale.OverviewRow{
		{Max: 8, Min: 2, Ordered: -1, Serving: 3, Subject: subject("a"), Wanted: 5},
		{Held: true, Max: 8, Min: 2, Ordered: 6, Serving: 4, Subject: subject("b"), Wanted: 4},
		{Max: 8, Min: 2, Ordered: 3, Serving: 3, Subject: subject("c"), Taken: true, Wanted: 3},
		{Max: 8, Min: 2, Ordered: 4, Serving: 3, Subject: subject("d"), Taken: true, Unknown: true, Wanted: 4},
	}})
	pr.printf("\n")
	pr.scale(scale.Overview{})
	assert.NilError(t, pr.err)
	golden.Assert(t, out.String(), "scale-table.golden")
}

// An operatorStore is a key-value service with two customers and an endpoint.
type operatorStore struct {
	*testing.T
	address string
	store   *standin.Store
}

func newOperatorStore(t *testing.T) *operatorStore {
	t.Setenv("USER", "ada")
	os := &operatorStore{T: t, store: &standin.Store{}}
	sv := httptest.NewServer(os.store.Handler())
	t.Cleanup(sv.Close)
	os.address = strings.TrimPrefix(sv.URL, "http://")
	op := &standin.Operator{Keys: map[string][]string{"bakery": {"k-1"}, "mill & sons": {"k-2"}}, Store: os.store}
	op.Configure(t.Context(), directory.Configuration{Services: []directory.Service{{Name: "desk"}}, Version: 4})
	op.Register(t.Context(), directory.Endpoint{Address: "10.0.0.1:80", Domain: "a", ID: "i-1", Service: "desk", Slots: 1})
	return os
}

// run runs a command and returns its output and exit code.
func (os *operatorStore) run(args ...string) string {
	var out bytes.Buffer
	code := run(os.Context(), nil, append(args, "--store", os.address), Output{Stderr: &out, Stdout: &out})
	text := strings.ReplaceAll(out.String(), os.address, "STORE")
	return "$ wisteriacroft " + strings.Join(args, " ") + "\n" + text + "exit code " + string('0'+rune(code)) + "\n"
}

// TestHolds runs an operator's session of hold, release and holds.
func TestHolds(t *testing.T) {
	os := newOperatorStore(t)
	session := ""
	for _, args := range [][]string{
		{"holds"},
		{"hold", "customer", "bakery", "-m", "asks for too much", "--dry-run"},
		{"holds"},
		{"hold", "customer", "bakery", "-m", "asks for too much"},
		{"hold", "customer", "bakery", "-m", "once more"},
		{"hold", "customer", "mill & sons", "-m", "asks too", "--by", "bob"},
		{"hold", "endpoint", "10.0.0.1:80", "-m", "to be replaced"},
		{"release", "customer", "mill & sons", "-m", "was right", "--dry-run"},
		{"release", "customer", "mill & sons", "-m", "was right"},
		{"release", "customer", "mill & sons", "-m", "was right"},
	} {
		session += os.run(args...) + "\n"
	}
	golden.Assert(t, session, "holds.golden")
	se, err := (&hold.Store{Client: platform.NewStore(os.address, nil)}).Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(se.Records()), 2)
	for i, want := range []string{"held customer bakery", "held customer mill & sons", "held endpoint 10.0.0.1:80", "released customer mill & sons"} {
		ch := se.Changes()[i]
		assert.Equal(t, string(ch.Action)+" "+ch.String(), want)
		assert.Assert(t, !ch.At.IsZero() && ch.ID != "")
	}
	for _, args := range [][]string{{"holds"}, {"holds", "--history"}, {"holds", "--output", "json"}, {"holds", "--history", "--output", "json"}} {
		assert.Assert(t, strings.Contains(os.run(args...), "asks for too much"))
	}
}

// TestInvalidHolds checks that invalid commands fail without writing anything.
func TestInvalidHolds(t *testing.T) {
	os := newOperatorStore(t)
	session := ""
	for _, args := range [][]string{
		{"hold", "customer", "bakerie", "-m", "why"},
		{"hold", "customer", "bakery"},
		{"hold", "customer", "bakery", "-m", " "},
		{"hold", "customer", "bakery", "-m", strings.Repeat("w", 301)},
		{"hold", "machine", "i-1", "-m", "why"},
		{"hold", "endpoint", "i-2", "-m", "why"},
		{"hold", "service", "desk", "-m", "why"},
		{"hold", "service", "llm", "-m", "why"},
		{"hold", "step", "bakery:s", "-m", "why"},
		{"hold", "step", "bakery:s", "-m", " "},
		{"release", "customer", "bakery", "-m", " "},
		{"load", "--rows", "0"},
		{"load", "--rows", "1501"},
		{"load", "--output", "yaml"},
	} {
		said := os.run(args...)
		assert.Assert(t, strings.HasSuffix(said, "exit code 2\n"), said)
		session += strings.ReplaceAll(said, strings.Repeat("w", 301), "WWW") + "\n"
	}
	golden.Assert(t, session, "holds-bad.golden")
	se, err := (&hold.Store{Client: platform.NewStore(os.address, nil)}).Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, se.Version(), int64(0))
}

func TestExitCodeWithoutSchedulerOrService(t *testing.T) {
	// A command that reaches no scheduler or no key-value service must have its own exit
	// code, distinct from that of a rejected command.
	os := newOperatorStore(t)
	for _, command := range []string{"load", "scale"} {
		assert.Assert(t, strings.HasSuffix(os.run(command), "wisteriacroft: no process runs the steps\nexit code 3\n"))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	os.address = ln.Addr().String()
	assert.NilError(t, ln.Close())
	for _, args := range [][]string{{"load"}, {"holds"}, {"hold", "customer", "bakery", "-m", "why"}, {"release", "customer", "bakery", "-m", "why"}} {
		said := os.run(args...)
		assert.Assert(t, strings.HasSuffix(said, "exit code 3\n"), said)
	}
}
