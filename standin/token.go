// Package standin holds small stand-ins for the systems around wisteriacroft:
// the platform, the endpoints, trainers and live callers. They count what
// truly happened, so that a checker need not believe the system.
package standin

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"wisteriacroft/engine"
)

// digest hashes a prompt with numbers.
func digest(prompt string, numbers ...uint64) uint64 {
	di := xxhash.New()
	_, _ = di.WriteString(prompt)
	for _, nu := range numbers {
		var buf [8]byte
		binary.LittleEndian.PutUint64(buf[:], nu)
		_, _ = di.Write(buf[:])
	}
	return di.Sum64()
}

// TokenAt returns the token that an engine makes at a position, counted from
// 0. The upper half of its ID marks the prompt and the seed; the rest depends
// on the mark, the position and the version too. So a checker that doesn't
// know the seed can tell what made a token.
func TokenAt(prompt string, seed uint64, position int, version engine.Version) engine.Token {
	return marked(prompt, markOf(prompt, seed), position, version)
}

// markOf returns 15 bits of a prompt with a seed.
func markOf(prompt string, seed uint64) uint64 { return digest(prompt, seed) >> 49 }

func marked(prompt string, mark uint64, position int, version engine.Version) engine.Token {
	sum := digest(prompt, mark, uint64(position), uint64(version))
	return engine.Token{
		ID:      int32(mark<<16 | sum&math.MaxUint16),
		LogProb: -float32(sum>>40) / (1 << 22), // 24 bits: the same after JSON
	}
}

// LengthOf returns how many tokens an engine makes for a prompt, at most
// maxTokens. The lengths have a heavy tail (Pareto with exponent 1.5): most are
// near maxTokens/16 and about one in 64 reaches maxTokens.
func LengthOf(prompt string, seed uint64, maxTokens int) int {
	return markedLength(prompt, markOf(prompt, seed), maxTokens)
}

func markedLength(prompt string, mark uint64, maxTokens int) int {
	uniform := (float64(digest(prompt, mark)>>11) + 1) / (1 << 53)
	length := float64(maxTokens) / 16 * math.Pow(uniform, -1/1.5)
	return max(1, int(min(float64(maxTokens), length)))
}

// Whole tells whether tokens are all that an engine makes for a prompt with
// one seed, whichever that is.
func Whole(prompt string, tokens []engine.Token, maxTokens int) bool {
	return len(tokens) > 0 && len(tokens) == markedLength(prompt, uint64(tokens[0].ID>>16), maxTokens)
}

// Attributed tells whether the versions that the segments name truly made the
// tokens, all with one seed.
func Attributed(prompt string, tokens []engine.Token, segments []engine.Segment) bool {
	position := 0
	for _, se := range segments {
		if se.Version == 0 || se.Tokens < 0 || position+se.Tokens > len(tokens) {
			return false
		}
		for range se.Tokens {
			if tokens[position] != marked(prompt, uint64(tokens[0].ID>>16), position, se.Version) {
				return false
			}
			position++
		}
	}
	return position == len(tokens)
}
