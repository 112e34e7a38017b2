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
	propagationTimeout = 19 * time.Second // for a change to be in force everywhere
	midStepDelay       = 300 * time.Millisecond
	pollEvery          = 50 * time.Millisecond
	probeCount         = 16   // consecutive successful calls until an entry is ready
	probeDeadline      = "1s" // deadline of such a call
	watchEvery         = 200 * time.Millisecond
)

// errNotReady means that a process didn't become ready in time.
var errNotReady = errors.New("not ready")

// waitReady waits until a revision is in force everywhere and each entry of the
// clients serves calls, as a load balancer's health check does.
func (wo *world) waitReady(ctx context.Context, revision uint64) error {
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

// probe calls a caller's service through an entry until several calls in a row
// succeed. For some seconds after its start, the entry that owns a key rejects
// it, since the key may have run before; several keys reach all owners.
func probe(ctx context.Context, address string, ca standin.CallerSettings) error {
	url := "http://" + address + "/v1/services/" + ca.Service + "/call/probe"
	for answered := 0; answered < probeCount; {
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

// probeOnce makes a call with the caller's profile.
func probeOnce(ctx context.Context, url string, ca standin.CallerSettings) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(nil))
	if err != nil {
		return err
	}
	req.Header.Set(message.ProfileHeader, ca.Profile)
	req.Header.Set(message.DeadlineHeader, probeDeadline)
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

// A revision is the last one observed at an incarnation of an instance.
type revision struct {
	incarnation uint64
	number      uint64
}

// watch polls the processes' status and prints the progress until ctx ends.
func (ru *run) watch(ctx context.Context) {
	began := time.Now()
	for sleep(ctx, watchEvery) {
		for _, pr := range ru.world.processes() {
			if st, ok := pr.status(ctx); ok {
				ru.checkRevision(st)
			}
		}
		ru.printProgress(time.Since(began))
	}
}

// checkRevision checks that the revision of a process doesn't decrease.
func (ru *run) checkRevision(st message.Status) {
	if ru.revisions == nil {
		ru.revisions = map[string]revision{}
	}
	before := ru.revisions[st.Instance]
	if before.incarnation == st.Incarnation && st.Revision < before.number {
		ru.verdict.add("%s went back from revision %d to %d", st.Instance, before.number, st.Revision)
	}
	ru.revisions[st.Instance] = revision{incarnation: st.Incarnation, number: st.Revision}
}

// printProgress overwrites the progress line.
func (ru *run) printProgress(since time.Duration) {
	if ru.options.Progress == nil {
		return
	}
	pr := ru.world.clients.Progress()
	_, _ = fmt.Fprintf(ru.options.Progress, "\r%s: %s, step %d of %d, %d of %d samples, %d calls\x1b[K",
		ru.world.deployment.name, since.Round(time.Second), pr.Step+1, ru.options.Steps, pr.Samples, pr.Wanted, pr.Calls)
}

// waitMidStep waits until the slowest trainer is in the middle of a step. It reports
// false if ctx ends first.
func (ru *run) waitMidStep(ctx context.Context, step int) bool {
	for ru.world.clients.Progress().Step < step {
		if !sleep(ctx, pollEvery) {
			return false
		}
	}
	return sleep(ctx, midStepDelay)
}

// waitInForce waits until the stored profiles are in force everywhere, and returns
// them.
func (ru *run) waitInForce(ctx context.Context) (profile.Document, error) {
	vd, err := ru.world.read(ctx)
	if err != nil {
		return profile.Document{}, errors.Wrap(err, "read the profiles")
	}
	bounded, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for _, pr := range ru.world.processes() {
		if !pr.waitFor(bounded, vd.Document.Revision()) {
			ru.verdict.add("revision %d is not in force at %s within %s",
				vd.Document.Revision(), pr.instance.ID, propagationTimeout)
		}
	}
	return vd.Document, nil
}

// read reads the stored profiles, with retries while the platform is unavailable.
func (wo *world) read(ctx context.Context) (profile.VersionedDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		vd, err := wo.store.Read(ctx)
		if err == nil || !sleep(ctx, pollEvery) {
			return vd, err
		}
	}
}
