package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/finding"
	"wisteriacroft/keyvalue"
	"wisteriacroft/profile"
)

// profileTimeout bounds a profile command as a whole.
const profileTimeout = 30 * time.Second

// Exit codes of the profile commands. The default for an error is exitBadInput.
const (
	exitFailure     = int(ExitFailure)     // diff: a difference; apply: in force, but the base file was not written
	exitBadInput    = int(ExitBadInput)    // findings; nothing was written
	exitUnavailable = int(ExitUnavailable) // the service is unavailable or behind; nothing was written
	exitConflict    = int(ExitConflict)    // another operator changed the same profile; nothing was written
	exitUnknown     = int(ExitUnknown)     // the change may or may not have taken effect
)

// errBaseNotWritten means that the profiles are in force but the base file was not written,
// so that the next apply lacks its merge base.
var errBaseNotWritten = errors.New("the profiles are in force, but the base file was not written")

// errDifferent is the error of diff for a difference.
var errDifferent = errors.New("the directory and the profiles in force differ")

// errNoProfile means that no profile with the name is in force.
var errNoProfile = errors.New("no such profile is in force")

// A ProfileCmd holds the commands to show and change profiles.
type ProfileCmd struct {
	Apply   ProfileApplyCmd   `cmd:"" help:"Put a directory's declarations in force."`
	Check   ProfileCheckCmd   `cmd:"" help:"Check a directory's declarations; needs no service."`
	Diff    ProfileDiffCmd    `cmd:"" help:"Compare a directory's declarations with what is in force."`
	History ProfileHistoryCmd `cmd:"" help:"List the recent changes."`
	Show    ProfileShowCmd    `cmd:"" help:"Show what is in force, defaults included."`
}

// A ProfileEnv holds the dependencies of the profile commands.
type ProfileEnv struct {
	// OpenFunc returns a client of the key-value service at an address.
	OpenFunc func(address string) (*keyvalue.Client, error)
	Stdout   io.Writer
}

// A PlatformFlag is the flag for the key-value service.
type PlatformFlag struct {
	Platform string `env:"WISTERIACROFT_PLATFORM" help:"Address of the key-value service, such as http://10.0.0.5:7000." required:""`
}

// store returns the store at the flag's address.
func (pf PlatformFlag) store(env *ProfileEnv) (*profile.Store, error) {
	cl, err := env.OpenFunc(pf.Platform)
	if err != nil {
		return nil, errors.Wrapf(err, "platform %s", pf.Platform)
	}
	return &profile.Store{Client: cl}, nil
}

// read returns the document in force.
func (pf PlatformFlag) read(ctx context.Context, env *ProfileEnv) (profile.Document, error) {
	st, err := pf.store(env)
	if err != nil {
		return profile.Document{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, profileTimeout)
	defer cancel()
	vd, err := st.Read(ctx)
	return vd.Document, err
}

// ProfileExitCode returns the exit code for a profile command's error.
func ProfileExitCode(err error) int {
	var (
		conflict *profile.Conflict
		findings *finding.Error
		reverted *profile.Reverted
		unknown  *profile.OutcomeUnknownError
	)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errDifferent), errors.Is(err, errBaseNotWritten):
		return exitFailure
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &findings):
		return exitBadInput
	case errors.As(err, &reverted),
		errors.Is(err, keyvalue.ErrUnavailable),
		errors.Is(err, context.DeadlineExceeded):
		return exitUnavailable
	default:
		return exitBadInput
	}
}

// A ProfileCheckCmd checks declarations.
type ProfileCheckCmd struct {
	Dir string `arg:"" help:"Directory of the declarations." name:"dir"`
}

// Run checks the directory and reports all findings together.
func (pc *ProfileCheckCmd) Run(env *ProfileEnv) error {
	profiles, err := profile.ReadDir(pc.Dir)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.Stdout, "%d profiles, no findings\n", len(profiles))
	return err
}

// A ProfileDiffCmd compares declarations with the profiles in force.
type ProfileDiffCmd struct {
	PlatformFlag
	Base uint64 `help:"Revision that the directory was made from, in place of its base file."`
	Dir  string `arg:"" help:"Directory of the declarations." name:"dir"`
}

// Run prints the differences, grouped by the side that changed.
func (pd *ProfileDiffCmd) Run(ctx context.Context, env *ProfileEnv) error {
	wanted, err := profile.ReadDir(pd.Dir)
	if err != nil {
		return err
	}
	current, err := pd.read(ctx, env)
	if err != nil {
		return err
	}
	base, err := baseOf(pd.Dir, pd.Base, current)
	if err != nil {
		return err
	}
	co := profile.Compare(base, current, wanted)
	pr := printer{out: env.Stdout}
	pr.printf("revision %d is in force\n", current.Revision())
	pr.differences("to be applied", co.Wishes)
	pr.differences("changed by others, would be left alone", co.Kept)
	pr.differences("conflict", co.Conflicts)
	if pr.err == nil && !co.Same() {
		return errDifferent
	}
	return pr.err
}

// baseOf returns the base at a flag's revision, or else that of the directory's base file.
func baseOf(dir string, revision uint64, current profile.Document) (profile.Base, error) {
	if revision > 0 {
		return profile.BaseAt(current, revision)
	}
	return profile.ReadBase(dir)
}

