package profile

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// A Size is a number of bytes, written with a unit: "64KB".
type Size int64

// Units of a Size. They are powers of two, as the platform counts sizes.
const (
	Byte     Size = 1
	Kilobyte      = 1024 * Byte
	Megabyte      = 1024 * Kilobyte
)

// maxSize bounds every size in a declaration.
const maxSize = 1024 * Megabyte

type sizeUnit struct {
	suffix string
	size   Size
}

// sizeUnits are tried in order: "KB" must precede "B".
var sizeUnits = []sizeUnit{{"MB", Megabyte}, {"KB", Kilobyte}, {"B", Byte}}

// ParseSize parses an integer with one of the units B, KB and MB.
func ParseSize(text string) (Size, error) {
	for _, su := range sizeUnits {
		digits, ok := strings.CutSuffix(text, su.suffix)
		if !ok {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 32)
		if err != nil {
			return 0, errors.Newf("%q is no size such as \"64KB\"", text)
		}
		si := Size(count) * su.size
		if si > maxSize {
			return 0, errors.Newf("%q is more than %s", text, maxSize)
		}
		return si, nil
	}
	return 0, errors.Newf("%q has no unit: want B, KB or MB, such as \"64KB\"", text)
}

// String formats the size in the largest unit that divides it.
func (si Size) String() string {
	for _, su := range sizeUnits {
		if si != 0 && si%su.size == 0 {
			return strconv.FormatInt(int64(si/su.size), 10) + su.suffix
		}
	}
	return strconv.FormatInt(int64(si), 10) + "B"
}
