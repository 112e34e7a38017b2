package capacity

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/instancelist"
)

// BenchmarkList measures the size and the decoding time of the platform's list of
// instances, which each process reads periodically.
func BenchmarkList(b *testing.B) {
	for _, nodes := range []int{10, 100, 380} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			var ins []instancelist.Instance
			for i := range nodes {
				ins = append(ins, instancelist.Instance{
					Address: fmt.Sprintf("10.0.%d.%d:7400", 10+i/200, 10+i%200), FailureDomain: "coventry-hall",
					ID: fmt.Sprintf("attendant-%03d", i), Role: "attendant", State: instancelist.Live,
				})
			}
			data, err := json.Marshal(ins)
			assert.NilError(b, err)
			for b.Loop() {
				var read []instancelist.Instance
				assert.NilError(b, json.Unmarshal(data, &read))
			}
			b.ReportMetric(float64(len(data)), "B")
		})
	}
}
