package step

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTokenEstimator(t *testing.T) {
	// Guards against overfilled engines: the number of tokens per event differs between
	// deployments and is estimated from hints.
	rng := rand.New(rand.NewPCG(1, 1))
	var es tokenEstimator
	assert.Equal(t, es.eventTokens(), defaultEventTokens)
	for range 200 {
		events := 2 + rng.IntN(140)
		es.observeHint(int(80*float64(events)*math.Exp(0.5*rng.NormFloat64())), events)
	}
	assert.Assert(t, es.eventTokens() > 70 && es.eventTokens() < 90, "%d", es.eventTokens())
	for range estimatorMaxRatios {
		es.observeHint(62*50, 50)
	}
	assert.Equal(t, es.eventTokens(), 62, "the newest items count")
}

func TestTokenEstimatorWithoutHints(t *testing.T) {
	var es tokenEstimator
	for range 100 {
		es.observeHint(0, 50)
		es.observeHint(900, 2)
	}
	assert.Equal(t, es.eventTokens(), defaultEventTokens)
}

func TestTokenEstimatorByLimits(t *testing.T) {
	// Items that end at their token limit give the exact tokens per event, which hints give
	// only roughly. Early ends of equal length must not be mistaken for the limit.
	rng := rand.New(rand.NewPCG(1, 1))
	var es tokenEstimator
	end := func(events int) {
		es.observeHint(int(80*float64(events)*math.Exp(0.1+0.5*rng.NormFloat64())), events)
		es.observeLimit(156*80, events)
	}
	for events := 4; events < 100; events++ {
		end(events)
		end(events)
		end(events)
		assert.Assert(t, es.eventTokens() < 110, "%d events: %d", events, es.eventTokens())
	}
	end(156)
	end(156)
	assert.Assert(t, es.eventTokens() != 80, "two may be as long by chance")
	end(156)
	assert.Equal(t, es.eventTokens(), 80)
	end(20)
	assert.Equal(t, es.eventTokens(), 80)
}
