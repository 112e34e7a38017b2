// Package trial runs a whole deployment in one process: the system's own
// processes, and stand-ins for the systems around them, over loopback. It
// summarizes the counts of the stand-ins and reports violated guarantees.
package trial

import (
	"context"
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/standin"
)

// DefaultTimeout is how long the trainers of a deployment may take for their
// steps before a trial is aborted.
const DefaultTimeout = 3 * time.Minute

const (
	readyTimeout    = 20 * time.Second
	shutdownTimeout = 40 * time.Second
)

// Options configures a trial.
type Options struct {
	Deployments []string      // run one after another; see Deployments
	Faults      []FaultName   // each is injected during a step; a repeated one, one step later than before
	Log         io.Writer     // for the processes' log lines; nil: none
	Progress    io.Writer     // for a progress line that is overwritten; nil: none
	Seed        int           // of the prompts, and so of the samples' lengths
	Steps       int           // of each trainer
	Timeout     time.Duration // 0: DefaultTimeout
}

// Run runs the deployments and returns the counts of the stand-ins up to the
// first error. Violated guarantees are no error: see Summary.Broken.
func Run(ctx context.Context, op Options) (Summary, error) {
	var total Summary
	for _, name := range op.Deployments {
		sum, err := runDeployment(ctx, op, name)
		total = total.plus(sum)
		if err != nil {
			return total, errors.Wrapf(err, "try %s", name)
		}
	}
	return total, nil
}

// runDeployment runs one deployment.
func runDeployment(ctx context.Context, op Options, name string) (Summary, error) {
	de, err := readDeployment(name)
	if err != nil {
		return Summary{}, err
	}
	de.clients = clientsOf(de.clients, op)
	folder, err := os.MkdirTemp("", "wisteriacroft-try-")
	if err != nil {
		return Summary{}, errors.Wrap(err, "data folders")
	}
	defer os.RemoveAll(folder) //nolint:errcheck // leftovers are in the folder for temporary files
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wo, err := newWorld(ctx, de, folder, newLog(op.Log))
	if err != nil {
		return Summary{}, err
	}
	defer wo.kill()
	ru := &run{options: op, world: wo}
	sum, err := ru.run(ctx)
	cancel()
	return sum, errors.CombineErrors(err, wo.standIns.Wait())
}

// clientsOf returns the clients' settings with a trial's steps and seed.
func clientsOf(se standin.ClientsSettings, op Options) standin.ClientsSettings {
	for i := range se.Trainers {
		se.Trainers[i].Seed = op.Seed
		se.Trainers[i].Steps = op.Steps
	}
	return se
}

// newLog returns the logger of all processes.
func newLog(out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.DebugLevel)
	if out == nil {
		out = io.Discard
		log.SetLevel(logrus.PanicLevel)
	}
	log.SetOutput(out)
	return log
}

// A run is a trial of one deployment.
type run struct {
	options   Options
	revisions map[string]revision // by instance
	verdict   verdict
	world     *world
}

// run starts all processes, runs the clients while faults are injected, and
// returns the summary.
func (ru *run) run(ctx context.Context) (Summary, error) {
	if err := ru.start(ctx); err != nil {
		return Summary{}, err
	}
	counted, err := ru.runClients(ctx)
	if err != nil {
		return Summary{}, err
	}
	do, err := ru.waitInForce(ctx)
	if err != nil {
		return Summary{}, err
	}
	graceful, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := ru.world.shutdown(graceful); err != nil {
		ru.verdict.add("a graceful shutdown cut off requests: %v", err)
	}
	if counted, err = ru.world.clients.Recount(ctx, counted); err != nil {
		return Summary{}, err
	}
	sum := newSummary(counted, do.Revision())
	sum.broken = append(ru.verdict.violations(sum, counted, ru.answers()), ru.verdict.lines()...)
	for i := range sum.broken {
		sum.broken[i] = ru.world.deployment.name + ": " + sum.broken[i]
	}
	return sum, nil
}

// start starts the processes and waits until they serve.
func (ru *run) start(ctx context.Context) error {
	revision, err := ru.world.apply(ctx)
	if err != nil {
		return errors.Wrap(err, "apply the profiles")
	}
	for _, pr := range ru.world.processes() {
		if err := ru.world.start(ctx, pr); err != nil {
			return err
		}
	}
	return ru.world.waitReady(ctx, revision)
}

// runClients runs the clients to the trainers' last step, and injects the faults.
func (ru *run) runClients(ctx context.Context) (standin.ClientsSummary, error) {
	bounded, cancel := context.WithTimeout(ctx, ru.options.timeout())
	defer cancel()
	watching, stop := context.WithCancel(ctx)
	var watch, faults sync.WaitGroup
	watch.Go(func() { ru.watch(watching) })
	for i, fa := range ru.faults() {
		step := min(1+ru.occurrence(i), ru.options.Steps-1)
		faults.Go(func() {
			if !ru.waitMidStep(bounded, step) {
				return
			}
			ru.world.log.WithField("fault", fa.name).Info("injecting fault")
			if err := fa.inject(ctx, ru); err != nil {
				ru.verdict.add("fault %s failed: %v", fa.name, err)
			}
		})
	}
	counted, err := ru.world.clients.Run(bounded)
	if ctx.Err() == nil && bounded.Err() != nil {
		ru.verdict.add("the trainers did not complete their steps within %s", ru.options.timeout())
		err = nil
	}
	faults.Wait()
	stop()
	watch.Wait()
	return counted, err
}

// timeout returns how long the trainers may take for their steps.
func (op Options) timeout() time.Duration {
	if op.Timeout == 0 {
		return DefaultTimeout
	}
	return op.Timeout
}
