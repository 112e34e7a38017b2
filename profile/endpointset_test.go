package profile

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func serviceWith(t *testing.T, endpoints string) Profile {
	t.Helper()
	pr, fis := Parse("desk", "desk.toml", "kind = \"service\"\nservice = \"desk\"\ntype = \"plain\"\nendpoints = ["+endpoints+"]\n")
	assert.Equal(t, len(fis), 0, fis)
	return pr
}

func TestEndpointSetsSurviveARestart(t *testing.T) {
	// A restarted attendant must still see the previous endpoints, or a call would
	// run twice: at the previous home of its key and at the new one.
	do := Document{}.next([]Profile{serviceWith(t, `"a"`)}, Change{id: "1"})
	do = do.next([]Profile{serviceWith(t, `"a"`)}, Change{id: "2"})
	do = do.next([]Profile{serviceWith(t, `"a", "b"`)}, Change{id: "3"})
	data, err := do.MarshalBinary()
	assert.NilError(t, err)
	var read Document
	assert.NilError(t, read.UnmarshalBinary(data))
	var got []string
	for _, es := range read.EndpointSets("desk") {
		got = append(got, fmt.Sprintf("%d:%s", es.Revision, strings.Join(es.Endpoints, ",")))
	}
	assert.DeepEqual(t, got, []string{"1:a", "3:a,b"})
}

func TestEndpointSetsAreBounded(t *testing.T) {
	var do Document
	for i := range 3 * maxEndpointSets {
		do = do.next([]Profile{serviceWith(t, fmt.Sprintf(`"e-%d"`, i))}, Change{id: fmt.Sprint(i)})
	}
	sets := do.EndpointSets("desk")
	assert.Equal(t, len(sets), maxEndpointSets)
	assert.Equal(t, sets[len(sets)-1].Revision, do.Revision())
}
