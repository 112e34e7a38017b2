package settings

import (
	"fmt"
	"strings"
)

const referenceHead = `# Settings

A process reads one TOML file: ` + "`wisteriacroft entry --settings FILE`" + ` or
` + "`wisteriacroft attendant --settings FILE`" + `. With ` + "`--check`" + ` it reports every finding with file,
line and key, and exits without starting. Unknown keys are findings. A duration carries its unit,
such as "250ms"; a bare number is a finding.

This page is generated from the table of keys in package settings, and a test compares them:
` + "`go test ./settings -update`" + ` updates it.
`

// Reference returns the reference of all keys for operators, in Markdown.
func Reference() string {
	var sb strings.Builder
	sb.WriteString(referenceHead)
	sb.WriteString("\n## Keys of both roles\n\n")
	writeTable(&sb, func(ke key) bool { return ke.role == "" })
	sb.WriteString("\n## Keys of an entry\n\n")
	writeTable(&sb, func(ke key) bool { return ke.role == EntryRole })
	sb.WriteString("\n## Keys of an attendant\n\n")
	sb.WriteString("Each `[[endpoint]]` table names one endpoint; one at least is required.\n\n")
	writeTable(&sb, func(ke key) bool { return ke.role == AttendantRole })
	return sb.String()
}

// writeTable writes a table of the keys that match.
func writeTable(sb *strings.Builder, match func(key) bool) {
	sb.WriteString("| key | type | default | unit | meaning |\n|---|---|---|---|---|\n")
	for _, ke := range keys {
		if match(ke) {
			fmt.Fprintf(sb, "| `%s` | %s | %s | %s | %s |\n",
				ke.name, ke.typ, ke.shownDefault(), ke.typ.unit(), ke.doc)
		}
	}
}

// shownDefault returns the default as shown in the reference.
func (ke key) shownDefault() string {
	switch {
	case ke.required:
		return "required"
	case ke.fallback == "":
		return "none"
	default:
		return "`" + ke.fallback + "`"
	}
}
