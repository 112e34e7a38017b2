package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"wisteriacroft/finding"
	"wisteriacroft/forward"
	"wisteriacroft/hold"
	"wisteriacroft/keyvalue"
	"wisteriacroft/platform"
)

// StoreFlags are the flags for the key-value service of the users' platform.
type StoreFlags struct {
	Store   string        `env:"WISTERIACROFT_STORE" help:"Address of the key-value service of the users' platform." placeholder:"IP:PORT" required:""`
	Timeout time.Duration `default:"5s" help:"How long to wait for the answer."`
}

// client returns a client of the key-value service.
func (sf StoreFlags) client() *keyvalue.Client {
	return platform.NewStore(sf.Store, forward.NewHTTPClient())
}

// HoldFlags are the flags of hold and release.
type HoldFlags struct {
	StoreFlags
	Kind    string `arg:"" enum:"customer,endpoint,service,step" help:"customer, endpoint, service or step."`
	Name    string `arg:"" help:"Name of the customer or service, ID of the step, or ID or address of the endpoint."`
	By      string `default:"unknown" env:"USER" help:"Who makes the change, for the history."`
	DryRun  bool   `help:"Say what would change, and change nothing."`
	Message string `help:"Reason of the change, for the history." placeholder:"WHY" required:"" short:"m"`
}

// change returns the change that the flags describe.
func (hf HoldFlags) change(ac hold.Action) hold.Change {
	return hold.Change{Action: ac, ID: uuid.NewString(), Record: hold.Record{
		At: time.Now().UTC().Truncate(time.Second), By: hf.By,
		Target: hold.Target{Kind: hold.Kind(hf.Kind), Name: hf.Name}, Why: strings.TrimSpace(hf.Message),
	}}
}

// run applies and prints a change; with DryRun it only prints it.
func (hf HoldFlags) run(ctx context.Context, ac hold.Action, out io.Writer) error {
	st := &hold.Store{Client: hf.client()}
	ch := hf.change(ac)
	se, err := st.Read(ctx)
	if err != nil {
		return err
	}
	_, changed, err := se.Apply(ch)
	if err != nil {
		return NewExitError(ExitBadInput, errors.Wrapf(err, "%s", ch.Target))
	}
	if changed && !hf.DryRun {
		if changed, err = st.Change(ctx, ch); err != nil {
			return err
		}
	}
	pr := printer{out: out}
	pr.holdChange(hf, se, ch, changed)
	return pr.err
}

// holdChange prints the effect of a change and the command that undoes it.
func (pr *printer) holdChange(hf HoldFlags, before *hold.Set, ch hold.Change, changed bool) {
	if !changed {
		pr.printf("%s is %s: nothing to change\n", ch.Target, choose(ch.Action == hold.Held, "held already", "not held"))
		return
	}
	if hf.DryRun {
		pr.printf("would change, and does not:\n")
	}
	undo := "release"
	switch re, was := before.Find(ch.Target); {
	case ch.Action == hold.Held:
		pr.printf("+ %s (by %s: %s)\n", ch.Target, ch.By, ch.Why)
	case was:
		undo = "hold"
		pr.printf("- %s (by %s: %s)\n", re.Target, re.By, re.Why)
	}
	pr.printf("undo: %s %s %s %s --store %s -m WHY\n", programName, undo, ch.Kind, shellWord(ch.Name), hf.Store)
}

// shellWord quotes a word for a shell if necessary.
func shellWord(word string) string {
	if !strings.ContainsFunc(word, func(ru rune) bool { return !strings.ContainsRune(shellSafe, ru) }) {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}

// shellSafe are the characters without a special meaning in a shell.
const shellSafe = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/%+@"

// A HoldCmd holds new work.
type HoldCmd struct{ HoldFlags }

// Run holds the target. It is idempotent.
func (hc *HoldCmd) Run(ctx context.Context, out Output) error {
	ctx, cancel := context.WithTimeout(ctx, hc.Timeout)
	defer cancel()
	if err := hc.check(ctx); err != nil {
		return err
	}
	return hc.run(ctx, hold.Held, out.Stdout)
}

// check checks that the target exists: otherwise a mistyped name would hold nothing
// without an error.
func (hc *HoldCmd) check(ctx context.Context) error {
	ta := hold.Target{Kind: hold.Kind(hc.Kind), Name: hc.Name}
	var missing string
	var err error
	switch ta.Kind {
	case hold.Customer:
		missing, err = missingCustomer(ctx, hc.client(), ta.Name)
	case hold.Endpoint:
		missing, err = missingEndpoint(ctx, hc.client(), ta.Name)
	case hold.Service:
		missing, err = missingService(ctx, hc.client(), ta.Name)
	case hold.Step:
		missing, err = missingStep(ctx, hc.client(), ta.Name)
	}
	if err != nil {
		return err
	}
	var li finding.List
	if missing != "" {
		li.Add("", 0, ta.String(), "%s", missing)
	}
	if strings.TrimSpace(hc.Message) == "" {
		li.Add("", 0, "--message", "is empty")
	}
	return li.Err()
}

// A ReleaseCmd releases held work.
type ReleaseCmd struct{ HoldFlags }

// Run releases the target, which need not exist any more. It is idempotent.
func (rc *ReleaseCmd) Run(ctx context.Context, out Output) error {
	ctx, cancel := context.WithTimeout(ctx, rc.Timeout)
	defer cancel()
	return rc.run(ctx, hold.Released, out.Stdout)
}

// A HoldsCmd lists holds.
type HoldsCmd struct {
	StoreFlags
	History bool   `help:"List the changes instead, the oldest first."`
	Output  string `default:"table" enum:"table,json" help:"Form of the output: table or json."`
}

// Run prints the holds, or the history of changes.
func (hc *HoldsCmd) Run(ctx context.Context, out Output) error {
	ctx, cancel := context.WithTimeout(ctx, hc.Timeout)
	defer cancel()
	se, err := (&hold.Store{Client: hc.client()}).Read(ctx)
	if err != nil {
		return err
	}
	pr := printer{out: out.Stdout}
	switch {
	case hc.Output == outputJSON && hc.History:
		pr.json(se.Changes())
	case hc.Output == outputJSON:
		pr.json(se.Records())
	case hc.History:
		pr.holdHistory(se.Changes())
	default:
		pr.holds(se.Records())
	}
	return pr.err
}

// holds prints the holds as a table.
func (pr *printer) holds(res []hold.Record) {
	if len(res) == 0 {
		pr.printf("nothing is held\n")
		return
	}
	pr.table("KIND\tNAME\tSINCE\tBY\tWHY", func(tw io.Writer) {
		for _, re := range res {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", re.Kind, re.Name, timeOrNone(re.At), re.By, re.Why) // writes to a buffer
		}
	})
}

// holdHistory prints the changes as a table.
func (pr *printer) holdHistory(chs []hold.Change) {
	if len(chs) == 0 {
		pr.printf("nothing was ever held\n")
		return
	}
	pr.table("AT\tACTION\tKIND\tNAME\tBY\tWHY", func(tw io.Writer) {
		for _, ch := range chs {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\n", timeOrNone(ch.At), ch.Action, ch.Kind, ch.Name, ch.By, ch.Why) // writes to a buffer
		}
	})
}
