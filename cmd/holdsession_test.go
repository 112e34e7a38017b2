package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
	"wisteriacroft/lease"
	"wisteriacroft/overview"
	"wisteriacroft/platform"
	"wisteriacroft/platform/standin"
	"wisteriacroft/scale"
	"wisteriacroft/step"
)

// A holdWorld is a small deployment of real processes on a platform that stands in: two
// schedulers, an entry, an attendant beside an engine, and a plain endpoint.
type holdWorld struct {
	*deployment
	authority *standin.UsageServer
	desk      *standin.PlainEndpoint
	engine    *standin.Engine
	store     *standin.Store
	subnet    string
}

const (
	holdHost = "shop.example"
	holdPort = 7300
)

func (hw *holdWorld) ip(number int) string { return fmt.Sprintf("127.%s.%d", hw.subnet, number) }

func newHoldWorld(t *testing.T) *holdWorld {
	pid := os.Getpid()
	hw := &holdWorld{
		authority: &standin.UsageServer{}, desk: &standin.PlainEndpoint{ID: "i-desk"}, deployment: &deployment{T: t, ended: make(chan string, 16), processes: map[string]*process{}},
		engine: &standin.Engine{
			Gap: 5 * time.Millisecond, ID: "i-engine", Length: func(string) int { return 4 }, Load: 10 * time.Millisecond, Models: []string{"menus"}, Slots: 4,
			Text: func(item string, event int, _ uint64) string { return fmt.Sprint(item, event) },
		},
		store: &standin.Store{}, subnet: fmt.Sprintf("%d.%d", 1+pid/250%250, pid%250),
	}
	hw.listen(hw.ip(1)+":9000", hw.store.Handler())
	hw.listen(hw.ip(1)+":9001", hw.authority)
	hw.listen(hw.ip(2)+":8000", hw.engine)
	hw.listen(hw.ip(3)+":8000", hw.desk)
	hw.configure()
	hw.tell("hold", "service", "llm", "-m", "orders are looked at first")
	for i, role := range []string{"scheduler", "scheduler", "entry"} {
		hw.launch(role, 4+i, "")
	}
	hw.launch("attendant", 2, hw.ip(2)+":8000")
	return hw
}

func (hw *holdWorld) listen(address string, ha http.Handler) {
	ln, err := net.Listen("tcp", address)
	assert.NilError(hw, err)
	sv := &http.Server{Handler: ha}
	hw.Cleanup(func() { _ = sv.Close() })
	go func() { _ = sv.Serve(ln) }() // ends with the test
}

func (hw *holdWorld) configure() {
	ctx := hw.Context()
	route := func(name string, kind directory.Kind, service string) directory.Route {
		return directory.Route{
			Due: 8 * time.Second, Host: holdHost, Kind: kind, MaxAttempts: 3, MaxWait: 2 * time.Minute, Name: name, Prefix: "/" + name + "/",
			Resumable: true, Shares: []directory.WeightedService{{Service: service}}, Timeout: 5 * time.Second,
		}
	}
	op := &standin.Operator{Keys: map[string][]string{"bakery": {"key-bakery"}, "mill": {"key-mill"}}, Store: hw.store}
	op.Configure(ctx, directory.Configuration{
		Limits: directory.Limits{BodySize: 1 << 20}, Version: 1,
		Routes: []directory.Route{route("safe", directory.Repeatable, "desk"), route("steps", directory.Steps, "llm")},
		Services: []directory.Service{
			{Name: "desk", Scale: &directory.Scale{Startup: time.Second, Max: 4, Min: 1}}, {Models: []directory.Model{{Name: "menus"}}, Name: "llm", Scale: &directory.Scale{Max: 4, Min: 2}, Slots: 4},
		},
	})
	op.Register(ctx, directory.Endpoint{Address: hw.ip(3) + ":8000", Domain: "a", ID: "i-desk", Service: "desk", Slots: 4})
	op.Register(ctx, directory.Endpoint{
		Address: hw.ip(2) + ":8000", Domain: "a", ID: "i-engine", Models: []directory.ModelVersion{{Model: "menus"}}, Service: "llm", Slots: 4,
	})
	op.NameVersion(ctx, "menus", 1)
}

