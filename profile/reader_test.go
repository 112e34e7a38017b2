package profile

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

var update = flag.Bool("update-reference", false, "write the tables of docs/reference/profiles.md")

const reference = "../docs/reference/profiles.md"

// referenceTable returns the table of a kind's keys for the reference.
func referenceTable(ki Kind) string {
	var sb strings.Builder
	sb.WriteString("| key | type | default | meaning |\n|---|---|---|---|\n")
	for _, ke := range KeysOf(ki) {
		fallback := "required"
		if !ke.Required() {
			fallback = "`" + ke.Default() + "`"
		}
		if ke.Doc() == "" || !kebabCase.MatchString(ke.Name()) {
			return "key without a meaning or not in kebab-case: " + ke.Name()
		}
		fmt.Fprintf(&sb, "| `%s` | %s | %s | %s |\n", ke.Name(), ke.Type(), fallback, ke.Doc())
	}
	return sb.String()
}

func TestReferenceListsEveryKey(t *testing.T) {
	data, err := os.ReadFile(reference)
	assert.NilError(t, err)
	text := string(data)
	for _, ki := range allKinds {
		start := fmt.Sprintf("<!-- keys of %s -->\n", ki)
		before, rest, ok := strings.Cut(text, start)
		assert.Assert(t, ok, "no table of %s", ki)
		table, after, ok := strings.Cut(rest, "<!-- end -->")
		assert.Assert(t, ok)
		if *update {
			text = before + start + referenceTable(ki) + "<!-- end -->" + after
			continue
		}
		assert.Equal(t, table, referenceTable(ki), "run go test ./profile -update-reference")
	}
	if *update {
		assert.NilError(t, os.WriteFile(reference, []byte(text), 0o600))
	}
}

func TestExamples(t *testing.T) {
	tests := []struct {
		dir, service     string
		endpoints, floor int
		calls            string
		once             bool
		trainer          string
		share, freshness float64
	}{
		{"hathercote", "marker-llm", 10, 8, "gate-lookup", false, "marking-trainer", 1, 0.9},
		{"baitursynov", "draft-llm", 12, 9, "order-line", true, "drafting-trainer", 3, 0.2},
	}
	for _, tt := range tests {
		t.Run(tt.dir, func(t *testing.T) {
			profiles, err := ReadDir(filepath.Join("../examples", tt.dir, "profiles"))
			assert.NilError(t, err)
			data, err := NewDocument(7, profiles...).MarshalBinary()
			assert.NilError(t, err)
			var do Document
			assert.NilError(t, do.UnmarshalBinary(data))
			service, ok := do.Service(tt.service)
			assert.Assert(t, ok)
			assert.Assert(t, cmp.Len(service.Endpoints(), tt.endpoints))
			assert.Equal(t, service.ServingFloor(), tt.floor)
			calls, ok := do.Profile(tt.calls)
			assert.Assert(t, ok && calls.Repeatable() != tt.once)
			samples := do.Trainer(tt.trainer)
			assert.Assert(t, cmp.Len(samples, 1))
			assert.Equal(t, samples[0].Share(tt.trainer), tt.share)
			assert.Equal(t, samples[0].FreshnessWeight(), tt.freshness)
		})
	}
}

func TestReadDirRejectsOversizedDeclarations(t *testing.T) {
	dir := t.TempDir()
	service := plainService(t, "a", "1s").Source()
	for _, name := range []string{"a", "b"} {
		padded := service + strings.Repeat("# padding\n", 60_000)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name+fileSuffix), []byte(padded), 0o600))
	}
	big := bytes.Repeat([]byte("#\n"), 600_000)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "big.toml"), big, 0o600))
	_, err := ReadDir(dir)
	assert.ErrorContains(t, err, "big.toml: 1200000 bytes: more than the 1048576")
	assert.ErrorContains(t, err, "all declarations together take 1200")
}

