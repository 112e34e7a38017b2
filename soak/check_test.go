package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/platform/standin"
)

// newCheckedRun returns a run in which endpoints ran some requests, ready to be checked.
func newCheckedRun(t *testing.T, opts Options, ids ...string) *run {
	t.Helper()
	pe := &standin.PlainEndpoint{ID: "desk"}
	sv := httptest.NewServer(pe)
	defer sv.Close()
	cl := standin.Client{Base: sv.URL, HTTP: sv.Client()}
	for _, id := range ids {
		_, err := cl.Ask(t.Context(), "/", id, strings.NewReader(""), time.Second)
		assert.NilError(t, err)
	}
	pa := &parts{bounds: opts.Bounds, names: []string{quotaPart, rivalsPart}}
	return &run{begun: time.Now(), opts: opts, parts: pa, world: &world{plainEndpoints: []*standin.PlainEndpoint{pe}}}
}

func metered(count int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprint(meteredPrefix, "0-", i))
	}
	return ids
}

func TestCheckQuotaExceeded(t *testing.T) {
	const quota = 3
	most := int(quota*quotaWindow.Seconds()*(1+standin.QuotaOvershoot)) + 1 + meteredCallers
	for count, broken := range map[int]bool{most: false, most + 1: true} {
		rn := newCheckedRun(t, Options{}, metered(count)...)
		rn.quotas = []quotaChange{{quota: quota}}
		rn.checkQuota()
		assert.Equal(t, len(rn.report.Violations) > 0, broken, "%d: %v", count, rn.report.Violations)
	}
}

func TestHighestQuota(t *testing.T) {
	at := func(second int) time.Time { return time.Unix(int64(second), 0) }
	rn := &run{opts: Options{Quiet: true}, quotas: []quotaChange{
		{quota: 8}, {writtenAt: at(10), quota: 20, inForceAt: at(13)}, {writtenAt: at(30), quota: 3, inForceAt: at(33)},
	}}
	for _, tc := range []struct {
		from, to int
		want     float64
	}{{0, 9, 8}, {0, 10, 20}, {12, 13, 20}, {14, 29, 20}, {32, 40, 20}, {33, 40, 3}} {
		assert.Equal(t, rn.highestQuota(at(tc.from), at(tc.to)), tc.want, "%v", tc)
	}
	// While faults are injected, a quota may not reach a process until they have ended.
	rn.opts.Quiet, rn.faultsEnd = false, at(40)
	assert.Equal(t, rn.highestQuota(at(40), at(50)), 20.0)
	assert.Equal(t, rn.highestQuota(at(40).Add(settleTime), at(50)), 3.0)
}

func TestCheckResponses(t *testing.T) {
	const id = rivalPrefix + secondCustomer + "-1"
	calm := Options{Bounds: true, Quiet: true}
	for _, tc := range []struct {
		name     string
		response response
		opts     Options
		ran      []string
		want     string
	}{
		{"served", response{status: http.StatusOK}, calm, []string{id}, ""},
		{"refused", response{retryAfter: "0.1", status: http.StatusServiceUnavailable}, Options{Quiet: true}, nil, ""},
		{"refused and ran", response{retryAfter: "0.1", status: http.StatusTooManyRequests}, Options{}, []string{id}, "was refused and ran"},
		{"without retry delay", response{status: http.StatusTooManyRequests}, Options{Quiet: true}, nil, "not told when to come back"},
		{"ran twice", response{status: http.StatusOK}, Options{}, []string{id, id}, "ran 2 times"},
		{"wrong answer", response{status: http.StatusOK, mismatched: true}, Options{}, []string{id}, "answer of another"},
		{"denied", response{status: http.StatusUnauthorized}, Options{}, nil, "was denied"},
		{"small customer is not served", response{retryAfter: "0.1", status: http.StatusServiceUnavailable}, calm, nil, "0 of 1 requests of bob"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rn := newCheckedRun(t, tc.opts, tc.ran...)
			re := tc.response
			re.at, re.customer, re.id = time.Now(), secondCustomer, id
			rn.responses = []response{re}
			rn.checkResponses()
			if tc.want == "" {
				assert.Equal(t, len(rn.report.Violations), 0, "%v", rn.report.Violations)
				return
			}
			assert.Equal(t, len(rn.report.Violations), 1, "%v", rn.report.Violations)
			assert.Assert(t, strings.Contains(rn.report.Violations[0], tc.want), "%v", rn.report.Violations)
		})
	}
}

func TestCheckStarvation(t *testing.T) {
	begun := time.Unix(1000, 0)
	for got, broken := range map[time.Duration]bool{maxStarvation - time.Second: false, maxStarvation + time.Second: true} {
		rn := newCheckedRun(t, Options{Bounds: true, Quiet: true})
		rn.crowdTime = [2]time.Time{begun, begun.Add(maxStarvation + 2*time.Second)}
		rn.tasks = []*task{{id: crowdPrefix + "0-0", completedAt: map[string]time.Time{"g": begun.Add(got)}}}
		rn.checkStarvation(crowdPrefix)
		assert.Equal(t, len(rn.report.Violations) > 0, broken, "%s: %v", got, rn.report.Violations)
	}
}

func TestPlainEndpointAtCapacity(t *testing.T) {
	pe := &standin.PlainEndpoint{ID: "desk", Places: 1, Work: 50 * time.Millisecond}
	sv := httptest.NewServer(pe)
	defer sv.Close()
	statuses := make(chan int, 3)
	for range 3 {
		go func() {
			cl := standin.Client{Base: sv.URL, HTTP: sv.Client()}
			an, _ := cl.Ask(t.Context(), "/", "id", io.MultiReader(strings.NewReader("")), time.Second) // 0 if it fails
			statuses <- an.Status
		}()
	}
	seen := map[int]int{}
	for range 3 {
		seen[<-statuses]++
	}
	assert.DeepEqual(t, seen, map[int]int{http.StatusOK: 2, http.StatusServiceUnavailable: 1})
}

func TestInTimeWithoutCountedSteps(t *testing.T) {
	// If all steps are near a loss of the scheduler, no step counts: the check must not
	// report that no group was in time.
	begun := time.Unix(1000, 0)
	rn := newCheckedRun(t, Options{Bounds: true, Quiet: true})
	rn.crowdTime = [2]time.Time{begun, begun.Add(time.Minute)}
	rn.losses = []time.Time{begun.Add(10 * time.Second)}
	near := &task{groups: 1, submittedAt: begun.Add(9 * time.Second), id: "step-0", scored: true, completedAt: map[string]time.Time{}}
	rn.tasks = []*task{near}
	_, some := rn.inTime(true)
	assert.Assert(t, !some)
	late := &task{groups: 1, submittedAt: begun.Add(30 * time.Second), id: "step-1", scored: true, completedAt: map[string]time.Time{}}
	rn.tasks = []*task{near, late}
	part, some := rn.inTime(true)
	assert.Assert(t, some && part == 0)
}
