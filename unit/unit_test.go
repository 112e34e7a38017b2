package unit

import (
	"encoding"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnmarshalText guards against accepting a duration without a unit.
func TestUnmarshalText(t *testing.T) {
	for _, tc := range []struct {
		name  string
		value interface {
			encoding.TextUnmarshaler
			fmt.Stringer
		}
		text string
		want string // "" if the text is invalid
	}{
		{"duration", new(Duration), "90s", "1m30s"},
		{"duration without a unit", new(Duration), "30", ""},
		{"zero without a unit", new(Duration), "0", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.value.UnmarshalText([]byte(tc.text))
			assert.Equal(t, err == nil, tc.want != "", "%v", err)
			if err == nil {
				assert.Equal(t, tc.value.String(), tc.want)
			}
		})
	}
}