func (hw *holdWorld) launch(role string, number int, app string) {
	name := fmt.Sprint(role, number)
	path := hw.TempDir() + "/" + name + ".toml"
	text := standin.SettingsFile(name, hw.ip(number), "a", hw.ip(1)+":9000", app, hw.ip(1)+":9001", holdPort)
	assert.NilError(hw, os.WriteFile(path, []byte(text), 0o600))
	hw.Setenv(platform.SettingsVariable, path)
	hw.start(name, "platform", role)
}

func (hw *holdWorld) client(customer string) *standin.Client {
	return &standin.Client{Base: fmt.Sprintf("http://%s:%d", hw.ip(6), holdPort+2), HTTP: http.DefaultClient, Host: holdHost, Key: "key-" + customer}
}

// tell runs an operator's command that must succeed.
func (hw *holdWorld) tell(args ...string) string {
	out, code := hw.operate(append(args, "--store", hw.ip(1)+":9000")...)
	assert.Equal(hw, code, 0, out)
	return out
}

// overview waits until the load is as an operator expects it.
func (hw *holdWorld) overview(what string, holds func(ov overview.Overview) bool) overview.Overview {
	var ov overview.Overview
	hw.until(what, func() bool {
		out, code := hw.operate("load", "--output", "json", "--store", hw.ip(1)+":9000")
		ov = overview.Overview{}
		return code == 0 && json.Unmarshal([]byte(out), &ov) == nil && holds(ov)
	})
	return ov
}

// answers waits until a customer's live calls are answered with a status.
func (hw *holdWorld) answers(customer string, status int) {
	number := 0
	hw.until(fmt.Sprint(customer, " to get ", status), func() bool {
		number++
		got, _, err := hw.client(customer).Call(hw.Context(), "/safe/stock", fmt.Sprint(customer, number), strings.NewReader("flour?"), time.Second)
		return err == nil && got == status
	})
}

// submit hands a step of two items in.
func (hw *holdWorld) submit(customer, id string) {
	st := &step.Step{Groups: 1, ID: id, MinVersion: 1, Model: "menus", Number: 1}
	for i := range 2 {
		st.Items = append(st.Items, step.Item{Body: []byte("{}"), Group: "g", ID: fmt.Sprint(id, "-", i), Path: "/v1/generate", Prompt: 10, Tokens: 600})
	}
	hw.until("the step to be taken", func() bool {
		status, err := hw.client(customer).Submit(hw.Context(), "/steps/"+id, st)
		return err == nil && status == http.StatusAccepted
	})
}

// whole waits until a step's results are listed.
func (hw *holdWorld) whole(customer, id string) {
	hw.until("the results of "+id, func() bool {
		ctx, cancel := context.WithTimeout(hw.Context(), 3*time.Second)
		defer cancel()
		_, li, err := hw.client(customer).Read(ctx, id, 0, 500*time.Millisecond)
		return err == nil && len(li.Results) == 2 && !li.Results[0].Lost
	})
}

func stepIn(ov overview.Overview, id string) overview.Step {
	for _, st := range ov.Steps {
		if st.ID == id {
			return st
		}
	}
	return overview.Step{}
}

