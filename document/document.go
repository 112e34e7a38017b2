// Package document decodes TOML documents strictly and reports all errors together, each
// with its file, line and key.
package document

import (
	"bytes"
	"reflect"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"wisteriacroft/finding"
)

// MaxSize is the largest document that is read, in bytes.
const MaxSize = 1 << 20

// maxRounds is the maximum number of decoding passes over a document. Each pass finds one
// error.
const maxRounds = 50

// A Document holds the lines of a TOML document's keys. Keys are dotted, with an index
// for elements of an array of tables: "lease.ttl", "endpoint[0].name".
type Document struct {
	broken   bool
	faulty   map[string]bool
	file     string
	findings *finding.List
	lines    map[string]int
}

// Read decodes data into the struct that into points to and adds a finding for each
// unknown key, wrong type and syntax error. Fields of keys with a finding keep their
// previous value.
func Read(file string, data []byte, into any, li *finding.List) *Document {
	do := &Document{
		faulty:   map[string]bool{},
		file:     file,
		findings: li,
		lines:    map[string]int{},
	}
	if len(data) > MaxSize {
		do.broken = true
		li.Add(file, 0, "", "is %d bytes long, more than the maximum of %d", len(data), MaxSize)
		return do
	}
	exprs := do.scan(data, reflect.TypeOf(into).Elem())
	if do.broken {
		return do
	}
	data = bytes.Clone(data)
	for at, ex := range exprs {
		if do.faulty[ex.key] {
			blank(data, exprs, at)
		}
	}
	do.decode(data, exprs, into)
	return do
}

// Add adds a finding at a key's line, unless the key already has one. The line of a
// missing key is that of the table it belongs to.
func (do *Document) Add(key, format string, args ...any) {
	if do.faulty[key] {
		return
	}
	do.faulty[key] = true
	do.findings.Add(do.file, do.Line(key), key, format, args...)
}

// Broken reports whether the document could not be parsed completely, so that missing
// keys can't be determined.
func (do *Document) Broken() bool { return do.broken }

// Has reports whether the document contains a key.
func (do *Document) Has(key string) bool {
	_, ok := do.lines[key]
	return ok
}

// Faulty reports whether a key or a table that contains it has a finding.
func (do *Document) Faulty(key string) bool {
	for {
		if do.faulty[key] {
			return true
		}
		if key = parentKey(key); key == "" {
			return false
		}
	}
}

// Line returns the line of a key, or else of the nearest enclosing table, or else 0.
func (do *Document) Line(key string) int {
	for {
		if line, ok := do.lines[key]; ok {
			return line
		}
		if key = parentKey(key); key == "" {
			return 0
		}
	}
}

// parentKey returns the key of the table or array that contains a key, or "".
func parentKey(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}

// decode decodes data until no expression fails. The decoder stops at the first wrong
// type; each round blanks that expression and decodes again, so that all errors are
// reported in one run.
func (do *Document) decode(data []byte, exprs []expression, into any) {
	for range maxRounds {
		err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into)
		if err == nil {
			return
		}
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			do.addUnknown(unknown, exprs)
			return
		}
		var wrong *toml.DecodeError
		if !errors.As(err, &wrong) {
			do.broken = true
			do.findings.Add(do.file, 0, "", "%s", cleanMessage(err))
			return
		}
		line, _ := wrong.Position()
		at := sort.Search(len(exprs), func(i int) bool { return exprs[i].line > line }) - 1
		do.faulty[exprs[at].key] = true
		do.findings.Add(do.file, line, exprs[at].key, "%s", cleanMessage(err))
		blank(data, exprs, at)
	}
	do.broken = true
	do.findings.Add(do.file, 0, "", "has more errors, which are reported once these are fixed")
}

// addUnknown adds a finding for each key without a field in the target.
func (do *Document) addUnknown(unknown *toml.StrictMissingError, exprs []expression) {
	for i := range unknown.Errors {
		line, _ := unknown.Errors[i].Position()
		key := strings.Join(unknown.Errors[i].Key(), ".")
		at := sort.Search(len(exprs), func(i int) bool { return exprs[i].line >= line })
		if at < len(exprs) && exprs[at].line == line {
			key = exprs[at].key
		}
		do.faulty[key] = true
		do.findings.Add(do.file, line, key, "unknown key")
	}
}

// cleanMessage returns an error's message without the decoder's prefix and without Go
// types.
func cleanMessage(err error) string {
	message := strings.TrimPrefix(err.Error(), "toml: ")
	if value, _, ok := strings.Cut(message, " into struct field "); ok {
		return strings.TrimPrefix(value, "cannot decode ") + " is not allowed here"
	}
	return message
}
