package step

import (
	"testing"
	"time"
)

// mixedFactors are engines of which a third is slower, as at one of the two
// deployments.
func mixedFactors() []float64 { return []float64{1, 1, 1.3, 1, 1, 1.3, 1, 1, 1.3, 1, 1} }

func TestLoad(t *testing.T) {
	var all []time.Duration
	inTime, asked := 0, 0
	for seed := range uint64(24) {
		re := newReplay(mixedFactors())
		re.trainer = newTrainer(45, 4, seed)
		re.play(34*time.Second, nil)
		all = append(all, re.trainer.took...)
		inTime += re.trainer.inTime
		asked += 9 * re.trainer.target
	}
	t.Logf("in time %.3f mean %s", float64(inTime)/float64(asked), mean(all))
}
