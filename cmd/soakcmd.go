package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/soak"
)

// errSoakViolations means that a soak found violations.
var errSoakViolations = errors.New("violations found; see the report and the logs")

// A SoakCmd runs the roles as processes against stand-ins, with injected faults.
type SoakCmd struct {
	Bounds  bool          `help:"Check, in a quiet run, what a slow machine can break: what trainers and a small customer get."`
	Crashes bool          `help:"Send a request that ends each plain endpoint that runs it again and again, and end engines under an item."`
	Dir     string        `help:"Folder for settings and logs." placeholder:"DIR" required:""`
	Engines int           `default:"6" help:"Engines, with an attendant each."`
	Entries int           `default:"3" help:"Entries."`
	For     time.Duration `default:"20s" help:"How long faults are injected."`
	Parts   []string      `help:"What is done besides: crowd, rivals, quota, holds (in a quiet run); drawn draws by seed. Without it, a run with faults draws."`
	Quiet   bool          `help:"Inject no faults."`
	Seed    uint64        `default:"1" help:"First seed."`
	Seeds   int           `default:"1" help:"Seeds, one after the other."`
}

// Run runs the seeds until ctx is done, and prints a report for each.
func (sc *SoakCmd) Run(ctx context.Context, stdout io.Writer) error {
	binary, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "path of the executable")
	}
	parts, draw := sc.Parts, !sc.Quiet && len(sc.Parts) == 0
	if slices.Equal(parts, []string{"drawn"}) {
		parts, draw = nil, true
	}
	broken := false
	for seed := sc.Seed; seed < sc.Seed+uint64(sc.Seeds) && ctx.Err() == nil; seed++ {
		re, err := soak.Run(ctx, soak.Options{
			Binary: binary, Bounds: sc.Bounds, Crashes: sc.Crashes, Dir: filepath.Join(sc.Dir, fmt.Sprint("seed-", seed)),
			DrawParts: draw, Engines: sc.Engines, Entries: sc.Entries, Length: sc.For, Parts: parts, Quiet: sc.Quiet, Seed: seed,
		})
		if err != nil {
			return err
		}
		line, err := json.Marshal(struct {
			Seed uint64 `json:"seed"`
			soak.Report
		}{seed, re})
		if err != nil {
			return errors.Wrap(err, "report")
		}
		if _, err := fmt.Fprintf(stdout, "%s\n", line); err != nil {
			return errors.Wrap(err, "report")
		}
		broken = broken || len(re.Violations) > 0
	}
	if broken {
		return errSoakViolations
	}
	return nil
}
