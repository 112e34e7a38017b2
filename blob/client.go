package blob

import (
	"context"

	"github.com/cockroachdb/errors"

	"wisteriacroft/message"
)

// ReplicaCount is the number of failure domains that store a payload.
const ReplicaCount = 2

// A Client accesses the data folders of other processes. Tests can replace its functions.
type Client struct {
	DeleteFunc func(ctx context.Context, bl message.BlobLocation, digest string) error
	// GetFunc returns the payload, or ErrMissing.
	GetFunc func(ctx context.Context, bl message.BlobLocation, digest string) ([]byte, error)
	PutFunc func(ctx context.Context, bl message.BlobLocation, digest string, data []byte) error
}

// Replicate stores data at ReplicaCount of the locations, in different failure domains. It
// tries them in order and skips those that fail. It returns the locations that stored it;
// the error wraps ErrTooFewCopies if they are fewer than ReplicaCount.
func Replicate(
	ctx context.Context, cl *Client, locations []message.BlobLocation, data []byte,
) ([]message.BlobLocation, error) {
	var stored []message.BlobLocation
	var errs error
	digest := Digest(data)
	for _, bl := range locations {
		if len(stored) == ReplicaCount {
			break
		}
		if sharesDomain(stored, bl) {
			continue
		}
		if err := cl.PutFunc(ctx, bl, digest, data); err != nil {
			errs = errors.CombineErrors(errs, errors.Wrapf(err, "put to %s", bl.Instance))
			continue
		}
		stored = append(stored, bl)
	}
	if len(stored) < ReplicaCount {
		return stored, errors.CombineErrors(
			errors.Wrapf(ErrTooFewCopies, "%d of %d", len(stored), ReplicaCount), errs)
	}
	return stored, nil
}

// sharesDomain reports whether a location is in the failure domain of one in stored.
func sharesDomain(stored []message.BlobLocation, bl message.BlobLocation) bool {
	for _, other := range stored {
		if other.FailureDomain == bl.FailureDomain {
			return true
		}
	}
	return false
}

// Fetch returns the first valid copy and restores the missing copies of the locations before
// it. It returns ErrMissing only if all locations report it: an unreachable one may still
// have its copy.
func Fetch(
	ctx context.Context, cl *Client, locations []message.BlobLocation, digest string,
) ([]byte, error) {
	var lost []message.BlobLocation
	var errs error
	for _, bl := range locations {
		data, err := cl.GetFunc(ctx, bl, digest)
		if err == nil && Digest(data) != digest {
			err = errors.Wrapf(ErrMissing, "%s sent other content", bl.Instance)
		}
		if err == nil {
			for _, lo := range lost {
				_ = cl.PutFunc(ctx, lo, digest, data) // best effort
			}
			return data, nil
		}
		if errors.Is(err, ErrMissing) {
			lost = append(lost, bl)
			continue
		}
		errs = errors.CombineErrors(errs, errors.Wrapf(err, "get from %s", bl.Instance))
	}
	if errs != nil {
		return nil, errors.Wrapf(errs, "fetch %s", digest)
	}
	return nil, errors.Wrapf(ErrMissing, "fetch %s from %d places", digest, len(locations))
}
