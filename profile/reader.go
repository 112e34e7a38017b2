package profile

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"wisteriacroft/finding"
	"wisteriacroft/keyvalue"
)

const fileSuffix = ".toml"

// A declaration is a profile with the file and lines it was read from.
type declaration struct {
	file    string
	lines   lineIndex
	profile Profile
}

// add adds a finding at the line of a key.
func (de declaration) add(li *finding.List, key, format string, args ...any) {
	li.Add(de.file, de.lines.line(key), key, format, args...)
}

// Parse reads and checks one declaration. The findings name file.
func Parse(name, file, source string) (Profile, []finding.Finding) {
	var li finding.List
	de := reader{strict: true}.parse(name, file, source, &li)
	sortFindings(li.All())
	return de.profile, li.All()
}

// ReadDir reads the declarations of a directory, one per file, and checks each
// of them and all together. The error is a *finding.Error that holds all
// findings, or the reason why the directory can't be read.
func ReadDir(dir string) ([]Profile, error) {
	files, err := filepath.Glob(filepath.Join(escapeGlob(dir), "*"+fileSuffix))
	if err != nil {
		return nil, errors.Wrap(err, dir)
	}
	if _, err := os.Stat(dir); err != nil {
		return nil, errors.Wrap(err, "profile directory")
	}
	slices.Sort(files)
	var li finding.List
	if len(files) == 0 {
		li.Add(dir, 0, "", "no declarations: want files named *%s", fileSuffix)
	}
	var des []declaration
	for _, file := range files {
		if de, ok := readFile(file, &li); ok {
			des = append(des, de)
		}
	}
	checkDeclarations(des, &li)
	return profilesOf(des), sortedErr(&li)
}

// escapeGlob returns a pattern that matches dir alone.
func escapeGlob(dir string) string {
	return strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`, `[`, `\[`).Replace(dir)
}

// Check checks each profile and all together. The error is a *finding.Error that
// holds all findings.
func Check(profiles []Profile) error {
	var li finding.List
	des := make([]declaration, len(profiles))
	for i, pr := range profiles {
		des[i] = reader{strict: true}.parse(pr.name, pr.name+fileSuffix, pr.source, &li)
	}
	checkDeclarations(des, &li)
	return sortedErr(&li)
}

// sortedErr returns the sorted findings as an error, or nil.
func sortedErr(li *finding.List) error {
	sortFindings(li.All())
	return li.Err()
}

// sortFindings sorts by file, line and key.
func sortFindings(findings []finding.Finding) {
	slices.SortStableFunc(findings, func(a, b finding.Finding) int {
		return cmp.Or(
			cmp.Compare(a.File(), b.File()),
			cmp.Compare(a.Line(), b.Line()),
			cmp.Compare(a.Key(), b.Key()),
		)
	})
}

func profilesOf(des []declaration) []Profile {
	profiles := make([]Profile, len(des))
	for i, de := range des {
		profiles[i] = de.profile
	}
	return profiles
}

// readFile reads one declaration. It returns false if the file can't be read.
func readFile(file string, li *finding.List) (declaration, bool) {
	info, err := os.Stat(file)
	if err != nil {
		li.Add(file, 0, "", "%v", err)
		return declaration{}, false
	}
	if info.Size() > keyvalue.MaxValueSize {
		li.Add(file, 0, "", "%d bytes: more than the %d that all profiles may take together",
			info.Size(), keyvalue.MaxValueSize)
		return declaration{}, false
	}
	source, err := os.ReadFile(file)
	if err != nil {
		li.Add(file, 0, "", "%v", err)
		return declaration{}, false
	}
	name := strings.TrimSuffix(filepath.Base(file), fileSuffix)
	return reader{strict: true}.parse(name, file, string(source), li), true
}

// A reader reads declarations. If it is not strict, it ignores unknown keys and
// skips checks, so that a process can read documents written by a newer version
// during an upgrade.
type reader struct {
	strict bool
}

// parse reads one declaration. Keys that can't be read keep their zero value.
func (rd reader) parse(name, file, source string, li *finding.List) declaration {
	de := declaration{file: file, lines: lineIndex{}, profile: Profile{name: name, source: source}}
	if err := checkName(name); err != nil {
		li.Add(file, 0, "", "profile name: %v", err)
	}
	var table map[string]any
	if err := toml.Unmarshal([]byte(source), &table); err != nil {
		line := 1
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			line, _ = syntax.Position()
		}
		li.Add(file, line, "", "%s", strings.TrimPrefix(err.Error(), "toml: "))
		return de
	}
	de.lines = indexLines([]byte(source))
	readKeys(&de, table, li)
	if rd.strict {
		for key := range table {
			checkKnown(de, key, li)
		}
		checkDeclaration(de, li)
	}
	return de
}

// readKeys sets the profile's fields from a decoded file.
func readKeys(de *declaration, table map[string]any, li *finding.List) {
	kind := readKind(table)
	for _, ke := range Keys() {
		raw, given := table[ke.name]
		switch {
		case !ke.Has(kind) && ke.name != kindKey:
			continue
		case given:
		case ke.Required():
			li.Add(de.file, 1, ke.name, "missing: want %s", ke.Type())
			continue
		default:
			raw = ke.fallback
		}
		if err := ke.value.set(&de.profile, raw); err != nil {
			de.add(li, ke.name, "%v", err)
		}
	}
}

// readKind returns the kind of a decoded file, or "" if it has no valid one.
func readKind(table map[string]any) Kind {
	text, _ := table[kindKey].(string)
	if ki := Kind(text); slices.Contains(allKinds, ki) {
		return ki
	}
	return ""
}

// checkKnown reports a key that does not exist, or not for this kind.
func checkKnown(de declaration, key string, li *finding.List) {
	kind := de.profile.kind
	var others []string
	for _, ke := range Keys() {
		if ke.name != key {
			continue
		}
		if kind == "" || ke.Has(kind) {
			return
		}
		for _, ki := range ke.kinds {
			others = append(others, string(ki))
		}
	}
	if len(others) == 0 {
		de.add(li, key, "unknown key")
		return
	}
	de.add(li, key, "no key of kind %q, only of %s", kind, strings.Join(others, ", "))
}
