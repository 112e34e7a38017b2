package trial

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/idempotency"
	"wisteriacroft/message"
	"wisteriacroft/profile"
	"wisteriacroft/standin"
)

const (
	forceBound = 19 * time.Second // within which a change must be in force everywhere
	midStep    = 300 * time.Millisecond
	pollEvery  = 50 * time.Millisecond
	probes     = 16   // calls that an entry must answer in a row to be ready
	probeTime  = "1s" // deadline of such a call
	watchEvery = 200 * time.Millisecond
)

// errNotReady means that a process didn't serve in time.
var errNotReady = errors.New("not ready")

// ready waits until a revision is in force everywhere and each entry that the
// clients know answers calls, as a balancer would before it sends any.
func (wo *world) ready(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, pr := range wo.processes() {
		if !pr.waitFor(ctx, revision) {
			st, _ := pr.status(context.WithoutCancel(ctx))
			return errors.Wrapf(errNotReady, "%s holds revision %d, not %d", pr.instance.ID, st.Revision, revision)
		}
	}
	for _, address := range wo.deployment.clients.Entries {
		for _, ca := range wo.deployment.clients.Callers {
			if err := probe(ctx, address, ca); err != nil {
				return errors.Wrapf(err, "service %s at entry %s", ca.Service, address)
			}
		}
	}
	return nil
}

// waitFor waits until the process holds a revision.
func (pr *process) waitFor(ctx context.Context, revision uint64) bool {
	for {
		if st, ok := pr.status(ctx); ok && st.Revision >= revision {
			return true
		}
		if !sleep(ctx, pollEvery) {
			return false
		}
	}
}

// probe calls a caller's service through an entry until it answers several
// times in a row. A home refuses keys for some seconds from its start, since
// it can't know what ran before, and a few keys find all homes.
func probe(ctx context.Context, address string, ca standin.CallerSettings) error {
	url := "http://" + address + "/v1/services/" + ca.Service + "/call/probe"
	for answered := 0; answered < probes; {
		err := probeOnce(ctx, url, ca)
		if err == nil {
			answered++
			continue
		}
		answered = 0
		if !sleep(ctx, pollEvery) {
			return err
		}
	}
	return nil
}

// probeOnce makes a call as the caller would.
func probeOnce(ctx context.Context, url string, ca standin.CallerSettings) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(nil))
	if err != nil {
		return err
	}
	req.Header.Set(message.ProfileHeader, ca.Profile)
	req.Header.Set(message.DeadlineHeader, probeTime)
	if ca.NotRepeatable > 0 {
		key, err := idempotency.NewKey(time.Now())
		if err != nil {
			return err
		}
		req.Header.Set(message.IdempotencyKeyHeader, key.String())
		req.Header.Set(message.RepeatableHeader, "no")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(errNotReady, "status %d", resp.StatusCode)
	}
	return nil
}

// A revision is one that an incarnation of an instance was seen to hold.
type revision struct {
	incarnation uint64
	number      uint64
}

// watch looks at the processes and shows the progress until ctx ends.
func (ru *run) watch(ctx context.Context) {
	began := time.Now()
	for sleep(ctx, watchEvery) {
		for _, pr := range ru.world.processes() {
			if st, ok := pr.status(ctx); ok {
				ru.compare(st)
			}
		}
		ru.show(time.Since(began))
	}
}

// compare checks that no process goes back to a lower revision.
func (ru *run) compare(st message.Status) {
	if ru.revisions == nil {
		ru.revisions = map[string]revision{}
	}
	before := ru.revisions[st.Instance]
	if before.incarnation == st.Incarnation && st.Revision < before.number {
		ru.verdict.add("%s went back from revision %d to %d", st.Instance, before.number, st.Revision)
	}
	ru.revisions[st.Instance] = revision{incarnation: st.Incarnation, number: st.Revision}
}

// show writes the progress line over the one before.
func (ru *run) show(since time.Duration) {
	if ru.options.Progress == nil {
		return
	}
	pr := ru.world.clients.Progress()
	_, _ = fmt.Fprintf(ru.options.Progress, "\r%s: %s, step %d of %d, %d of %d samples, %d calls\x1b[K",
		ru.world.deployment.name, since.Round(time.Second), pr.Step+1, ru.options.Steps, pr.Samples, pr.Wanted, pr.Calls)
}

// midStep waits until the slowest trainer is in the midst of a step. It is
// false if that doesn't come about.
func (ru *run) midStep(ctx context.Context, step int) bool {
	for ru.world.clients.Progress().Step < step {
		if !sleep(ctx, pollEvery) {
			return false
		}
	}
	return sleep(ctx, midStep)
}

// inForce waits until what the platform holds is in force everywhere, and
// returns it.
func (ru *run) inForce(ctx context.Context) (profile.Document, error) {
	sd, err := ru.world.read(ctx)
	if err != nil {
		return profile.Document{}, errors.Wrap(err, "read the profiles")
	}
	bounded, cancel := context.WithTimeout(ctx, forceBound)
	defer cancel()
	for _, pr := range ru.world.processes() {
		if !pr.waitFor(bounded, sd.Document.Revision()) {
			ru.verdict.add("revision %d is not in force at %s within %s",
				sd.Document.Revision(), pr.instance.ID, forceBound)
		}
	}
	return sd.Document, nil
}

// read reads the profiles that the platform holds, again while it is away.
func (wo *world) read(ctx context.Context) (profile.VersionedDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		sd, err := wo.store.Read(ctx)
		if err == nil || !sleep(ctx, pollEvery) {
			return sd, err
		}
	}
}
