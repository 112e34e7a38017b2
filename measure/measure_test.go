package measure

import (
	"flag"
	"fmt"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// seeds is the number of seeds. With more than one, the tables and the means over
// the seeds are printed, and not compared with the golden tables.
var seeds = flag.Uint64("seeds", 1, "measure with each seed from 1 to this")

// TestMeasure measures each policy on each case and compares the tables with
// the golden ones.
func TestMeasure(t *testing.T) {
	pos, err := ReadPolicies(filepath.Join("testdata", "policies.toml"))
	assert.NilError(t, err)
	paths, err := filepath.Glob(filepath.Join("testdata", "cases", "*.toml"))
	assert.NilError(t, err)
	for _, path := range paths {
		ca, err := ReadCase(path)
		assert.NilError(t, err)
		t.Run(ca.Name, func(t *testing.T) {
			res := measureAll(t, ca, pos)
			if *seeds > 1 {
				t.Logf("\n%s%s", Table(res), Table(Means(res)))
				return
			}
			golden.Assert(t, Table(res), ca.Name+".golden")
		})
	}
}

// measureAll measures the policies that cover a case, in parallel. Policies that
// -run excludes are missing from the results.
func measureAll(t *testing.T, ca Case, pos []Policy) []Result {
	var all []Result
	t.Run("policy", func(t *testing.T) {
		for _, po := range pos {
			for seed := uint64(1); po.Covers(ca) && seed <= *seeds; seed++ {
				i := len(all)
				all = append(all, Result{})
				t.Run(fmt.Sprintf("%s/%d", po.Name, seed), func(t *testing.T) {
					t.Parallel()
					all[i] = Measure(t, ca, po, seed)
				})
			}
		}
	})
	var res []Result
	for _, re := range all {
		if re.policy != "" {
			res = append(res, re)
		}
	}
	return res
}

// TestReadCase checks that all errors in a case are reported together.
func TestReadCase(t *testing.T) {
	_, err := ReadCase(filepath.Join("testdata", "faulty.toml"))
	golden.Assert(t, err.Error(), "faulty.golden")
}
