package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// A faultyEntry is an entry that returns one batch per step, changed by spoil.
type faultyEntry struct {
	refusals int
	spoil    func(step int, payloads []message.Payload) []message.Payload
	steps    []message.StepRequest
}

func (fe *faultyEntry) batch(step int) ([]message.SampleEntry, []byte) {
	var payloads []message.Payload
	for group, gr := range fe.steps[step].Groups {
		for member := range gr.Members {
			pa := message.Payload{Group: group, Member: member, Prompt: gr.Prompt, Step: step, Trainer: "t"}
			for position := range LengthOf(gr.Prompt, uint64(member), gr.MaxTokens) {
				pa.Tokens = append(pa.Tokens, TokenAt(gr.Prompt, uint64(member), position, 1))
			}
			pa.Segments = []engine.Segment{{Tokens: len(pa.Tokens), Version: 1}}
			payloads = append(payloads, pa)
		}
	}
	var entries []message.SampleEntry
	var body []byte
	for _, pa := range fe.spoil(step, payloads) {
		line, _ := json.Marshal(pa)
		sum := sha256.Sum256(line)
		entries = append(entries, message.SampleEntry{
			Digest: hex.EncodeToString(sum[:]), Group: pa.Group, Member: pa.Member,
		})
		body = append(append(body, line...), '\n')
	}
	return entries, body
}

func (fe *faultyEntry) handler() http.Handler {
	ro := mux.NewRouter()
	ro.HandleFunc(message.StepPath, handle(func(_ context.Context, req message.StepRequest) (message.StepResponse, error) {
		fe.steps = append(fe.steps, req)
		return message.StepResponse{}, nil
	}))
	ro.HandleFunc(message.PullPath, func(w http.ResponseWriter, r *http.Request) {
		if fe.refusals++; fe.refusals == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			re := outcome.NewRefusal(outcome.Overloaded, "", "come back")
			re.RetryAfter = "1ms"
			_ = json.NewEncoder(w).Encode(re)
			return
		}
		var req message.PullRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		step := req.Cursor.Step + 1
		entries, _ := fe.batch(step)
		answer(w, message.PullResponse{Batch: fmt.Sprint(step), Manifest: entries, Step: step, Whole: true}, nil)
	})
	ro.HandleFunc(message.BatchPath, func(w http.ResponseWriter, r *http.Request) {
		var step int
		_, _ = fmt.Sscan(mux.Vars(r)["batch"], &step)
		_, body := fe.batch(step)
		_, _ = w.Write(body)
	})
	return ro
}

func TestTrainerDetectsBadBatches(t *testing.T) {
	none := func(_ int, pas []message.Payload) []message.Payload { return pas }
	for name, tc := range map[string]struct {
		spoil func(int, []message.Payload) []message.Payload
		want  TrainerSummary
	}{
		"clean": {spoil: none, want: TrainerSummary{Delivered: 12}},
		"lost": {spoil: func(_ int, pas []message.Payload) []message.Payload {
			return pas[1:]
		}, want: TrainerSummary{Delivered: 9, Lost: 3}},
		"doubled": {spoil: func(_ int, pas []message.Payload) []message.Payload {
			return append(pas, pas[0])
		}, want: TrainerSummary{Delivered: 12, Doubled: 3}},
		"cut": {spoil: func(_ int, pas []message.Payload) []message.Payload {
			pas[0].Tokens = pas[0].Tokens[1:]
			return pas
		}, want: TrainerSummary{Damaged: 3, Delivered: 12, Misattributed: 3}},
		"misattributed": {spoil: func(_ int, pas []message.Payload) []message.Payload {
			pas[2].Segments[0].Version = 2
			return pas
		}, want: TrainerSummary{Delivered: 12, Misattributed: 3}},
		"crossed": {spoil: func(_ int, pas []message.Payload) []message.Payload {
			pas[0].Prompt, pas[2].Prompt = pas[2].Prompt, pas[0].Prompt
			return pas
		}, want: TrainerSummary{Damaged: 6, Delivered: 12, Misattributed: 6}},
	} {
		t.Run(name, func(t *testing.T) {
			fe := &faultyEntry{spoil: tc.spoil}
			se := httptest.NewServer(fe.handler())
			defer se.Close()
			tr := NewTrainer(TrainerSettings{
				Groups: 2, MaxTokens: 64, Members: 2, Name: "t", Steps: 3, StepsAhead: 1,
				Record: filepath.Join(t.TempDir(), "record"),
			}, []string{strings.TrimPrefix(se.URL, "http://")}, "", http.DefaultClient)
			sum, err := tr.Run(t.Context())
			assert.NilError(t, err)
			sum.IdleRatio = 0
			tc.want.Name, tc.want.Wanted = "t", 12
			assert.DeepEqual(t, sum, tc.want)

			whole, err := os.ReadFile(tr.settings.Record)
			assert.NilError(t, err)
			torn := append(bytes.Clone(whole), `{"batch":"3"`...)
			assert.NilError(t, os.WriteFile(tr.settings.Record, torn, 0o600))
			again := NewTrainer(tr.settings, []string{"127.0.0.1:1"}, "", http.DefaultClient)
			sum, err = again.Run(t.Context())
			assert.NilError(t, err, "a restart continues after the last record")
			sum.IdleRatio = 0
			assert.DeepEqual(t, sum, tc.want)
			left, err := os.ReadFile(tr.settings.Record)
			assert.NilError(t, err)
			assert.DeepEqual(t, left, whole)
		})
	}
}

