package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/trial"
)

// bothDeployments is the value of --deployment for all example deployments.
const bothDeployments = "both"

// errViolations means that a trial found violations.
var errViolations = errors.New("violations found")

// A TryCmd runs a trial of all roles in one process.
type TryCmd struct {
	Deployment string        `default:"both" enum:"both,hathercote,baitursynov" help:"Example to try: both, hathercote or baitursynov."`
	Fault      []string      `enum:"${faults}" help:"Fault that strikes in the midst of a step; may be repeated. One of: ${enum}." placeholder:"NAME"`
	Log        string        `help:"File for the log lines of all processes." placeholder:"FILE"`
	Seed       int           `default:"1" help:"Seed of the prompts."`
	Steps      int           `default:"3" help:"Steps that each trainer takes."`
	Timeout    time.Duration `default:"3m" help:"How long the trainers of a deployment may take."`
}

// Validate implements kong's validation of flags.
func (tc *TryCmd) Validate() error {
	switch {
	case tc.Steps < 1:
		return errors.Newf("--steps: %d is below 1", tc.Steps)
	case tc.Seed < 0:
		return errors.Newf("--seed: %d is below 0", tc.Seed)
	case tc.Timeout <= 0:
		return errors.Newf("--timeout: %s is not positive", tc.Timeout)
	}
	return nil
}

// Run runs the trials and prints the counts of the stand-ins as a line of JSON, even if a
// trial ends early.
func (tc *TryCmd) Run(ctx context.Context, out Output) error {
	op := trial.Options{
		Deployments: tc.deployments(),
		Progress:    terminal(out.Stderr),
		Seed:        tc.Seed,
		Steps:       tc.Steps,
		Timeout:     tc.Timeout,
	}
	for _, name := range tc.Fault {
		op.Faults = append(op.Faults, trial.FaultName(name))
	}
	if tc.Log != "" {
		file, err := os.Create(tc.Log)
		if err != nil {
			return errors.Wrap(err, "log file")
		}
		defer file.Close()
		op.Log = file
	}
	sum, err := trial.Run(ctx, op)
	if op.Progress != nil {
		_, _ = fmt.Fprintln(op.Progress)
	}
	if encodeErr := json.NewEncoder(out.Stdout).Encode(sum); err == nil {
		err = encodeErr
	}
	if err != nil {
		return err
	}
	if len(sum.Broken()) > 0 {
		return errors.Wrap(errViolations, strings.Join(sum.Broken(), "; "))
	}
	return nil
}

// deployments returns the names of the deployments to try.
func (tc *TryCmd) deployments() []string {
	if tc.Deployment == bothDeployments {
		return trial.Deployments()
	}
	return []string{tc.Deployment}
}

// terminal returns out if it is a terminal, and otherwise nil.
func terminal(out io.Writer) io.Writer {
	file, ok := out.(*os.File)
	if !ok {
		return nil
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return out
}

// faultNames returns the comma-separated names of the faults.
func faultNames() string {
	var names []string
	for _, name := range trial.FaultNames() {
		names = append(names, string(name))
	}
	return strings.Join(names, ",")
}
