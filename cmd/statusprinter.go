package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"wisteriacroft/message"
)

// outputJSON is the value of --output for JSON; the alternative is a table.
const outputJSON = "json"

// none is the table cell for a missing value.
const none = "-"

// json prints a value as an indented JSON document.
func (pr *printer) json(value any) {
	if pr.err != nil {
		return
	}
	en := json.NewEncoder(pr.out)
	en.SetIndent("", "  ")
	pr.err = en.Encode(value)
}

// status prints a report as tables, without the empty ones.
func (pr *printer) status(re StatusReport) {
	if len(re.Processes) == 0 {
		pr.printf("no process is listed\n")
		return
	}
	pr.table("PROCESS\tROLE\tFAILURE-DOMAIN\tADDRESS\tREVISION\tSOURCE\tCUT-OFF-SINCE\tINCARNATION\tSTATE", func(tw io.Writer) {
		for _, pr := range re.Processes {
			writeProcess(tw, pr)
		}
	})
	rows(pr, re, "ENDPOINT\tSERVICE\tVERSION\tRUNNING\tWAITING\tSTATE", endpointsOf, writeEndpoint)
	rows(pr, re, "LEASE\tEPOCH\tEXPIRES", leasesOf, writeLease)
	rows(pr, re, "TRAINER\tSTEP\tVERSION\tDELIVERED\tMISSING\tEPOCH", trainersOf, writeTrainer)
	rows(pr, re, "BATCH\tTRAINER\tSTEP\tSAMPLES\tWANTED\tSTATE", batchesOf, writeBatch)
	for _, process := range re.Processes {
		if process.Error != "" {
			pr.printf("\n%s is unreachable: %s\n", process.Address, process.Error)
		}
	}
}

// rows prints a table with a row for each item of each process, and the process in the
// first column.
func rows[Item any](
	pr *printer, re StatusReport, head string,
	items func(message.Status) []Item, write func(io.Writer, Item),
) {
	count := 0
	for _, process := range re.Processes {
		if process.Status != nil {
			count += len(items(*process.Status))
		}
	}
	if count == 0 {
		return
	}
	pr.printf("\n")
	pr.table("PROCESS\t"+head, func(tw io.Writer) {
		for _, process := range re.Processes {
			if process.Status == nil {
				continue
			}
			for _, item := range items(*process.Status) {
				_, _ = fmt.Fprintf(tw, "%s\t", process.Instance)
				write(tw, item)
			}
		}
	})
}

func endpointsOf(st message.Status) []message.EndpointStatus { return st.Endpoints }

func leasesOf(st message.Status) []message.LeaseStatus { return st.Leases }

func trainersOf(st message.Status) []message.TrainerStatus { return st.Trainers }

func batchesOf(st message.Status) []message.BatchStatus { return st.Batches }

// writeProcess writes the row of a process, which may be unreachable.
func writeProcess(tw io.Writer, re ProcessReport) {
	if re.Status == nil {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\tunreachable\n",
			orNone(re.Instance), orNone(re.Role), orNone(re.FailureDomain), re.Address, none, none, none, none)
		return
	}
	st := re.Status
	_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n",
		st.Instance, st.Role, st.FailureDomain, re.Address, st.Revision, orNone(string(st.RevisionSource)),
		timeOrNone(st.CutOffSince), st.Incarnation, choose(st.Leaving, "leaving", "live"))
}

func writeEndpoint(tw io.Writer, en message.EndpointStatus) {
	state := choose(en.Serving, "serving", "not-serving")
	if en.Leaving {
		state = "leaving"
	}
	_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%s\n",
		en.Name, en.Service, versionOrNone(uint64(en.Version)), en.Running, en.Waiting, state)
}

func writeLease(tw io.Writer, le message.LeaseStatus) {
	_, _ = fmt.Fprintf(tw, "%s\t%d\t%s\n", le.Name, le.Epoch, timeOrNone(le.ExpiresAt))
}

func writeTrainer(tw io.Writer, tr message.TrainerStatus) {
	_, _ = fmt.Fprintf(tw, "%s\t%d\t%s\t%d\t%d\t%d\n",
		tr.Name, tr.Step, versionOrNone(uint64(tr.Version)), tr.Delivered, tr.Missing, tr.Epoch)
}

func writeBatch(tw io.Writer, ba message.BatchStatus) {
	state := string(ba.State)
	if ba.State == message.BatchSealed && !ba.Published {
		state = "sealed, not published"
	}
	_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%s\n", ba.ID, ba.Trainer, ba.Step, ba.Samples, ba.Wanted, state)
}

// choose returns yes if condition is true, or else no.
func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// orNone returns text, or none for an empty one.
func orNone(text string) string { return choose(text != "", text, none) }

func timeOrNone(at time.Time) string {
	return choose(!at.IsZero(), at.UTC().Format(time.RFC3339), none)
}

func versionOrNone(version uint64) string {
	return choose(version > 0, fmt.Sprint(version), none)
}
