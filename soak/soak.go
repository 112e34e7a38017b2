// Package soak runs the real programs as separate processes with stand-ins of the
// platform, injects faults from outside, and checks the system's guarantees by
// what callers, trainers and endpoints observe.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures a soak.
type Options struct {
	Binary    string // the program
	Bounds    bool   // in a quiet run, check bounds that a slow machine can exceed
	Crashes   bool   // send requests that crash plain endpoints, and crash engines under an item
	Dir       string // for settings and logs
	DrawParts bool   // random parts, besides Parts
	Engines   int    // each with an attendant
	Entries   int
	Length    time.Duration // of the fault injection
	Parts     []string      // see newParts
	Quiet     bool          // no faults
	Seed      uint64
}

// A Report is the result of a soak.
type Report struct {
	Calls         int      `json:"calls"`                    // by callers
	Served        int      `json:"served"`                   // of Calls
	Crashes       int      `json:"crashes,omitempty"`        // of endpoints by one request
	EngineCrashes int      `json:"engine_crashes,omitempty"` // of engines under one item
	Faults        []string `json:"faults"`                   // with their times
	Items         int      `json:"items"`                    // results read
	Orders        int      `json:"orders,omitempty"`         // orders of endpoints, by failure domain
	Steps         int      `json:"steps"`                    // completed
	Windows       int      `json:"windows,omitempty"`        // whose usage reports were compared with the runs
	Violations    []string `json:"violations"`

	Parts       []string               `json:"parts,omitempty"`
	CrowdGroups int                    `json:"crowd_groups,omitempty"` // completed, of steps that exceed the capacity
	Heard       map[string]map[int]int `json:"heard,omitempty"`        // responses by customer and status
	InTime      [2]float64             `json:"in_time"`                // part of groups in time, under overload and otherwise
	Metered     int                    `json:"metered,omitempty"`      // requests that began, of the customer with a quota
	Nothing     float64                `json:"nothing,omitempty"`      // longest time without a group under overload, in s
	Small       [2]int                 `json:"small"`                  // requests of the small customer: served, and all
}

// A run is the state of a running soak.
type run struct {
	begun       time.Time
	calls       outcomes
	responses   []response
	finalChecks []func()    // checks to run at the end
	losses      []time.Time // of the scheduler, for parts of the soak
	mu          sync.Mutex
	opts        Options
	parts       *parts
	report      Report
	rng         *rand.Rand
	tasks       []*task // finished
	world       *world

	crowdTime   [2]time.Time // begin and end of the overload by steps
	faultsEnd   time.Time
	holds       []holdPeriod
	quotas      []quotaChange
	rivalsBegun time.Time
}

// settleTime is how long the processes may take to discover each other, and to
// recover after the last fault.
const settleTime = 4 * time.Second

// Run runs a soak. Violated guarantees are no error: see Report.Violations.
func Run(ctx context.Context, opts Options) (Report, error) {
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return Report{}, errors.Wrap(err, "soak")
	}
	pa, err := newParts(opts)
	if err != nil {
		return Report{}, err
	}
	rn := &run{
		begun: time.Now(), opts: opts, parts: pa, quotas: []quotaChange{{quota: firstQuota}}, report: Report{Parts: pa.names},
		rng: newStream(opts.Seed, faultsStream),
	}
	wo, err := newWorld(opts, pa)
	if err != nil {
		return Report{}, err
	}
	defer wo.close()
	rn.world = wo
	sleep(ctx, settleTime)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var clients sync.WaitGroup
	for i := range callers {
		clients.Go(func() { rn.runCaller(ctx, i) })
	}
	clients.Go(func() { rn.sendMetered(ctx) })
	trained := make(chan struct{})
	go func() {
		defer close(trained)
		rn.train(ctx)
	}()
	rn.disturb(ctx)
	rn.faultsEnd = time.Now()
	sleep(ctx, settleTime)
	rn.awaitStep(ctx)
	if pa.has(quotaPart) {
		sleep(ctx, quotaTail)
	}
	cancel()
	clients.Wait()
	<-trained
	rn.checkAll()
	return rn.report, nil
}

// disturb runs the faults, the operators and the run's parts, and returns when all have
// ended.
func (rn *run) disturb(ctx context.Context) {
	var all sync.WaitGroup
	for _, part := range []func(ctx context.Context, length time.Duration){
		rn.faultPlainEndpoints, rn.restartEndpoints, rn.sendCrashRequests, rn.changeKeys, rn.faultUsageServer,
		rn.runOperator, rn.runCrowd, rn.runRivals, rn.changeQuota,
	} {
		all.Go(func() { part(ctx, rn.opts.Length) })
	}
	rn.injectFaults(ctx, rn.opts.Length)
	all.Wait()
}

// checkAll runs all checks and completes the report.
func (rn *run) checkAll() {
	for _, check := range rn.finalChecks {
		check()
	}
	rn.checkCalls()
	rn.checkCrashes()
	rn.checkCustomers()
	rn.checkCrowd()
	rn.checkResponses()
	rn.checkQuota()
	rn.checkHolds()
	slices.Sort(rn.report.Violations)
}

// addViolation records a violated guarantee.
func (rn *run) addViolation(format string, args ...any) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.report.Violations = append(rn.report.Violations, fmt.Sprintf(format, args...))
}

// recoverTime is how long after the last fault a step must complete at the latest.
const recoverTime = 20 * time.Second

// awaitStep waits until a step completes after the last fault.
func (rn *run) awaitStep(ctx context.Context) {
	steps := func() int {
		rn.mu.Lock()
		defer rn.mu.Unlock()
		return rn.report.Steps
	}
	before, end := steps(), time.Now().Add(recoverTime)
	for ctx.Err() == nil && steps() == before {
		if time.Now().After(end) {
			rn.addViolation("no step became whole within %s of the last fault", recoverTime)
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
