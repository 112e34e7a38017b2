package capacity

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/profile"
)

const (
	changes      = 128  // retained by a document
	classes      = 3    // calls profiles for each service
	serviceSize  = 100  // endpoints for each service
	documentSize = 1100 // endpoints of the largest document
)

// declareAll returns profiles for a number of endpoints, with comments as in a real
// deployment, after a number of changes, each to the next profile.
func declareAll(t testing.TB, endpoints, changed int) []profile.Profile {
	var all []profile.Profile
	add := func(name, text string) {
		pr, findings := profile.Parse(name, name+".toml", text)
		assert.Equal(t, len(findings), 0, "%v", findings)
		all = append(all, pr)
	}
	count := classes * ((endpoints + serviceSize - 1) / serviceSize)
	for i := 0; i*serviceSize < endpoints; i++ {
		service := fmt.Sprintf("marker-llm-%02d", i)
		var names []string
		for e := range min(serviceSize, endpoints-i*serviceSize) {
			names = append(names, fmt.Sprintf("%q", fmt.Sprintf("%s-%03d", service, e)))
		}
		add(service, fmt.Sprintf("# The marking model of region %d.\nkind = 'service'\nservice = '%s'\ntype = 'engine'\nmax-running = 16\nserving-floor = 0.75\nendpoints = [%s]\n",
			i, service, strings.Join(names, ", ")))
		for c := range classes {
			name := fmt.Sprintf("%s-class-%d", service, c)
			add(name, fmt.Sprintf("# Calls of class %d.\nkind = 'calls'\nservice = '%s'\nclass = 'class-%d'\nrepeatable = true\ndeadline = '5s'\nattempt-timeout = '2s'\nmax-running = 4\nmax-waiting = %d\n",
				c, service, c, 16+(changed+count-i*classes-c)/count))
		}
	}
	return all
}

// BenchmarkDocument measures the encoded size of the configuration, and the time
// to encode and decode it, when it retains the maximum number of changes.
func BenchmarkDocument(b *testing.B) {
	for _, endpoints := range []int{30, 300, documentSize} {
		var me keyvalue.Memory
		st := &profile.Store{Client: me.Client()}
		for i := range changes {
			held, err := st.Read(b.Context())
			assert.NilError(b, err)
			_, err = st.Apply(b.Context(), profile.ApplyRequest{
				Base: profile.NewBase(held.Document), By: "capacity", Message: fmt.Sprintf("more may wait, OPS-%d", 4000+i), Wanted: declareAll(b, endpoints, i),
			})
			assert.NilError(b, err)
		}
		vd, err := st.Read(b.Context())
		assert.NilError(b, err)
		data, err := vd.Document.MarshalBinary()
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("encode/endpoints=%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				_, err := vd.Document.MarshalBinary()
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(data)), "B")
		})
		b.Run(fmt.Sprintf("decode/endpoints=%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				var do profile.Document
				assert.NilError(b, do.UnmarshalBinary(data))
			}
		})
	}
}
