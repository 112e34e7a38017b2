package cmd

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

const referenceHead = `# Commands

Every command takes ` + "`--help`" + `. Results go to standard output; log lines, findings and errors go to
standard error. SIGINT and SIGTERM end ` + "`entry`, `attendant` and `stand-in`" + ` gracefully.

This page is generated from the commands, and a test compares them:
` + "`go test ./cmd -run TestReference -update`" + ` updates it.

## Exit codes

| code | meaning |
|---|---|
`

// Reference returns the reference of all commands, flags and exit codes for operators, in
// Markdown.
func Reference() (string, error) {
	ko, err := (&parser{}).newKong()
	if err != nil {
		return "", err
	}
	var sb strings.Builder
	sb.WriteString(referenceHead)
	for code, meaning := range exitMeanings {
		fmt.Fprintf(&sb, "| %d | %s |\n", code, meaning)
	}
	for _, no := range ko.Model.Leaves(false) {
		writeCommand(&sb, no)
	}
	return sb.String(), nil
}

// writeCommand writes the section of one command.
func writeCommand(sb *strings.Builder, no *kong.Node) {
	path := strings.TrimPrefix(no.FullPath(), programName+" ")
	fmt.Fprintf(sb, "\n## %s\n\n%s\n", path, no.Help)
	if len(no.Positional) == 0 && len(no.Flags) == 0 {
		return
	}
	sb.WriteString("\n| argument or flag | default | environment | meaning |\n|---|---|---|---|\n")
	for _, va := range no.Positional {
		fmt.Fprintf(sb, "| `%s` | %s | | %s |\n", va.Summary(), shownDefault(va), va.Help)
	}
	for _, fl := range no.Flags {
		name := "--" + fl.Name
		if fl.Short != 0 {
			name = fmt.Sprintf("-%c, %s", fl.Short, name)
		}
		fmt.Fprintf(sb, "| `%s` | %s | %s | %s |\n", name, shownDefault(fl.Value), strings.Join(fl.Envs, " "), fl.Help)
	}
}

// shownDefault returns the default of an argument or flag as shown in the reference.
func shownDefault(va *kong.Value) string {
	switch {
	case va.Required:
		return "required"
	case va.HasDefault:
		return "`" + va.Default + "`"
	default:
		return ""
	}
}