func TestCallerDetectsViolations(t *testing.T) {
	ca := NewCaller(CallerSettings{}, nil, nil, nil)
	refusal := outcome.NewRefusal(outcome.Overloaded, "", "")
	ca.recordResult(liveCall{id: "a"}, refusal, outcome.NotRun, 0)
	ca.recordResult(liveCall{id: "b"}, refusal, outcome.NotRun, 0)
	ca.recordResult(liveCall{id: "c"}, refusal, outcome.Unknown, 0)
	ca.recordResult(liveCall{id: "d"}, nil, outcome.NotRun, 0)
	ca.recordResult(liveCall{id: "e", repeatable: true}, errMismatchedResponse, outcome.Unknown, 0)
	ca.compareWith(Counts{Paths: map[string]int{"/calls/a": 1, "/calls/c": 1, "/calls/d": 2, "/calls/e": 2}})
	assert.DeepEqual(t, ca.sum, CallerSummary{
		Calls: 5, Crossed: 1, NotRepeatableRunTwice: 1, NotRunButRan: 1, Refused: map[outcome.Code]int{outcome.Overloaded: 3},
		RefusedBy: "a after 0s: overloaded: ", Whole: 1,
	})
}

func TestExampleSettings(t *testing.T) {
	for _, deployment := range []string{"baitursynov", "hathercote"} {
		read := func(name string) (string, []byte) {
			path := filepath.Join("..", "examples", deployment, name)
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			return path, data
		}
		_, err := ReadPlatformSettings(read("stand-in-platform.toml"))
		assert.NilError(t, err)
		_, err = ReadEndpointsSettings(read("stand-in-endpoints.toml"))
		assert.NilError(t, err)
		_, err = ReadClientsSettings(read("stand-in-trainer.toml"))
		assert.NilError(t, err)
	}
}

func TestSettingsFindings(t *testing.T) {
	var out strings.Builder
	_, err := ReadPlatformSettings("platform.toml", []byte("listen = \"here\"\nfetch-limit = 0\nfetch-time = \"5\"\nodd = 1\n[[model]]\n"))
	fmt.Fprintln(&out, err)
	_, err = ReadEndpointsSettings("endpoints.toml", []byte(
		"listen = \"127.0.0.1:0\"\n[[endpoint]]\nkind = \"car\"\nnames = [\"a\", \"a\"]\naddresses = [\"x\"]\ntime = \"-1s\"\n"))
	fmt.Fprintln(&out, err)
	_, err = ReadClientsSettings("clients.toml", []byte("[[trainer]]\nname = \"t\"\n[[caller]]\nnot-repeatable = 101\n"))
	fmt.Fprintln(&out, err)
	golden.Assert(t, out.String(), "findings.golden")
}
