package cmd

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"wisteriacroft/lateness"
)

// A ReportCmd reports from log lines what steps waited for.
type ReportCmd struct {
	Files []string `arg:"" help:"Logs of schedulers and attendants." type:"existingfile"`
}

// Run reads all files as one log and prints the report.
func (rc *ReportCmd) Run(stdout io.Writer) error {
	var readers []io.Reader
	for _, path := range rc.Files {
		fi, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		defer fi.Close()
		readers = append(readers, fi)
	}
	return lateness.Report(io.MultiReader(readers...), stdout)
}
