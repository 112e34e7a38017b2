package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rogpeppe/go-internal/diff"

	"wisteriacroft/profile"
)

// A printer prints for operators. After the first error, which it keeps, it prints
// nothing.
type printer struct {
	err error
	out io.Writer
}

// printf prints, unless an earlier write failed.
func (pr *printer) printf(format string, args ...any) {
	if pr.err == nil {
		_, pr.err = fmt.Fprintf(pr.out, format, args...)
	}
}

// differences prints diffs of profiles, from the text in force to the directory's.
func (pr *printer) differences(title string, differences []profile.Difference) {
	for _, di := range differences {
		pr.printf("%s%s: %s\n", sign(di.Current, di.Wanted), di.Name, title)
		pr.printf("%s", diff.Diff(
			"in-force/"+di.Name, []byte(di.Current), "directory/"+di.Name, []byte(di.Wanted)))
	}
}

// names prints the names of profiles, one per line.
func (pr *printer) names(title string, differences []profile.Difference) {
	for _, di := range differences {
		pr.printf("%s: %s\n", title, di.Name)
	}
}

// document prints a row for each profile.
func (pr *printer) document(do profile.Document) {
	pr.printf("revision %d\n", do.Revision())
	pr.table("NAME\tKIND\tSERVICE\tCLASS", func(tw io.Writer) {
		for _, p := range do.Profiles() {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", p.Name(), p.Kind(), p.Service(), p.Class())
		}
	})
}

// table prints aligned columns. The rows are written to a buffer, so that writes can't fail.
func (pr *printer) table(head string, rows func(tw io.Writer)) {
	var sb strings.Builder
	tw := tabwriter.NewWriter(&sb, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, head)
	rows(tw)
	_ = tw.Flush()
	for line := range strings.Lines(sb.String()) {
		pr.printf("%s\n", strings.TrimRight(line, " \n"))
	}
}

// profile prints all keys of a profile and marks defaults.
func (pr *printer) profile(p profile.Profile) {
	for _, ke := range profile.KeysOf(p.Kind()) {
		shown := ke.Show(p)
		mark := ""
		if shown == ke.Default() {
			mark = " # default"
		}
		pr.printf("%s = %s%s\n", ke.Name(), shown, mark)
	}
}

// historyTable prints the changes as a table.
func (pr *printer) historyTable(do profile.Document) {
	pr.table("REVISION\tAT\tBY\tCHANGE\tPROFILES\tMESSAGE", func(tw io.Writer) {
		for _, row := range historyRows(do) {
			_, _ = fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%s\t%s\n",
				row.Revision, row.At, row.By, row.ChangeID, row.Profiles, row.Message)
		}
	})
}

// historyJSON prints the changes as lines of JSON.
func (pr *printer) historyJSON(do profile.Document) {
	en := json.NewEncoder(pr.out)
	for _, row := range historyRows(do) {
		if pr.err == nil {
			pr.err = en.Encode(row)
		}
	}
}

// A historyRow is one change in the output of history.
type historyRow struct {
	At       string `json:"at"`
	By       string `json:"by"`
	ChangeID string `json:"change-id"`
	Message  string `json:"message"`
	Profiles string `json:"profiles"` // marked + added, ~ altered, - removed
	Revision uint64 `json:"revision"`
}

// historyRows returns the changes, newest first.
func historyRows(do profile.Document) []historyRow {
	changes := do.Changes()
	rows := make([]historyRow, 0, len(changes))
	for i := len(changes) - 1; i >= 0; i-- {
		ch := changes[i]
		rows = append(rows, historyRow{
			At:       ch.At().Format(time.RFC3339),
			By:       ch.By(),
			ChangeID: ch.ID(),
			Message:  ch.Message(),
			Profiles: changedNames(ch),
			Revision: ch.Revision(),
		})
	}
	return rows
}
