package trial

import (
	"encoding/json"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/outcome"
	"wisteriacroft/standin"
)

// varies matches the numbers that differ between runs.
var varies = regexp.MustCompile(`"(calls|answers-whole|trainer-idle-ratio|staleness-mean)":[0-9.e-]+`)

// callID matches the id of a call.
var callID = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

// A logBuffer collects the log lines of a trial's processes.
type logBuffer struct {
	failed string // what the trial reports as violated
	mu     sync.Mutex
	lines  []string
}

// Write implements io.Writer. Each call writes one line.
func (lb *logBuffer) Write(data []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.lines = append(lb.lines, string(data))
	return len(data), nil
}

// printCalls prints the lines about the calls that the trial reports as failed, and how late the process was at most.
func (lb *logBuffer) printCalls(t *testing.T, stalled func() time.Duration) {
	t.Helper()
	stall := stalled()
	lb.mu.Lock()
	defer lb.mu.Unlock()
	if t.Failed() {
		t.Logf("a timer of the process was late by up to %s", stall)
	}
	for _, id := range callID.FindAllString(lb.failed, -1) {
		for _, line := range lb.lines {
			if strings.Contains(line, id) {
				t.Log(line)
			}
		}
	}
}

// stallTick is the interval of the timer that measureStall watches.
const stallTick = 10 * time.Millisecond

// measureStall watches how late a timer fires. The function that it returns ends that, and returns the longest delay.
func measureStall() (stalled func() time.Duration) {
	end, longest := make(chan struct{}), make(chan time.Duration)
	go func() {
		var most time.Duration
		for {
			due := time.Now().Add(stallTick)
			select {
			case <-end:
				longest <- most
				return
			case <-time.After(stallTick):
				most = max(most, time.Since(due))
			}
		}
	}()
	return func() time.Duration {
		close(end)
		return <-longest
	}
}

// TestRun runs a step of each deployment while operators change profiles.
func TestRun(t *testing.T) {
	for _, name := range Deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var log logBuffer
			stalled := measureStall()
			t.Cleanup(func() { log.printCalls(t, stalled) })
			sum, err := Run(t.Context(), Options{
				Deployments: []string{name}, Faults: []FaultName{RaceOperators}, Log: &log, Seed: 1, Steps: 1,
			})
			assert.NilError(t, err)
			log.failed = strings.Join(sum.Broken(), "\n")
			assert.Equal(t, log.failed, "")
			assert.Equal(t, sum.AnswersWhole, sum.Calls)
			data, err := json.Marshal(sum)
			assert.NilError(t, err)
			golden.Assert(t, varies.ReplaceAllString(string(data), `"$1":NUMBER`)+"\n", name+".golden")
		})
	}
}

// TestVerdict checks that each violated guarantee is reported.
func TestVerdict(t *testing.T) {
	clean := standin.CallerSummary{Calls: 9, Name: "clerks", Whole: 9}
	refused := standin.CallerSummary{Calls: 9, Name: "clerks", Whole: 7, Refused: map[outcome.Code]int{outcome.OutcomeUnknown: 2}}
	broken := standin.CallerSummary{Broken: 1, Calls: 9, Name: "clerks", Whole: 8}
	for _, tc := range []struct {
		name     string
		trainer  standin.TrainerSummary
		caller   standin.CallerSummary
		expected expectation
		want     string
	}{
		{name: "clean", trainer: standin.TrainerSummary{Delivered: 4, Wanted: 4}, caller: clean},
		{name: "lost", trainer: standin.TrainerSummary{Delivered: 3, Wanted: 4}, caller: clean, want: "samples-lost is 1, not 0"},
		{
			name: "damaged", trainer: standin.TrainerSummary{Damaged: 1, Delivered: 4, Wanted: 4}, caller: clean,
			want: "samples-lost is 1, not 0",
		},
		{name: "doubled", trainer: standin.TrainerSummary{Doubled: 1}, caller: clean, want: "samples-doubled is 1, not 0"},
		{name: "stale", trainer: standin.TrainerSummary{Stale: 1}, caller: clean, want: "samples-stale is 1, not 0"},
		{
			name: "misattributed", trainer: standin.TrainerSummary{Misattributed: 1}, caller: clean,
			want: "samples-misattributed is 1, not 0",
		},
		{
			name: "crossed", caller: standin.CallerSummary{Calls: 1, Crossed: 1, Name: "clerks"}, expected: someBroken,
			want: "answers-crossed is 1, not 0",
		},
		{
			name: "twice", caller: standin.CallerSummary{Calls: 1, Name: "clerks", NotRepeatableRunTwice: 1, Whole: 1},
			want: "not-repeatable-run-twice is 1, not 0",
		},
		{
			name: "not-run", caller: standin.CallerSummary{Calls: 1, Name: "clerks", NotRunButRan: 1}, expected: allAnswered,
			want: "not-run-but-ran is 1, not 0",
		},
		{name: "no-call", caller: standin.CallerSummary{Name: "clerks"}, expected: someBroken, want: "clerks made no call"},
		{
			name: "refused", caller: refused,
			want: "clerks got 7 whole answers to 9 calls: broken 0, crossed 0, refused map[fate-unknown:2]",
		},
		{name: "refused-as-expected", caller: refused, expected: allAnswered},
		{name: "broken", caller: broken, expected: allAnswered, want: "clerks got no answer to 1 of 9 calls"},
		{name: "broken-as-expected", caller: broken, expected: someBroken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			counted := standin.ClientsSummary{
				Callers: []standin.CallerSummary{tc.caller}, Trainers: []standin.TrainerSummary{tc.trainer},
			}
			var ve verdict
			got := ve.violations(newSummary(counted, 1), counted, tc.expected)
			assert.Equal(t, strings.Join(got, "\n"), tc.want)
		})
	}
}

// TestSilence checks reads and writes at both ends of a silenced connection.
func TestSilence(t *testing.T) {
	ne := &network{}
	assert.NilError(t, ne.listen(t.Context(), "127.0.0.1:0"))
	defer ne.Close()
	there, err := net.Dial("tcp", ne.Addr().String())
	assert.NilError(t, err)
	here, err := ne.Accept()
	assert.NilError(t, err)
	assert.Equal(t, ne.silence(), 1)
	_, err = there.Write([]byte("anybody there?"))
	assert.NilError(t, err)
	assert.NilError(t, there.Close())
	read := make(chan error)
	go func() { _, err := here.Read(make([]byte, 64)); read <- err }()
	n, err := here.Write([]byte("yes"))
	assert.NilError(t, err)
	assert.Equal(t, n, len("yes"))
	select {
	case err := <-read:
		t.Fatalf("read from a silenced connection returned: %v", err)
	default:
	}
	assert.NilError(t, here.Close())
	assert.ErrorIs(t, <-read, net.ErrClosed)
}
