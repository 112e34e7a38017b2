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

// newJudge returns a run that can be judged, in which endpoints ran some requests.
func newJudge(t *testing.T, opts Options, ids ...string) *run {
	t.Helper()
	de := &standin.PlainEndpoint{ID: "desk"}
	sv := httptest.NewServer(de)
	defer sv.Close()
	cl := standin.Client{Base: sv.URL, HTTP: sv.Client()}
	for _, id := range ids {
		_, err := cl.Ask(t.Context(), "/", id, strings.NewReader(""), time.Second)
		assert.NilError(t, err)
	}
	pa := &parts{bounds: opts.Bounds, names: []string{quotaPart, rivalsPart}}
	return &run{begun: time.Now(), opts: opts, parts: pa, world: &world{desks: []*standin.PlainEndpoint{de}}}
}

func metered(count int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprint(meteredPrefix, "0-", i))
	}
	return ids
}

func TestJudgeSeesAQuotaThatIsExceeded(t *testing.T) {
	const quota = 3
	most := int(quota*quotaWindow.Seconds()*(1+standin.QuotaOvershoot)) + 1 + meteredCallers
	for count, broken := range map[int]bool{most: false, most + 1: true} {
		rn := newJudge(t, Options{}, metered(count)...)
		rn.quotas = []quotaChange{{quota: quota}}
		rn.judgeQuota()
		assert.Equal(t, len(rn.report.Violations) > 0, broken, "%d: %v", count, rn.report.Violations)
	}
}

func TestJudgeKnowsWhenAQuotaIsInForce(t *testing.T) {
	at := func(second int) time.Time { return time.Unix(int64(second), 0) }
	rn := &run{opts: Options{Quiet: true}, quotas: []quotaChange{
		{quota: 8}, {from: at(10), quota: 20, sure: at(13)}, {from: at(30), quota: 3, sure: at(33)},
	}}
	for _, tc := range []struct {
		from, to int
		want     float64
	}{{0, 9, 8}, {0, 10, 20}, {12, 13, 20}, {14, 29, 20}, {32, 40, 20}, {33, 40, 3}} {
		assert.Equal(t, rn.highestQuota(at(tc.from), at(tc.to)), tc.want, "%v", tc)
	}
	// While faults strike, a process may not hear of a quota until they have ended.
	rn.opts.Quiet, rn.faultsEnd = false, at(40)
	assert.Equal(t, rn.highestQuota(at(40), at(50)), 20.0)
	assert.Equal(t, rn.highestQuota(at(40).Add(settleTime), at(50)), 3.0)
}

func TestJudgeSeesWhatCallersHear(t *testing.T) {
	const id = rivalPrefix + secondCustomer + "-1"
	calm := Options{Bounds: true, Quiet: true}
	for _, tc := range []struct {
		name  string
		heard heard
		opts  Options
		ran   []string
		want  string
	}{
		{"served", heard{status: http.StatusOK}, calm, []string{id}, ""},
		{"refused", heard{retryAfter: "0.1", status: http.StatusServiceUnavailable}, Options{Quiet: true}, nil, ""},
		{"refused and ran", heard{retryAfter: "0.1", status: http.StatusTooManyRequests}, Options{}, []string{id}, "was refused and ran"},
		{"not told when to come back", heard{status: http.StatusTooManyRequests}, Options{Quiet: true}, nil, "not told when to come back"},
		{"ran twice", heard{status: http.StatusOK}, Options{}, []string{id, id}, "ran 2 times"},
		{"wrong answer", heard{status: http.StatusOK, wrong: true}, Options{}, []string{id}, "answer of another"},
		{"denied", heard{status: http.StatusUnauthorized}, Options{}, nil, "was denied"},
		{"small customer is not served", heard{retryAfter: "0.1", status: http.StatusServiceUnavailable}, calm, nil, "0 of 1 requests of bob"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rn := newJudge(t, tc.opts, tc.ran...)
			he := tc.heard
			he.at, he.customer, he.id = time.Now(), secondCustomer, id
			rn.heard = []heard{he}
			rn.judgeHeard()
			if tc.want == "" {
				assert.Equal(t, len(rn.report.Violations), 0, "%v", rn.report.Violations)
				return
			}
			assert.Equal(t, len(rn.report.Violations), 1, "%v", rn.report.Violations)
			assert.Assert(t, strings.Contains(rn.report.Violations[0], tc.want), "%v", rn.report.Violations)
		})
	}
}

func TestJudgeSeesATrainerThatGetsNothing(t *testing.T) {
	begun := time.Unix(1000, 0)
	for got, broken := range map[time.Duration]bool{longestNothing - time.Second: false, longestNothing + time.Second: true} {
		rn := newJudge(t, Options{Bounds: true, Quiet: true})
		rn.crowdTime = [2]time.Time{begun, begun.Add(longestNothing + 2*time.Second)}
		rn.tasks = []*task{{id: crowdPrefix + "0-0", whole: map[string]time.Time{"g": begun.Add(got)}}}
		rn.judgeNothing(crowdPrefix)
		assert.Equal(t, len(rn.report.Violations) > 0, broken, "%s: %v", got, rn.report.Violations)
	}
}

func TestDeskShortOfPlaces(t *testing.T) {
	de := &standin.PlainEndpoint{ID: "desk", Places: 1, Work: 50 * time.Millisecond}
	sv := httptest.NewServer(de)
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

func TestJudgeOfStepsNeedsSome(t *testing.T) {
	// Symptom: the judge says that none of a customer's groups were in time, though all
	// were. Cause: all steps that it could count were near a loss of the scheduler.
	begun := time.Unix(1000, 0)
	rn := newJudge(t, Options{Bounds: true, Quiet: true})
	rn.crowdTime = [2]time.Time{begun, begun.Add(time.Minute)}
	rn.losses = []time.Time{begun.Add(10 * time.Second)}
	near := &task{groups: 1, handed: begun.Add(9 * time.Second), id: "step-0", scored: true, whole: map[string]time.Time{}}
	rn.tasks = []*task{near}
	_, some := rn.inTime(true)
	assert.Assert(t, !some)
	late := &task{groups: 1, handed: begun.Add(30 * time.Second), id: "step-1", scored: true, whole: map[string]time.Time{}}
	rn.tasks = []*task{near, late}
	part, some := rn.inTime(true)
	assert.Assert(t, some && part == 0)
}
