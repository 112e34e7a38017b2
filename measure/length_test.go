package measure

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// newRand returns a random source for a seed and a purpose.
func newRand(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}

// promptOf returns the prompt of a group of a step.
func promptOf(trainer string, step, group int) string {
	return fmt.Sprintf("%s/%d/%d", trainer, step, group)
}

// Length returns how many tokens an engine generates for a prompt and a sample
// seed. It depends on nothing else but the case's seed, so only an attempt with
// another sample seed gets another length.
func (lr LengthRow) Length(seed uint64, prompt string, sampleSeed uint64) int {
	group := newRand(seed, prompt)
	member := newRand(seed^sampleSeed, prompt)
	length := lr.Median * math.Exp(lr.GroupSpread*group.NormFloat64()+lr.MemberSpread*member.NormFloat64())
	if member.Float64() < lr.StragglerPart {
		length *= lr.StragglerFactor
	}
	return max(1, min(int(length), lr.MaxTokens))
}
