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

// A holdDeployment is a small deployment of real processes on a simulated platform: two
// schedulers, an entry, an attendant with an engine, and a plain endpoint.
type holdDeployment struct {
	*deployment
	usageServer *standin.UsageServer
	desk        *standin.PlainEndpoint
	engine      *standin.Engine
	store       *standin.Store
	subnet      string
}

const (
	holdHost = "shop.example"
	holdPort = 7300
)

func (hd *holdDeployment) ip(number int) string { return fmt.Sprintf("127.%s.%d", hd.subnet, number) }

func newHoldDeployment(t *testing.T) *holdDeployment {
	pid := os.Getpid()
	hd := &holdDeployment{
		usageServer: &standin.UsageServer{}, desk: &standin.PlainEndpoint{ID: "i-desk"}, deployment: &deployment{T: t, ended: make(chan string, 16), processes: map[string]*process{}},
		engine: &standin.Engine{
			Gap: 5 * time.Millisecond, ID: "i-engine", Length: func(string) int { return 4 }, Load: 10 * time.Millisecond, Models: []string{"menus"}, Slots: 4,
			Text: func(item string, event int, _ uint64) string { return fmt.Sprint(item, event) },
		},
		store: &standin.Store{}, subnet: fmt.Sprintf("%d.%d", 1+pid/250%250, pid%250),
	}
	hd.listen(hd.ip(1)+":9000", hd.store.Handler())
	hd.listen(hd.ip(1)+":9001", hd.usageServer)
	hd.listen(hd.ip(2)+":8000", hd.engine)
	hd.listen(hd.ip(3)+":8000", hd.desk)
	hd.configure()
	hd.runCommand("hold", "service", "llm", "-m", "orders are looked at first")
	for i, role := range []string{"scheduler", "scheduler", "entry"} {
		hd.launch(role, 4+i, "")
	}
	hd.launch("attendant", 2, hd.ip(2)+":8000")
	return hd
}

func (hd *holdDeployment) listen(address string, ha http.Handler) {
	ln, err := net.Listen("tcp", address)
	assert.NilError(hd, err)
	sv := &http.Server{Handler: ha}
	hd.Cleanup(func() { _ = sv.Close() })
	go func() { _ = sv.Serve(ln) }() // returns at the end of the test
}

func (hd *holdDeployment) configure() {
	ctx := hd.Context()
	route := func(name string, kind directory.Kind, service string) directory.Route {
		return directory.Route{
			Due: 8 * time.Second, Host: holdHost, Kind: kind, MaxAttempts: 3, MaxWait: 2 * time.Minute, Name: name, Prefix: "/" + name + "/",
			Resumable: true, Shares: []directory.WeightedService{{Service: service}}, Timeout: 5 * time.Second,
		}
	}
	op := &standin.Operator{Keys: map[string][]string{"bakery": {"key-bakery"}, "mill": {"key-mill"}}, Store: hd.store}
	op.Configure(ctx, directory.Configuration{
		Limits: directory.Limits{BodySize: 1 << 20}, Version: 1,
		Routes: []directory.Route{route("safe", directory.Repeatable, "desk"), route("steps", directory.Steps, "llm")},
		Services: []directory.Service{
			{Name: "desk", Scale: &directory.Scale{Startup: time.Second, Max: 4, Min: 1}}, {Models: []directory.Model{{Name: "menus"}}, Name: "llm", Scale: &directory.Scale{Max: 4, Min: 2}, Slots: 4},
		},
	})
	op.Register(ctx, directory.Endpoint{Address: hd.ip(3) + ":8000", Domain: "a", ID: "i-desk", Service: "desk", Slots: 4})
	op.Register(ctx, directory.Endpoint{
		Address: hd.ip(2) + ":8000", Domain: "a", ID: "i-engine", Models: []directory.ModelVersion{{Model: "menus"}}, Service: "llm", Slots: 4,
	})
	op.NameVersion(ctx, "menus", 1)
}

