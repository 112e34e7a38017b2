package trial

import (
	"context"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"wisteriacroft/profile"
)

// maxWaiting matches the line of a profile that concurrent operators change.
var maxWaiting = regexp.MustCompile(`(?m)^max-waiting = (\d+)$`)

// raceOperators lets two operators concurrently change two different profiles;
// both changes must be accepted. Then both change the same profile: one change
// must be accepted and the other rejected as a conflict.
func raceOperators(ctx context.Context, ru *run) error {
	vd, err := ru.world.read(ctx)
	if err != nil {
		return err
	}
	var names []string
	for _, pr := range vd.Document.Profiles() {
		if maxWaiting.MatchString(pr.Source()) {
			names = append(names, pr.Name())
		}
	}
	if len(names) < 2 {
		return errors.Wrap(errNoTarget, "profiles with max-waiting")
	}
	errs := ru.race(ctx, vd.Document, names[0], names[1])
	if errs[0] != nil || errs[1] != nil {
		ru.verdict.add("changes to different profiles were refused: %v, %v", errs[0], errs[1])
	}
	if vd, err = ru.world.read(ctx); err != nil {
		return err
	}
	errs = ru.race(ctx, vd.Document, names[0], names[0])
	var conflict *profile.Conflict
	if (errs[0] == nil) == (errs[1] == nil) || !errors.As(errors.CombineErrors(errs[0], errs[1]), &conflict) {
		ru.verdict.add("two changes to one profile: not exactly one was accepted: %v, %v", errs[0], errs[1])
	}
	return ru.checkChanges(ctx, names[0], names[1])
}

// race lets two operators each change a profile, from the same revision, and
// returns their errors.
func (ru *run) race(ctx context.Context, do profile.Document, names ...string) [2]error {
	var errs [2]error
	var gr errgroup.Group
	for i, name := range names {
		gr.Go(func() error {
			_, errs[i] = ru.world.store.Apply(ctx, profile.ApplyRequest{
				Base:    profile.NewBase(do),
				By:      "operator " + strconv.Itoa(i+1),
				Message: "race",
				Wanted:  changed(do, name, i+1),
			})
			return nil
		})
	}
	_ = gr.Wait() // the errors are in errs
	return errs
}

// changed returns the profiles of a document, with max-waiting of one of them
// raised.
func changed(do profile.Document, name string, by int) []profile.Profile {
	var prs []profile.Profile
	for _, pr := range do.Profiles() {
		if pr.Name() == name {
			source := maxWaiting.ReplaceAllStringFunc(pr.Source(), func(string) string {
				return "max-waiting = " + strconv.Itoa(pr.MaxWaiting()+by)
			})
			pr, _ = profile.Parse(name, name+".toml", source) // Apply checks it
		}
		prs = append(prs, pr)
	}
	return prs
}

// checkChanges checks the stored profiles after the races: the first profile is
// changed twice, the second once.
func (ru *run) checkChanges(ctx context.Context, first, second string) error {
	vd, err := ru.world.read(ctx)
	if err != nil {
		return err
	}
	for _, pr := range ru.world.deployment.profiles {
		now, _ := vd.Document.Profile(pr.Name())
		raised := now.MaxWaiting() - pr.MaxWaiting()
		switch pr.Name() {
		case first:
			if raised != 2 && raised != 3 {
				ru.verdict.add("max-waiting of %s was raised by %d, not by 1 and then by 1 or 2", first, raised)
			}
		case second:
			if raised != 2 {
				ru.verdict.add("max-waiting of %s was raised by %d, not by 2", second, raised)
			}
		}
	}
	return nil
}