// A ProfileApplyCmd puts declarations in force.
type ProfileApplyCmd struct {
	PlatformFlag
	AtLeast  uint64 `help:"Highest revision known to have been in force; a service below it is refused."`
	Base     uint64 `help:"Revision that the directory was made from, in place of its base file."`
	By       string `default:"unknown" env:"USER" help:"Who makes the change, for the history."`
	ChangeID string `help:"Unique id of the change; repeat it to settle a change of unknown outcome."`
	Dir      string `arg:"" help:"Directory of the declarations." name:"dir"`
	DryRun   bool   `help:"Say what would be done, and do nothing."`
	Message  string `help:"Reason of the change, for the history." short:"m"`
}

// Run merges the directory's declarations into the profiles in force.
func (pa *ProfileApplyCmd) Run(ctx context.Context, env *ProfileEnv) error {
	wanted, err := profile.ReadDir(pa.Dir)
	if err != nil {
		return err
	}
	st, err := pa.store(env)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, profileTimeout)
	defer cancel()
	base, err := pa.base(ctx, st)
	if err != nil {
		return err
	}
	res, err := st.Apply(ctx, profile.ApplyRequest{
		AtLeast:  pa.AtLeast,
		Base:     base,
		By:       pa.By,
		ChangeID: pa.ChangeID,
		DryRun:   pa.DryRun,
		Message:  pa.Message,
		Wanted:   wanted,
	})
	if err != nil {
		return pa.explain(env, err)
	}
	if err := pa.report(env, res); err != nil || pa.DryRun {
		return err
	}
	if err := base.Advance(res.Document, wanted).Write(pa.Dir); err != nil {
		return errors.Mark(errors.Wrap(err, errBaseNotWritten.Error()), errBaseNotWritten)
	}
	return nil
}

// base returns the base at the flag's revision, or else that of the directory's base file.
func (pa *ProfileApplyCmd) base(ctx context.Context, st *profile.Store) (profile.Base, error) {
	if pa.Base == 0 {
		return profile.ReadBase(pa.Dir)
	}
	vd, err := st.Read(ctx)
	if err != nil {
		return profile.Base{}, err
	}
	return profile.BaseAt(vd.Document, pa.Base)
}

// explain prints both sides of a conflict and adds a hint to its error.
func (pa *ProfileApplyCmd) explain(env *ProfileEnv, err error) error {
	var conflict *profile.Conflict
	if !errors.As(err, &conflict) {
		return err
	}
	pr := printer{out: env.Stdout}
	pr.differences("conflict", conflict.Differences())
	return errors.WithHint(err, fmt.Sprintf("compare, edit the directory, then apply with --base %d", conflict.Revision()))
}

// report prints what was changed, or with DryRun would be.
func (pa *ProfileApplyCmd) report(env *ProfileEnv, res profile.ApplyResult) error {
	pr := printer{out: env.Stdout}
	revision := res.Document.Revision()
	switch {
	case !res.Changed():
		pr.printf("revision %d is in force already: nothing to do\n", revision)
	case pa.DryRun:
		pr.printf("would change revision %d:\n", revision)
	case res.Settled:
		pr.printf("change %s had taken effect; revision %d is in force:\n", res.ChangeID, revision)
	default:
		pr.printf("revision %d is in force by change %s:\n", revision, res.ChangeID)
	}
	applied := "  applied"
	if pa.DryRun {
		applied = "  to be applied"
	}
	pr.names(applied, res.Wishes)
	pr.names("  changed by others, left alone", res.Kept)
	return pr.err
}

// A ProfileShowCmd shows the profiles in force.
type ProfileShowCmd struct {
	PlatformFlag
	Name   string `arg:"" help:"Profile to show; without it, a table of all." optional:""`
	Source bool   `help:"Show the declaration as it was applied, without defaults."`
}

// Run prints a table of profiles or one profile.
func (ps *ProfileShowCmd) Run(ctx context.Context, env *ProfileEnv) error {
	do, err := ps.read(ctx, env)
	if err != nil {
		return err
	}
	pr := printer{out: env.Stdout}
	if ps.Name == "" {
		pr.document(do)
		return pr.err
	}
	shown, ok := do.Profile(ps.Name)
	switch {
	case !ok:
		return errors.Wrapf(errNoProfile, "%q at revision %d", ps.Name, do.Revision())
	case ps.Source:
		pr.printf("%s", shown.Source())
	default:
		pr.printf("# revision %d\n", do.Revision())
		pr.profile(shown)
	}
	return pr.err
}

// A ProfileHistoryCmd lists the recent changes.
type ProfileHistoryCmd struct {
	PlatformFlag
	Output string `default:"table" enum:"table,json" help:"Form of the output: table or json."`
}

// Run prints the recent changes, newest first.
func (ph *ProfileHistoryCmd) Run(ctx context.Context, env *ProfileEnv) error {
	do, err := ph.read(ctx, env)
	if err != nil {
		return err
	}
	pr := printer{out: env.Stdout}
	if ph.Output == outputJSON {
		pr.historyJSON(do)
		return pr.err
	}
	pr.historyTable(do)
	return pr.err
}

// changedNames lists the profiles of a change, each with its sign.
func changedNames(ch profile.Change) string {
	names := make([]string, len(ch.ChangedProfiles()))
	for i, cp := range ch.ChangedProfiles() {
		names[i] = sign(cp.Before, cp.After) + cp.Name
	}
	return strings.Join(names, " ")
}

// sign returns the mark for an added (+), removed (-) or altered (~) profile.
func sign(before, after string) string {
	switch {
	case before == "":
		return "+"
	case after == "":
		return "-"
	default:
		return "~"
	}
}
