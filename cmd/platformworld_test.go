package cmd

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
	"wisteriacroft/lease"
	"wisteriacroft/platform"
	"wisteriacroft/platform/standin"
	"wisteriacroft/step"
)

// Ports of each instance of a platformWorld; the internal ones begin at platformPort.
const (
	platformPort      = 7300
	platformCallPort  = platformPort + 2
	platformReadyPort = platformPort + 3

	platformMetricsPort = 9464
)

// A platformWorld is a stand-in for the users' platform, with the program's roles on it, each in its own
// process at its own loopback address.
type platformWorld struct {
	*testing.T
	operator  *standin.Operator
	processes map[string]*process
	store     string // address of the key-value service
	subnet    string
}

func newPlatformWorld(t *testing.T) *platformWorld {
	t.Helper()
	pid := os.Getpid()
	pw := &platformWorld{
		T: t, operator: &standin.Operator{Store: &standin.Store{}}, processes: map[string]*process{},
		subnet: fmt.Sprintf("127.%d.%d", 1+pid/250%250, pid%250),
	}
	pw.store = pw.serve(pw.ip(), pw.operator.Store.Handler())
	return pw
}

// ip returns a loopback address that nothing else uses: all instances use the same ports.
func (pw *platformWorld) ip() string { return fmt.Sprintf("%s.%d", pw.subnet, deploymentCount.Add(1)) }

// serve serves a handler at an address, and returns the address with its port.
func (pw *platformWorld) serve(ip string, ha http.Handler) string {
	var lc net.ListenConfig
	li, err := lc.Listen(pw.Context(), "tcp", net.JoinHostPort(ip, "0"))
	assert.NilError(pw, err)
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: time.Minute}
	pw.Cleanup(func() { _ = sv.Close() })
	go func() { _ = sv.Serve(li) }() // ends with the test
	return li.Addr().String()
}

// launch starts a role on an instance of its own, and returns the instance's IP.
func (pw *platformWorld) launch(role, instance, domain string) string {
	ip := pw.ip()
	path := filepath.Join(pw.TempDir(), instance+".toml")
	assert.NilError(pw, os.WriteFile(path, []byte(standin.SettingsFile(instance, ip, domain, pw.store, "", "", platformPort)), 0o600))
	pw.processes[instance] = startProcess(pw.T, instance, []string{"platform", role}, platform.SettingsVariable+"="+path)
	return ip
}

// signal sends a signal to an instance's process.
func (pw *platformWorld) signal(instance string, si syscall.Signal) {
	pw.Helper()
	assert.NilError(pw, pw.processes[instance].Process.Signal(si))
}

// endpoint registers a plain endpoint that a handler serves, with a route to it under callPath.
func (pw *platformWorld) endpoint(ha http.Handler) {
	const service = "desk"
	ro := directory.Route{
		Goal: callTimeout, Host: callHost, Kind: directory.Repeatable, MaxAttempts: 2, Name: "call", Prefix: callPath,
		Shares: []directory.WeightedService{{Service: service}}, Timeout: callTimeout,
	}
	co := directory.Configuration{
		Limits: directory.Limits{BodySize: 1 << 20}, Routes: []directory.Route{ro}, Services: []directory.Service{{Name: service}},
		Version: 1,
	}
	pw.operator.Configure(pw.Context(), co)
	pw.operator.Register(pw.Context(), directory.Endpoint{
		Address: pw.serve(pw.ip(), ha), Domain: "a", ID: "desk-1", Service: service, Slots: 8,
	})
}

// Names and times of the route that endpoint configures.
const (
	callHost    = "calls.example"
	callPath    = "/call/"
	callTimeout = 20 * time.Second
)

// readiness returns the status of an entry's readiness check, or 0 if it doesn't respond.
func (pw *platformWorld) readiness(ip string) int {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/", ip, platformReadyPort))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitForEntry waits until the entry at an IP is ready.
func (pw *platformWorld) waitForEntry(ip string) {
	pw.Helper()
	pw.waitFor("the entry at "+ip, func() bool { return pw.readiness(ip) == http.StatusOK })
}

// client returns a caller with connections of its own to an entry.
func (pw *platformWorld) client(ip string) *standin.Client {
	tr := &http.Transport{}
	pw.Cleanup(tr.CloseIdleConnections)
	return &standin.Client{Base: fmt.Sprintf("http://%s:%d", ip, platformCallPort), HTTP: &http.Client{Transport: tr}, Host: callHost}
}

// waitFor waits for a condition.
func (pw *platformWorld) waitFor(what string, holds func() bool) {
	pw.Helper()
	over := time.After(waitTimeout)
	for !holds() {
		select {
		case <-over:
			pw.Fatalf("timed out waiting for %s", what)
		case <-time.After(pollInterval):
		}
	}
}

// waitForScheduler waits until the scheduler at an IP holds the lease.
func (pw *platformWorld) waitForScheduler(ip string) {
	pw.Helper()
	pw.waitFor("the scheduler at "+ip, func() bool { return pw.scheduler() == ip })
}

// scheduler returns the IP of the scheduler that holds the lease, or "".
func (pw *platformWorld) scheduler() string {
	rec, err := lease.Current(pw.Context(), pw.operator.Store.Memory.Client(), step.LeaseName)
	if err != nil {
		return ""
	}
	ip, _, err := net.SplitHostPort(rec.Owner)
	assert.NilError(pw, err)
	return ip
}
