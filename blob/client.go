package blob

import (
	"context"

	"github.com/cockroachdb/errors"

	"wisteriacroft/message"
)

// ReplicaCount is how many failure domains keep a payload.
const ReplicaCount = 2

// A Client reaches the data folders of other processes. Each field is a seam.
type Client struct {
	DeleteFunc func(ctx context.Context, pl message.BlobLocation, digest string) error
	// GetFunc returns the payload, or ErrMissing.
	GetFunc func(ctx context.Context, pl message.BlobLocation, digest string) ([]byte, error)
	PutFunc func(ctx context.Context, pl message.BlobLocation, digest string, data []byte) error
}

// Replicate puts data into ReplicaCount of the places, in different failure domains,
// trying them in order and passing over those that fail. It returns the places
// that took it; with fewer than ReplicaCount of them, ErrTooFewCopies too.
func Replicate(
	ctx context.Context, cl *Client, places []message.BlobLocation, data []byte,
) ([]message.BlobLocation, error) {
	var taken []message.BlobLocation
	var failed error
	digest := Digest(data)
	for _, pl := range places {
		if len(taken) == ReplicaCount {
			break
		}
		if sharesDomain(taken, pl) {
			continue
		}
		if err := cl.PutFunc(ctx, pl, digest, data); err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "put to %s", pl.Instance))
			continue
		}
		taken = append(taken, pl)
	}
	if len(taken) < ReplicaCount {
		return taken, errors.CombineErrors(
			errors.Wrapf(ErrTooFewCopies, "%d of %d", len(taken), ReplicaCount), failed)
	}
	return taken, nil
}

// sharesDomain reports whether a place lies in the failure domain of one taken.
func sharesDomain(taken []message.BlobLocation, pl message.BlobLocation) bool {
	for _, ta := range taken {
		if ta.FailureDomain == pl.FailureDomain {
			return true
		}
	}
	return false
}

// Fetch returns the first whole copy, and puts it back into the places before
// it that lost theirs. It returns ErrMissing only if every place says so: one
// that cannot be reached may still have its copy.
func Fetch(
	ctx context.Context, cl *Client, places []message.BlobLocation, digest string,
) ([]byte, error) {
	var lost []message.BlobLocation
	var failed error
	for _, pl := range places {
		data, err := cl.GetFunc(ctx, pl, digest)
		if err == nil && Digest(data) != digest {
			err = errors.Wrapf(ErrMissing, "%s sent other content", pl.Instance)
		}
		if err == nil {
			for _, lo := range lost {
				_ = cl.PutFunc(ctx, lo, digest, data) // the copy at hand is enough to go on
			}
			return data, nil
		}
		if errors.Is(err, ErrMissing) {
			lost = append(lost, pl)
			continue
		}
		failed = errors.CombineErrors(failed, errors.Wrapf(err, "get from %s", pl.Instance))
	}
	if failed != nil {
		return nil, errors.Wrapf(failed, "fetch %s", digest)
	}
	return nil, errors.Wrapf(ErrMissing, "fetch %s from %d places", digest, len(places))
}