func (hd *holdDeployment) launch(role string, number int, app string) {
	name := fmt.Sprint(role, number)
	path := hd.TempDir() + "/" + name + ".toml"
	text := standin.SettingsFile(name, hd.ip(number), "a", hd.ip(1)+":9000", app, hd.ip(1)+":9001", holdPort)
	assert.NilError(hd, os.WriteFile(path, []byte(text), 0o600))
	hd.Setenv(platform.SettingsVariable, path)
	hd.start(name, "platform", role)
}

func (hd *holdDeployment) client(customer string) *standin.Client {
	return &standin.Client{Base: fmt.Sprintf("http://%s:%d", hd.ip(6), holdPort+2), HTTP: http.DefaultClient, Host: holdHost, Key: "key-" + customer}
}

// runCommand runs an operator's command that must succeed.
func (hd *holdDeployment) runCommand(args ...string) string {
	out, code := hd.operate(append(args, "--store", hd.ip(1)+":9000")...)
	assert.Equal(hd, code, 0, out)
	return out
}

// overview waits until the output of load meets a condition.
func (hd *holdDeployment) overview(what string, holds func(ov overview.Overview) bool) overview.Overview {
	var ov overview.Overview
	hd.waitFor(what, func() bool {
		out, code := hd.operate("load", "--output", "json", "--store", hd.ip(1)+":9000")
		ov = overview.Overview{}
		return code == 0 && json.Unmarshal([]byte(out), &ov) == nil && holds(ov)
	})
	return ov
}

// waitForStatus waits until a customer's live calls return a status.
func (hd *holdDeployment) waitForStatus(customer string, status int) {
	number := 0
	hd.waitFor(fmt.Sprint(customer, " to get ", status), func() bool {
		number++
		got, _, err := hd.client(customer).Call(hd.Context(), "/safe/stock", fmt.Sprint(customer, number), strings.NewReader("flour?"), time.Second)
		return err == nil && got == status
	})
}

// submit submits a step of two items.
func (hd *holdDeployment) submit(customer, id string) {
	st := &step.Step{Groups: 1, ID: id, MinVersion: 1, Model: "menus", Number: 1}
	for i := range 2 {
		st.Items = append(st.Items, step.Item{Body: []byte("{}"), Group: "g", ID: fmt.Sprint(id, "-", i), Path: "/v1/generate", Prompt: 10, Tokens: 600})
	}
	hd.waitFor("the step to be accepted", func() bool {
		status, err := hd.client(customer).Submit(hd.Context(), "/steps/"+id, st)
		return err == nil && status == http.StatusAccepted
	})
}

