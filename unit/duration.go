// Package unit parses and formats values with a unit, such as "250ms".
package unit

import (
	"time"

	"github.com/cockroachdb/errors"
)

// A Duration is a time.Duration whose text form requires a unit, even for zero.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (du Duration) Std() time.Duration { return time.Duration(du) }

// String returns the duration in Go's format, such as "1m30s".
func (du Duration) String() string { return time.Duration(du).String() }

// MarshalText implements encoding.TextMarshaler.
func (du Duration) MarshalText() ([]byte, error) { return []byte(du.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (du *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || string(text) == "0" {
		return errors.Newf("%q is no duration: write a number with its unit, such as \"250ms\" or \"5s\"", text)
	}
	*du = Duration(parsed)
	return nil
}
