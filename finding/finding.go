// Package finding collects the errors in an input, each with its file, line and key, to
// report them together.
package finding

import (
	"fmt"
	"strings"
)

// A Finding is one error in an input, with its location.
type Finding struct {
	file    string
	key     string
	line    int
	message string
}

// File returns the file's name, or "".
func (fi Finding) File() string { return fi.file }

// Key returns the dotted key, or "".
func (fi Finding) Key() string { return fi.key }

// Line returns the line, counted from 1, or 0 if it is unknown.
func (fi Finding) Line() int { return fi.line }

// Message returns the description of the error, without its location.
func (fi Finding) Message() string { return fi.message }

// String formats the finding as file:line: key: message.
func (fi Finding) String() string {
	var sb strings.Builder
	if fi.file != "" {
		sb.WriteString(fi.file)
		if fi.line > 0 {
			fmt.Fprintf(&sb, ":%d", fi.line)
		}
		sb.WriteString(": ")
	}
	if fi.key != "" {
		sb.WriteString(fi.key)
		sb.WriteString(": ")
	}
	sb.WriteString(fi.message)
	return sb.String()
}

// A List collects findings. The zero List is empty and ready to use.
type List struct {
	findings []Finding
}

// Add appends a finding. A line of 0 means that the line is unknown.
func (li *List) Add(file string, line int, key, format string, args ...any) {
	li.findings = append(li.findings, Finding{
		file:    file,
		key:     key,
		line:    line,
		message: fmt.Sprintf(format, args...),
	})
}

// All returns the findings in the order of Add.
func (li *List) All() []Finding { return li.findings }

// Err returns nil for an empty list and otherwise an *Error with all findings.
func (li *List) Err() error {
	if len(li.findings) == 0 {
		return nil
	}
	return &Error{findings: li.findings}
}

// An Error holds findings. Its message has one line for each.
type Error struct {
	findings []Finding
}

// Findings returns the findings of the error.
func (er *Error) Findings() []Finding { return er.findings }

// Error implements error.
func (er *Error) Error() string {
	lines := make([]string, len(er.findings))
	for i, fi := range er.findings {
		lines[i] = fi.String()
	}
	return strings.Join(lines, "\n")
}