// TestHoldSession has an operator hold a customer, lose the scheduler meanwhile, release
// it, and drain an engine, on real processes.
func TestHoldSession(t *testing.T) {
	hw := newHoldWorld(t)
	hw.answers("bakery", http.StatusOK)
	before := hw.overview("a scheduler that hears its engine", func(ov overview.Overview) bool {
		return len(ov.Engines) == 1 && ov.Engines[0].State == overview.Serving
	})

	hw.tell("hold", "customer", "bakery", "-m", "asks for too much")
	hw.answers("bakery", http.StatusServiceUnavailable)
	hw.answers("mill", http.StatusOK)
	hw.submit("bakery", "step-1")
	held := func(ov overview.Overview) bool {
		st := stepIn(ov, "bakery:step-1")
		return st.Held && st.Reason == overview.HeldByOperator && st.Items.Waiting == 2
	}
	hw.overview("the step to be held", held)
	hw.submit("mill", "step-2")
	hw.whole("mill", "step-2")

	hw.killLeader()
	after := hw.overview("the next scheduler to hold it too", held)
	assert.Assert(t, after.Epoch > before.Epoch)
	assert.Equal(t, len(after.Holds), 2)
	assert.Assert(t, !hw.ran("step-1"), "a held item ran")
	hw.tell("release", "customer", "bakery", "-m", "the others are through")
	hw.whole("bakery", "step-1")
	assert.Assert(t, hw.ran("step-1"))
	hw.answers("bakery", http.StatusOK)

	hw.tell("hold", "endpoint", hw.ip(2)+":8000", "-m", "to be replaced")
	hw.overview("the engine to be drained", func(ov overview.Overview) bool { return ov.Engines[0].State == overview.Drained })
	hw.submit("mill", "step-3")
	hw.overview("the step to wait for an engine", func(ov overview.Overview) bool {
		return stepIn(ov, "mill:step-3").Reason == overview.NoneServes
	})
	hw.tell("release", "endpoint", hw.ip(2)+":8000", "-m", "stays")
	hw.whole("mill", "step-3")
	assert.Equal(t, strings.Count(hw.tell("holds", "--history"), "\n"), 6)
	hw.orders()
}

// orders looks at what would be ordered while it is held, releases it and sees it ordered.
func (hw *holdWorld) orders() {
	su := scale.Subject{Domain: "a", Service: "llm"}
	hw.until("the orders to be decided on", func() bool {
		var ov scale.Overview
		err := json.Unmarshal([]byte(hw.tell("scale", "--output", "json")), &ov)
		return err == nil && slices.Equal(ov.Lines, []scale.OverviewRow{
			{Max: 4, Min: 1, Ordered: -1, Serving: 1, Subject: scale.Subject{Domain: "a", Service: "desk"}, Wanted: 1},
			{Held: true, Max: 4, Min: 2, Ordered: -1, Serving: 1, Subject: su, Wanted: 2},
		})
	})
	assert.Equal(hw, len(hw.authority.Orders()), 0)
	hw.tell("release", "service", "llm", "-m", "as expected")
	hw.until("the order", func() bool { return hw.authority.Orders()[su] == 2 })
	hw.plainOrders()
	assert.Equal(hw, len(hw.authority.Violations()), 0, "%v", hw.authority.Violations())
}

// plainOrders sends more than the plain endpoint has places for, and sees more ordered: the
// entry has told the scheduler.
func (hw *holdWorld) plainOrders() {
	su := scale.Subject{Domain: "a", Service: "desk"}
	assert.Equal(hw, hw.authority.Orders()[su], 0, "nothing is ordered without load")
	hw.desk.SetTime(200 * time.Millisecond)
	ctx, cancel := context.WithCancel(hw.Context())
	var callers sync.WaitGroup
	for number := range 8 {
		callers.Go(func() {
			for call := 0; ctx.Err() == nil; call++ {
				_, _, _ = hw.client("mill").Call(ctx, "/safe/a", fmt.Sprintf("load-%d-%d", number, call), strings.NewReader("x"), time.Second) // some are refused
			}
		})
	}
	hw.until("the order for plain endpoints", func() bool { return hw.authority.Orders()[su] >= 2 })
	cancel()
	callers.Wait()
	hw.desk.SetTime(0)
}

// ran reports whether the engine has begun an item of a step.
func (hw *holdWorld) ran(id string) bool {
	return slices.ContainsFunc(hw.engine.Notes(), func(no standin.EngineRun) bool { return strings.HasPrefix(no.ID, id) })
}

// killLeader ends the scheduler that runs the steps as a loss of power does.
func (hw *holdWorld) killLeader() {
	rec, err := lease.Current(hw.Context(), hw.store.Memory.Client(), step.LeaseName)
	assert.NilError(hw, err)
	for _, number := range []int{4, 5} {
		if strings.HasPrefix(rec.Owner, hw.ip(number)+":") {
			_ = hw.processes[fmt.Sprint("scheduler", number)].end(syscall.SIGKILL)
		}
	}
}
