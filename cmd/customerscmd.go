package cmd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/access"
	"wisteriacroft/directory"
	"wisteriacroft/forward"
	"wisteriacroft/platform"
)

// A CustomersCmd shows customers.
type CustomersCmd struct {
	List CustomersListCmd `cmd:"" help:"List the customers of the configuration in force: how many keys each holds, and what it asked for."`
}

// A CustomersListCmd lists customers, never their keys.
type CustomersListCmd struct {
	Metrics []string      `help:"Metrics addresses of entries, to add up what customers asked for." placeholder:"IP:PORT"`
	Output  string        `default:"table" enum:"table,json" help:"Form of the output: table or json."`
	Store   string        `help:"Address of the key-value service of the users' platform." placeholder:"IP:PORT" required:""`
	Timeout time.Duration `default:"5s" help:"How long to wait for each answer."`
}

// A customerLine is a customer's row in the output.
type customerLine struct {
	Customer string `json:"customer"`
	Keys     int    `json:"keys"`
	Priority string `json:"priority"` // "": the routes' priorities apply
	Refusals uint64 `json:"refusals"` // rejected requests
	Requests uint64 `json:"requests"`
}

// Run prints the customers, sorted by name.
func (cc *CustomersListCmd) Run(ctx context.Context, env *ProfileEnv) error {
	co, err := cc.configuration(ctx)
	if err != nil {
		return err
	}
	counts := map[string]uint64{}
	for _, address := range cc.Metrics {
		if err := cc.addCounts(ctx, address, counts); err != nil {
			return errors.Wrapf(err, "metrics of %s", address)
		}
	}
	lines := customerLines(co, counts)
	pr := printer{out: env.Stdout}
	if cc.Output == outputJSON {
		pr.json(lines)
		return errors.Wrap(pr.err, "print")
	}
	if len(lines) == 0 {
		pr.printf("no customer holds keys, and callers need none\n")
		return pr.err
	}
	pr.table("CUSTOMER\tKEYS\tPRIORITY\tREQUESTS\tREFUSALS", func(tw io.Writer) {
		for _, cl := range lines {
			_, _ = fmt.Fprintf(tw, "%s\t%d\t%s\t%d\t%d\n", cl.Customer, cl.Keys, cl.Priority, cl.Requests, cl.Refusals) // writes to a buffer
		}
	})
	return pr.err
}

// configuration reads the configuration in force.
func (cc *CustomersListCmd) configuration(ctx context.Context) (*directory.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, cc.Timeout)
	defer cancel()
	return configuration(ctx, platform.NewStore(cc.Store, forward.NewHTTPClient()))
}

// addCounts adds the counts in an entry's metrics by customer.
func (cc *CustomersListCmd) addCounts(ctx context.Context, address string, counts map[string]uint64) error {
	ctx, cancel := context.WithTimeout(ctx, cc.Timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metricsPath, nil)
	if err != nil {
		return err
	}
	re, err := http.DefaultClient.Do(rq)
	if err != nil {
		return err
	}
	defer func() { _ = re.Body.Close() }()
	if re.StatusCode != http.StatusOK {
		return errors.Newf("status %d", re.StatusCode)
	}
	sc := bufio.NewScanner(re.Body)
	for sc.Scan() {
		name, value, ok := strings.Cut(sc.Text(), "} ")
		if !ok || !strings.HasPrefix(name, access.RequestsMetric) && !strings.HasPrefix(name, access.RefusalsMetric) {
			continue
		}
		count, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return errors.Wrapf(err, "%s", name)
		}
		counts[name+"}"] += count
	}
	return sc.Err()
}

// customerLines returns the rows of the customers, sorted by name.
func customerLines(co *directory.Configuration, counts map[string]uint64) []customerLine {
	lines := []customerLine{}
	for _, cu := range co.Customers {
		cl := customerLine{
			Customer: cu.Name, Keys: len(cu.Keys),
			Refusals: counts[fmt.Sprintf("%s{customer=%q}", access.RefusalsMetric, cu.Name)],
			Requests: counts[fmt.Sprintf("%s{customer=%q}", access.RequestsMetric, cu.Name)],
		}
		if cu.Ranked {
			cl.Priority = strconv.Itoa(cu.Priority)
		}
		lines = append(lines, cl)
	}
	slices.SortFunc(lines, func(a, b customerLine) int { return strings.Compare(a.Customer, b.Customer) })
	return lines
}
