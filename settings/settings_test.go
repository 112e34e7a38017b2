package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/finding"
)

// read parses a document as the settings of a role.
func read(ro Role, file string, data []byte) (any, error) {
	if ro == EntryRole {
		return ReadEntry(file, data)
	}
	return ReadAttendant(file, data)
}

// TestRead compares the settings or findings of each document in testdata with its
// golden file.
func TestRead(t *testing.T) {
	for _, ro := range []Role{EntryRole, AttendantRole} {
		paths, err := filepath.Glob(filepath.Join("testdata", string(ro)+"-*.toml"))
		assert.NilError(t, err)
		assert.Assert(t, len(paths) > 0)
		for _, path := range paths {
			name := filepath.Base(path)
			t.Run(name, func(t *testing.T) {
				data, err := os.ReadFile(path)
				assert.NilError(t, err)
				got, err := read(ro, name, data)
				text := describe("", reflect.ValueOf(got))
				if err != nil {
					text = err.Error() + "\n"
				}
				golden.Assert(t, text, name+".golden")
			})
		}
	}
}

// describe returns the results of a value's accessors, one per line.
func describe(prefix string, va reflect.Value) string {
	if va.Kind() == reflect.Slice {
		var sb strings.Builder
		for i := range va.Len() {
			sb.WriteString(describe(fmt.Sprintf("%s[%d]", prefix, i), va.Index(i)))
		}
		return sb.String()
	}
	if va.Kind() != reflect.Struct || va.Type().PkgPath() != reflect.TypeFor[Process]().PkgPath() {
		return fmt.Sprintf("%s: %v\n", prefix, va)
	}
	var sb strings.Builder
	for i := range va.NumMethod() {
		name := prefix + "." + va.Type().Method(i).Name
		sb.WriteString(describe(name, va.Method(i).Call(nil)[0]))
	}
	return sb.String()
}

// TestReference compares the reference for operators with the table of keys.
func TestReference(t *testing.T) {
	golden.Assert(t, Reference(), "../../docs/reference/settings.md")
}

// TestKeys compares the table of keys with the structs that the TOML codec decodes into.
func TestKeys(t *testing.T) {
	for ro, raw := range map[Role]any{EntryRole: rawEntry{}, AttendantRole: rawAttendant{}} {
		var want []string
		for _, ke := range keys {
			if ke.appliesTo(ro) {
				want = append(want, ke.name)
			}
		}
		got := tags("", reflect.TypeOf(raw))
		slices.Sort(want)
		slices.Sort(got)
		assert.DeepEqual(t, got, want)
	}
}

// tags returns the dotted keys of a raw struct.
func tags(prefix string, ty reflect.Type) []string {
	var names []string
	for i := range ty.NumField() {
		fi := ty.Field(i)
		inner := fi.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		switch {
		case fi.Anonymous:
			names = append(names, tags(prefix, inner)...)
		case strings.HasPrefix(inner.Name(), "raw"):
			names = append(names, tags(prefix+fi.Tag.Get("toml")+".", inner)...)
		default:
			names = append(names, prefix+fi.Tag.Get("toml"))
		}
	}
	return names
}

// FuzzRead checks that every document either parses or yields findings, without a panic.
func FuzzRead(f *testing.F) {
	paths, err := filepath.Glob(filepath.Join("testdata", "*.toml"))
	assert.NilError(f, err)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, ro := range []Role{EntryRole, AttendantRole} {
			_, err := read(ro, "fuzz.toml", data)
			var found *finding.Error
			if err != nil && !errors.As(err, &found) {
				t.Fatalf("%s: no findings but %v", ro, err)
			}
		}
	})
}