func TestDocumentAtTargetSize(t *testing.T) {
	// 1,100 endpoints in 9 services, 2 profiles each, and the maximum of changes.
	var profiles []Profile
	for i := range 9 {
		names := make([]string, 123)
		for j := range names {
			names[j] = fmt.Sprintf("%q", fmt.Sprintf("service-%d-%d", i, j))
		}
		for name, source := range map[string]string{
			"service-%d": "kind = \"service\"\nservice = \"service-%[1]d\"\ntype = \"engine\"\nendpoints = [" + strings.Join(names, ", ") + "]\n",
			"calls-%d":   "kind = \"calls\"\nservice = \"service-%d\"\n",
			"samples-%d": "kind = \"samples\"\nservice = \"service-%[1]d\"\ntrainers = [\"one-%[1]d\", \"two-%[1]d\"]\n",
		} {
			pr, findings := Parse(fmt.Sprintf(name, i), "a.toml", fmt.Sprintf(source, i))
			assert.Assert(t, cmp.Len(findings, 0))
			profiles = append(profiles, pr)
		}
	}
	do := NewDocument(1, profiles...)
	for i := range 2 * maxChanges {
		changed := []ChangedProfile{{After: digestOf("a"), Before: digestOf("b"), Name: "service-1"}}
		do = do.next(profiles, Change{by: "operator", id: fmt.Sprintf("%036d", i), message: "raise a limit", changed: changed})
	}
	assert.NilError(t, Check(do.Profiles()))
	data, err := do.MarshalBinary()
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 12<<10, "%d bytes", len(data))
	assert.Assert(t, cmp.Len(do.Changes(), maxChanges))
}

func TestOlderProgramReadsNewerKeys(t *testing.T) {
	// A process must adopt a document with keys that it does not know, written by a
	// newer version; only applying checks strictly.
	pr := plainService(t, "a", "1s")
	pr.source += "later = true\n"
	data, err := NewDocument(1, pr).MarshalBinary()
	assert.NilError(t, err)
	var do Document
	assert.NilError(t, do.UnmarshalBinary(data))
	assert.ErrorContains(t, Check(do.Profiles()), "a.toml:6: later: unknown key")
}

func FuzzRead(f *testing.F) {
	f.Add("kind = \"calls\"\nservice = \"a\"\n")
	f.Add("kind = \"samples\"\nservice = \"a\"\ntrainers = [\"b\"]\n[shares]\nb = 1\n")
	f.Add("kind = \"service\"\nservice = \"a\"\ntype = \"engine\"\nendpoints = [\"a-1\"]\nserving-floor = 0\n")
	f.Fuzz(func(t *testing.T, source string) {
		pr, findings := Parse("fuzzed", "fuzzed.toml", source)
		lines := 1 + strings.Count(source, "\n")
		for _, fi := range findings {
			assert.Assert(t, fi.Line() >= 1 && fi.Line() <= lines, "%s", fi)
		}
		if len(findings) > 0 {
			return
		}
		var shown strings.Builder
		for _, ke := range KeysOf(pr.Kind()) {
			fmt.Fprintf(&shown, "%s = %s\n", ke.Name(), ke.Show(pr))
		}
		again, findings := Parse("fuzzed", "fuzzed.toml", shown.String())
		assert.Assert(t, cmp.Len(findings, 0), "%s", shown.String())
		again.source = pr.source
		assert.Assert(t, fmt.Sprintf("%+v", again) == fmt.Sprintf("%+v", pr))
		_ = Check([]Profile{pr})
	})
}

func TestExpansionIsBounded(t *testing.T) {
	// A small compressed value that expands to gigabytes must not exhaust memory.
	data, err := compress(make([]byte, 4*maxExpandedSize))
	assert.NilError(t, err)
	var do Document
	assert.ErrorContains(t, do.UnmarshalBinary(data), "more than")
}

func FuzzDocument(f *testing.F) {
	data, err := NewDocument(3, plainService(f, "a", "1s")).MarshalBinary()
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{})
	expanded, err := expand(data)
	assert.NilError(f, err)
	f.Add(expanded)
	f.Fuzz(func(t *testing.T, data []byte) {
		compressed, err := compress(data)
		assert.NilError(t, err)
		for _, encoded := range [][]byte{data, compressed} {
			var do Document
			if err := do.UnmarshalBinary(encoded); err != nil {
				assert.Equal(t, do.Revision(), uint64(0))
				continue
			}
			_, err := do.MarshalBinary()
			assert.NilError(t, err)
		}
	})
}
