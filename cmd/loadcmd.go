package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/overview"
	"wisteriacroft/peer"
	"wisteriacroft/step"
)

// Errors of the load command.
var (
	errBadRows     = errors.New("--rows must be between 1 and 1500")
	errNoScheduler = errors.New("no process runs the steps")
)

// A LoadCmd shows waiting steps, the customers' shares and the engines' state.
type LoadCmd struct {
	StoreFlags
	Output string `default:"table" enum:"table,json" help:"Form of the output: table or json."`
	Rows   int    `default:"100" help:"Rows of each table at most, the most troubled first."`
}

// Run requests the overview from the active scheduler and prints it.
func (lc *LoadCmd) Run(ctx context.Context, out Output) error {
	if lc.Rows < 1 || lc.Rows > overview.MaxRows {
		return NewExitError(ExitBadInput, errors.Wrapf(errBadRows, "%d", lc.Rows))
	}
	ctx, cancel := context.WithTimeout(ctx, lc.Timeout)
	defer cancel()
	ov, err := callScheduler[step.OverviewRequest, overview.Overview](ctx, lc.client(), step.OverviewMethod, step.OverviewRequest{Rows: lc.Rows})
	if err != nil {
		return err
	}
	pr := printer{out: out.Stdout}
	if lc.Output == outputJSON {
		pr.json(ov)
	} else {
		pr.load(ov)
	}
	return pr.err
}

// callScheduler calls a method of the process that holds the scheduler's lease.
func callScheduler[Req, Resp any](ctx context.Context, cl *keyvalue.Client, method string, rq Req) (Resp, error) {
	var resp Resp
	rec, err := lease.Current(ctx, cl, step.LeaseName)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return resp, NewExitError(ExitUnavailable, errNoScheduler)
	}
	if err != nil {
		return resp, err
	}
	po := &peer.Pool{Codes: codes()}
	defer po.Close()
	resp, err = peer.Call[Req, Resp](ctx, po, rec.Owner, method, rq)
	if errors.Is(err, peer.ErrUnknownMethod) {
		return resp, err
	}
	if err != nil {
		return resp, NewExitError(ExitUnavailable, errors.Wrapf(err, "scheduler at %s", rec.Owner))
	}
	return resp, nil
}

// load prints an overview as tables.
func (pr *printer) load(ov overview.Overview) {
	pr.printf("scheduler of epoch %d at %s, service heard %s ago\n\n", ov.Epoch, timeOrNone(ov.At), seconds(ov.StoreHeard))
	if len(ov.Steps) == 0 {
		pr.printf("no step is open\n")
	} else {
		pr.loadSteps(ov)
	}
	if len(ov.Customers) > 0 {
		pr.printf("\n")
		pr.loadCustomers(ov)
	}
	pr.printf("\n")
	if len(ov.Engines) == 0 {
		pr.printf("no engine is known\n")
	} else {
		pr.loadEngines(ov)
	}
	if len(ov.Holds) > 0 {
		pr.printf("\n")
		pr.holds(ov.Holds)
	}
}

func (pr *printer) loadSteps(ov overview.Overview) {
	pr.table("STEP\tCUSTOMER\tMODEL\tAGE\tDUE\tEND\tLATE\tGROUPS\tWAIT\tRUN\tSCORE\tWHOLE\tLOST\tLISTED\tREASON", func(tw io.Writer) {
		for _, st := range ov.Steps {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d/%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", // writes to a buffer
				st.ID, orNone(st.Customer), st.Model, seconds(st.Age), seconds(st.Due), choose(st.End > 0, seconds(st.End), none),
				choose(st.Late, "late", none), st.Whole, st.Wanted, st.Items.Waiting, st.Items.Running, st.Items.Scoring,
				st.Items.Whole, st.Items.Lost, st.Items.Listed, reasonCell(st))
		}
	})
	pr.omitted("steps", ov.Omitted.Steps)
}

// reasonCell returns why a step waits or is late, the engine that causes it, and whether
// an operator holds the step.
func reasonCell(st overview.Step) string {
	cell := string(st.Reason)
	if st.Via != "" {
		cell += " at " + st.Via
	}
	if st.Held && st.Reason != overview.HeldByOperator {
		cell = strings.TrimPrefix(cell+", held", ", ")
	}
	return orNone(cell)
}

func (pr *printer) loadCustomers(ov overview.Overview) {
	pr.table("CUSTOMER\tPART\tHAD\tAHEAD\tRUN\tMEMORY\tWAIT\tSTEPS\tLATE\tOLDEST\tWAITS-FOR\tSTATE", func(tw io.Writer) {
		for _, cu := range ov.Customers {
			_, _ = fmt.Fprintf(tw, "%s\t%.0f%%\t%.0f%%\t%.1fs\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", // writes to a buffer
				orNone(cu.Name), percent*cu.Part, percent*cu.Had, cu.Ahead, cu.Items.Running, cu.Tokens, cu.Items.Waiting, cu.Steps, cu.Late,
				choose(cu.Oldest.Step != "", cu.Oldest.Step+" "+seconds(cu.Oldest.Age), none),
				orNone(string(cu.Oldest.Reason)), choose(cu.Held, "held", none))
		}
	})
	pr.omitted("customers", ov.Omitted.Customers)
}

// percent converts a fraction to per cent.
const percent = 100

func (pr *printer) loadEngines(ov overview.Overview) {
	pr.table("ENGINE\tADDRESS\tSERVICE\tSTATE\tRUNS\tOTHERS\tPLACES\tMEMORY\tPACE\tMEDIAN\tHEARD", func(tw io.Writer) {
		for _, en := range ov.Engines {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d/%d\t%s\t%s\t%s\n", // writes to a buffer
				en.ID, en.Address, en.Service, en.State, en.Runs, en.Others, en.Places, en.Tokens, en.Memory,
				paceOrNone(en.Pace), paceOrNone(en.Median), choose(en.Heard < 0, "never", seconds(en.Heard)))
		}
	})
	pr.omitted("engines", ov.Omitted.Engines)
}

// omitted prints the number of rows that a table omits.
func (pr *printer) omitted(what string, count int) {
	if count > 0 {
		pr.printf("and %d other %s: see --rows\n", count, what)
	}
}

func seconds(du time.Duration) string { return fmt.Sprintf("%.1fs", du.Seconds()) }

func paceOrNone(pace time.Duration) string {
	return choose(pace > 0, pace.Round(time.Millisecond).String(), none)
}
