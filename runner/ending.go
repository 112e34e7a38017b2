package runner

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ending returns what the end of a stream means.
func ending(err error) (State, string) {
	if errors.Is(err, io.EOF) {
		return Complete, ""
	}
	return Broken, err.Error()
}
