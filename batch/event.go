package batch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/blob"
	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// errInvalid means that a result is not a usable sample.
var errInvalid = errors.New("invalid sample")

// Started reports the endpoint that an attempt was sent to and the address of its attendant. The
// attempt may still be queued there.
func (ow *Owner) Started(id, endpoint, address string) {
	now := time.Now()
	ow.locked(func() {
		at := ow.attempts[id]
		if at == nil || at.endpoint != "" {
			return
		}
		at.address, at.endpoint = address, endpoint
		at.reportedAt, at.progressAt = now, now
	})
}

// Progress reports the number of tokens generated so far and the version of the last one, 0 if
// unknown. Without new tokens it reports that the attempt still waits or runs.
func (ow *Owner) Progress(id string, tokens int, version engine.Version) {
	now := time.Now()
	ow.locked(func() {
		at := ow.attempts[id]
		if at == nil {
			return
		}
		at.reportedAt = now
		if tokens <= at.tokens {
			return
		}
		if at.startedAt.IsZero() {
			at.firstTokens, at.startedAt = tokens, now
		}
		at.tokens, at.progressAt = tokens, now
		at.trainer.releases.record(version, now)
		if version > 0 && (at.oldest == 0 || version < at.oldest) {
			at.oldest = version
		}
	})
}

// Finished reports the sample of an attempt. The first valid and fresh sample fills the slot. The
// payloads of others are deleted by age in their data folders.
func (ow *Owner) Finished(id string, sr message.SampleResult) {
	ow.locked(func() {
		at := ow.attempts[id]
		if at == nil {
			return // late, repeated, or of a former owner
		}
		tr := at.trainer
		if err := validate(&sr); err != nil {
			ow.fail(at, err)
			return
		}
		if tr.policy.stale(oldest(sr.Segments), tr.version) {
			tr.counts.Stale++
			tr.counts.WastedTokens += sr.Tokens
			ow.remove(at)
			return
		}
		ow.fill(at, &sr)
	})
}

// Failed reports that an attempt ended without a whole sample.
func (ow *Owner) Failed(id string, err error) {
	ow.locked(func() {
		if at := ow.attempts[id]; at != nil {
			ow.fail(at, err)
		}
	})
}

// fill assigns a sample to a slot and cancels the slot's other attempts.
func (ow *Owner) fill(at *attempt, sr *message.SampleResult) {
	tr, sl := at.trainer, at.slot
	ow.remove(at)
	for len(sl.attempts) > 0 {
		other := sl.attempts[0]
		tr.counts.WastedTokens += other.tokens
		ow.cancel(other)
	}
	sl.failures, sl.resume, sl.state = 0, resumption{}, slotFilled
	sl.entry = &message.SampleEntry{
		Digest:   sr.Digest,
		Group:    int(sl.group),
		Member:   int(sl.member),
		Places:   ow.intern(sr.Places),
		Segments: sr.Segments,
		Size:     sr.Size,
	}
	ow.lengths.record(at.step.request.Groups[sl.group].Prompt, sr.Tokens)
	tr.counts.Samples++
}

// fail removes a failed attempt and sets the retry time of its slot.
func (ow *Owner) fail(at *attempt, err error) {
	tr, sl := at.trainer, at.slot
	ow.log(tr).WithError(err).WithField("attempt", at.id).Info("attempt failed")
	ow.remove(at)
	tr.counts.Failures++
	tr.counts.WastedTokens += at.tokens
	sl.avoid, sl.resume = at.endpoint, at.resumption()
	sl.failures++
	sl.retryAt = time.Now().Add(tr.policy.retryAfter(sl.failures))
}

// intern returns a shared copy of equal places, since thousands of samples of a step have the
// same.
func (ow *Owner) intern(pls []message.BlobLocation) []message.BlobLocation {
	for _, known := range ow.places {
		if slices.Equal(known, pls) {
			return known
		}
	}
	if len(ow.places) == maxPlaces {
		ow.places = ow.places[1:]
	}
	ow.places = append(ow.places, pls)
	return pls
}

// maxPlaces bounds the number of shared places.
const maxPlaces = 256

// validate returns an error unless a result has a payload and a version for each token.
func validate(sr *message.SampleResult) error {
	if !blob.ValidDigest(sr.Digest) || len(sr.Places) == 0 {
		return errors.Wrapf(errInvalid, "digest %q in %d places", sr.Digest, len(sr.Places))
	}
	made := 0
	for _, se := range sr.Segments {
		if se.Version == 0 || se.Tokens <= 0 {
			return errors.Wrapf(errInvalid, "segment of %d tokens by version %d", se.Tokens, se.Version)
		}
		made += se.Tokens
	}
	if made == 0 || made != sr.Tokens {
		return errors.Wrapf(errInvalid, "segments name %d of %d tokens", made, sr.Tokens)
	}
	return nil
}
