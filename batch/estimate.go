package batch

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriacroft/engine"
)

// smoothing is the weight of a new observation in a moving average.
const smoothing = 0.3

// maxLengths bounds the number of prompts with a recorded length.
const maxLengths = 4096

// lengths holds the mean sample length of recent prompts. The zero value is empty and ready to use.
type lengths struct {
	means  map[uint64]float64 // by hash of the prompt
	oldest []uint64
}

// record records a length in tokens.
func (le *lengths) record(prompt string, tokens int) {
	if le.means == nil {
		le.means = map[uint64]float64{}
	}
	key := xxhash.Sum64String(prompt)
	mean, ok := le.means[key]
	if ok {
		le.means[key] = mean + smoothing*(float64(tokens)-mean)
		return
	}
	if len(le.oldest) == maxLengths {
		delete(le.means, le.oldest[0])
		le.oldest = le.oldest[1:]
	}
	le.oldest = append(le.oldest, key)
	le.means[key] = float64(tokens)
}

// expect returns the expected length of a prompt's samples, or fallback if there is none.
func (le *lengths) expect(prompt string, fallback int) float64 {
	if mean, ok := le.means[xxhash.Sum64String(prompt)]; ok {
		return mean
	}
	return float64(fallback)
}

// A pace estimates the duration of a trainer's steps and the versions it advances with each. The
// zero pace expects one version per step.
type pace struct {
	perStep float64 // versions per step
	seen    bool
	since   time.Time // when step was first seen
	step    int
	took    time.Duration // mean duration of a step; 0 if unknown
	version engine.Version
}

// record records that the trainer has version after it took a batch of step.
func (pa *pace) record(step int, version engine.Version, now time.Time) {
	if pa.seen && step > pa.step && version >= pa.version {
		steps := step - pa.step
		moved := float64(version-pa.version) / float64(steps)
		pa.perStep = cmp.Or(pa.perStep, 1)
		pa.perStep += smoothing * (moved - pa.perStep)
		pa.took = mean(pa.took, now.Sub(pa.since)/time.Duration(steps))
	}
	if !pa.seen || step != pa.step {
		pa.seen, pa.since, pa.step, pa.version = true, now, step, version
	}
}

// versions returns the expected number of versions in a number of steps.
func (pa *pace) versions(steps int) engine.Version {
	return engine.Version(math.Round(cmp.Or(pa.perStep, 1) * float64(steps)))
}

// takenAt returns when the trainer will probably take the step that is ahead steps away.
func (pa *pace) takenAt(ahead int) time.Time {
	return pa.since.Add(pa.took * time.Duration(ahead))
}

// releases estimates which versions engines serve. The zero value has no observation.
type releases struct {
	at       time.Time // when newest was first seen
	interval time.Duration
	newest   engine.Version
}

// record records that engines serve a version.
func (re *releases) record(version engine.Version, now time.Time) {
	if version <= re.newest {
		return
	}
	if re.newest > 0 {
		re.interval = mean(re.interval, now.Sub(re.at)/time.Duration(version-re.newest))
	}
	re.newest, re.at = version, now
}

// expectedAt returns the version that engines will probably serve at a time.
func (re *releases) expectedAt(at time.Time) engine.Version {
	if re.interval <= 0 || !at.After(re.at) {
		return re.newest
	}
	return re.newest + engine.Version((at.Sub(re.at)+re.interval/4)/re.interval)
}

// mean adds an observation to a moving average. before is 0 if there is none yet.
func mean(before, observed time.Duration) time.Duration {
	if before == 0 {
		return observed
	}
	return before + time.Duration(smoothing*float64(observed-before))
}
