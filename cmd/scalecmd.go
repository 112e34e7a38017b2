package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"wisteriacroft/peer"
	"wisteriacroft/scale"
)

// A ScaleCmd shows the last scaling orders and the number of endpoints that the current
// load requires. It sends no orders.
type ScaleCmd struct {
	StoreFlags
	Output string `default:"table" enum:"table,json" help:"Form of the output: table or json."`
}

// Run requests the overview from the process that sends scaling orders and prints it.
func (sc *ScaleCmd) Run(ctx context.Context, out Output) error {
	ctx, cancel := context.WithTimeout(ctx, sc.Timeout)
	defer cancel()
	ov, err := callScheduler[scale.OverviewRequest, scale.Overview](ctx, sc.client(), scale.OverviewMethod, scale.OverviewRequest{})
	if errors.Is(err, peer.ErrUnknownMethod) {
		ov, err = scale.Overview{Lines: []scale.OverviewRow{}}, nil // its settings name no receiver of orders
	}
	if err != nil {
		return err
	}
	pr := printer{out: out.Stdout}
	if sc.Output == outputJSON {
		pr.json(ov)
	} else {
		pr.scale(ov)
	}
	return pr.err
}

// scale prints the orders as a table, with the difference in the last column.
func (pr *printer) scale(ov scale.Overview) {
	if len(ov.Lines) == 0 {
		pr.printf("no endpoints may be ordered: no service has bounds, or the settings name no one who takes orders\n")
		return
	}
	pr.table("SERVICE\tFAILURE-DOMAIN\tBOUNDS\tSERVING\tORDERED\tTAKEN\tSTATE\tWANTED\tDIFFERENCE", func(tw io.Writer) {
		for _, li := range ov.Lines {
			from := li.Current()
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%d-%d\t%d\t%s\t%s\t%s\t%d\t%s\n", // writes to a buffer
				li.Service, li.Domain, li.Min, li.Max, li.Serving, choose(li.Ordered < 0, none, fmt.Sprint(li.Ordered)),
				choose(li.Ordered < 0, none, choose(li.Taken, "yes", "no")), choose(li.Held, "held", choose(li.Unknown, "unknown", none)), li.Wanted,
				choose(li.Wanted == from, none, fmt.Sprintf("%+d", li.Wanted-from)))
		}
	})
}