// waitForResults waits until a step's results are listed.
func (hd *holdDeployment) waitForResults(customer, id string) {
	hd.waitFor("the results of "+id, func() bool {
		ctx, cancel := context.WithTimeout(hd.Context(), 3*time.Second)
		defer cancel()
		_, li, err := hd.client(customer).Read(ctx, id, 0, 500*time.Millisecond)
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

// TestHoldSession checks on real processes that a hold survives the loss of the scheduler,
// and that releases, drains and held scaling orders work.
func TestHoldSession(t *testing.T) {
	hd := newHoldDeployment(t)
	hd.waitForStatus("bakery", http.StatusOK)
	before := hd.overview("a scheduler with a connected engine", func(ov overview.Overview) bool {
		return len(ov.Engines) == 1 && ov.Engines[0].State == overview.Serving
	})

	hd.runCommand("hold", "customer", "bakery", "-m", "asks for too much")
	hd.waitForStatus("bakery", http.StatusServiceUnavailable)
	hd.waitForStatus("mill", http.StatusOK)
	hd.submit("bakery", "step-1")
	held := func(ov overview.Overview) bool {
		st := stepIn(ov, "bakery:step-1")
		return st.Held && st.Reason == overview.HeldByOperator && st.Items.Waiting == 2
	}
	hd.overview("the step to be held", held)
	hd.submit("mill", "step-2")
	hd.waitForResults("mill", "step-2")

	hd.killLeader()
	after := hd.overview("the next scheduler to hold it too", held)
	assert.Assert(t, after.Epoch > before.Epoch)
	assert.Equal(t, len(after.Holds), 2)
	assert.Assert(t, !hd.ran("step-1"), "a held item ran")
	hd.runCommand("release", "customer", "bakery", "-m", "the others are through")
	hd.waitForResults("bakery", "step-1")
	assert.Assert(t, hd.ran("step-1"))
	hd.waitForStatus("bakery", http.StatusOK)

	hd.runCommand("hold", "endpoint", hd.ip(2)+":8000", "-m", "to be replaced")
	hd.overview("the engine to be drained", func(ov overview.Overview) bool { return ov.Engines[0].State == overview.Drained })
	hd.submit("mill", "step-3")
	hd.overview("the step to wait for an engine", func(ov overview.Overview) bool {
		return stepIn(ov, "mill:step-3").Reason == overview.NoneServes
	})
	hd.runCommand("release", "endpoint", hd.ip(2)+":8000", "-m", "stays")
	hd.waitForResults("mill", "step-3")
	assert.Equal(t, strings.Count(hd.runCommand("holds", "--history"), "\n"), 6)
	hd.checkScaleOrders()
}

// checkScaleOrders checks that a held service's orders are shown but not sent until the
// release.
func (hd *holdDeployment) checkScaleOrders() {
	su := scale.Subject{Domain: "a", Service: "llm"}
	hd.waitFor("the scaling decisions", func() bool {
		var ov scale.Overview
		err := json.Unmarshal([]byte(hd.runCommand("scale", "--output", "json")), &ov)
		return err == nil && slices.Equal(ov.Lines, []scale.OverviewRow{
			{Max: 4, Min: 1, Ordered: -1, Serving: 1, Subject: scale.Subject{Domain: "a", Service: "desk"}, Wanted: 1},
			{Held: true, Max: 4, Min: 2, Ordered: -1, Serving: 1, Subject: su, Wanted: 2},
		})
	})
	assert.Equal(hd, len(hd.usageServer.Orders()), 0)
	hd.runCommand("release", "service", "llm", "-m", "as expected")
	hd.waitFor("the order", func() bool { return hd.usageServer.Orders()[su] == 2 })
	hd.checkPlainScaleOrders()
	assert.Equal(hd, len(hd.usageServer.Violations()), 0, "%v", hd.usageServer.Violations())
}

// checkPlainScaleOrders checks that load beyond the plain endpoint's places, reported by the
// entry, leads to a scaling order.
func (hd *holdDeployment) checkPlainScaleOrders() {
	su := scale.Subject{Domain: "a", Service: "desk"}
	assert.Equal(hd, hd.usageServer.Orders()[su], 0, "nothing is ordered without load")
	hd.desk.SetTime(200 * time.Millisecond)
	ctx, cancel := context.WithCancel(hd.Context())
	var callers sync.WaitGroup
	for number := range 8 {
		callers.Go(func() {
			for call := 0; ctx.Err() == nil; call++ {
				_, _, _ = hd.client("mill").Call(ctx, "/safe/a", fmt.Sprintf("load-%d-%d", number, call), strings.NewReader("x"), time.Second) // some are rejected
			}
		})
	}
	hd.waitFor("the order for plain endpoints", func() bool { return hd.usageServer.Orders()[su] >= 2 })
	cancel()
	callers.Wait()
	hd.desk.SetTime(0)
}

// ran reports whether the engine has started an item of a step.
func (hd *holdDeployment) ran(id string) bool {
	return slices.ContainsFunc(hd.engine.Runs(), func(no standin.EngineRun) bool { return strings.HasPrefix(no.ID, id) })
}

// killLeader kills the active scheduler with SIGKILL.
func (hd *holdDeployment) killLeader() {
	rec, err := lease.Current(hd.Context(), hd.store.Memory.Client(), step.LeaseName)
	assert.NilError(hd, err)
	for _, number := range []int{4, 5} {
		if strings.HasPrefix(rec.Owner, hd.ip(number)+":") {
			_ = hd.processes[fmt.Sprint("scheduler", number)].end(syscall.SIGKILL)
		}
	}
}
