package cmd

import (
	"bytes"
	"context"
	"os"
	"strconv"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/profile"
)

// TestProfileScripts runs scripts of operators' sessions, each with its own key-value
// service. Commands of the scripts:
//
//	profile CODE ARGS...   runs a command, checks its exit code, writes "out" and "err"
//	service FAULT          sets the service's fault: none, outage, lose-answers
//	copy / restore         saves / restores the service's value
func TestProfileScripts(t *testing.T) {
	scripts, err := os.ReadDir("testdata/script")
	assert.NilError(t, err)
	assert.Assert(t, len(scripts) > 0)
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"copy":    func(ts *testscript.TestScript, _ bool, _ []string) { platformOf(ts).copy(ts) },
			"profile": func(ts *testscript.TestScript, _ bool, args []string) { platformOf(ts).profile(ts, args) },
			"restore": func(ts *testscript.TestScript, _ bool, _ []string) { platformOf(ts).restore(ts) },
			"service": func(ts *testscript.TestScript, _ bool, args []string) { platformOf(ts).fault(ts, args[0]) },
		},
		Setup: func(env *testscript.Env) error {
			env.Values[platformKey{}] = &scriptPlatform{}
			return nil
		},
	})
}

type platformKey struct{}

// A scriptPlatform is the service of one script.
type scriptPlatform struct {
	saved  []byte
	memory keyvalue.Memory
}

func platformOf(ts *testscript.TestScript) *scriptPlatform {
	return ts.Value(platformKey{}).(*scriptPlatform)
}

func (sp *scriptPlatform) fault(ts *testscript.TestScript, name string) {
	faults := map[string]keyvalue.Faults{
		"lose-answers": {LoseAnswers: true},
		"none":         {},
		"outage":       {Outage: true},
	}
	fa, ok := faults[name]
	if !ok {
		ts.Fatalf("no fault %q", name)
	}
	sp.memory.SetFaults(fa)
}

func (sp *scriptPlatform) copy(ts *testscript.TestScript) {
	it, err := sp.memory.Client().Get(context.Background(), profile.DefaultKey)
	ts.Check(err)
	sp.saved = it.Value
}

func (sp *scriptPlatform) restore(ts *testscript.TestScript) {
	cl := sp.memory.Client()
	it, err := cl.Get(context.Background(), profile.DefaultKey)
	ts.Check(err)
	_, err = cl.Put(context.Background(), profile.DefaultKey, sp.saved, it.Version, 0)
	ts.Check(err)
}

func (sp *scriptPlatform) profile(ts *testscript.TestScript, args []string) {
	var cli struct {
		Profile ProfileCmd `cmd:""`
	}
	var stdout bytes.Buffer
	env := &ProfileEnv{
		OpenFunc: func(string) (*keyvalue.Client, error) { return sp.memory.Client(), nil },
		Stdout:   &stdout,
	}
	pa, err := kong.New(&cli, kong.BindTo(context.Background(), (*context.Context)(nil)))
	ts.Check(err)
	given := append([]string{"profile"}, args[1:]...)
	for i, arg := range given {
		if arg == "dir" || arg == "dir2" {
			given[i] = ts.MkAbs(arg)
		}
	}
	if given[1] != "check" {
		given = append(given, "--platform", "memory")
	}
	kc, err := pa.Parse(given)
	ts.Check(err)
	err = kc.Run(env)
	var text string
	if err != nil {
		text = err.Error() + "\n"
	}
	ts.Check(os.WriteFile(ts.MkAbs("out"), stdout.Bytes(), 0o600))
	ts.Check(os.WriteFile(ts.MkAbs("err"), bytes.ReplaceAll([]byte(text), []byte(ts.MkAbs(".")+"/"), nil), 0o600))
	want, convErr := strconv.Atoi(args[0])
	ts.Check(convErr)
	if code := ProfileExitCode(err); code != want {
		ts.Fatalf("exit code %d, want %d; err: %v", code, want, err)
	}
}
