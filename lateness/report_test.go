package lateness

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestReport(t *testing.T) {
	// In lost.log all processes lose power while an item runs, and the end of its run is not
	// logged. Guards against attributing the delay to a slow engine.
	for _, name := range []string{"empty", "causes", "broken", "lost"} {
		t.Run(name, func(t *testing.T) {
			fi, err := os.Open("testdata/" + name + ".log")
			assert.NilError(t, err)
			defer fi.Close()
			var out strings.Builder
			assert.NilError(t, Report(fi, &out))
			golden.Assert(t, out.String(), name+".golden")
		})
	}
}

var errFull = errors.New("disk is full")

type fullWriter struct{}

func (fullWriter) Write([]byte) (int, error) { return 0, errFull }

func TestReportWriteError(t *testing.T) {
	assert.Assert(t, errors.Is(Report(strings.NewReader(""), fullWriter{}), errFull))
}

func TestLineTooLong(t *testing.T) {
	err := Report(strings.NewReader("{"+strings.Repeat("x", maxLine+1)), &strings.Builder{})
	assert.ErrorContains(t, err, "read the log")
}
