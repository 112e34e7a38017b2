package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestDecodeStepErrors(t *testing.T) {
	for _, tc := range []struct {
		name, body, want string
	}{
		{"cut-short", `{"profile":"marking","groups":[{"mem`, "byte 36: the body is cut short"},
		{"empty", ``, "byte 0: the body is cut short"},
		{"empty-prompt", `{"profile":"p","groups":[{"members":1,"max-tokens":1}]}`, "groups[0]: prompt: is empty"},
		{"followed", `{"profile":"p","groups":[]} {}`, "byte 29: something follows the request"},
		{"members", `{"profile":"p","groups":[{"members":0}]}`, "groups[0]: members: 0 is not between 1 and 2048"},
		{"no-groups", `{"profile":"p"}`, "groups: at least one is needed"},
		{"no-profile", `{}`, "profile: is missing"},
		{"unknown-key", `{"profil":"p"}`, `byte 14: json: unknown field "profil"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := decodeStep([]byte(tc.body))
			assert.Error(t, err, tc.want)
		})
	}
}

func TestDecodePullErrors(t *testing.T) {
	for _, tc := range []struct {
		name, body, want string
	}{
		{"batch-without-digest", `{"cursor":{"batch":"a"}}`, "cursor: batch and digest go together"},
		{"step", `{"cursor":{"step":-2}}`, "cursor.step: -2 is below -1"},
		{"wait", `{"wait":"5"}`, `wait: time: missing unit in duration "5"`},
		{"wait-long", `{"wait":"2m"}`, "wait: 2m0s is not between 0s and 1m0s"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := decodePull([]byte(tc.body))
			assert.Error(t, err, tc.want)
		})
	}
}

// FuzzDecodeStep checks that the decoder neither panics nor accepts a request beyond its
// limits.
func FuzzDecodeStep(f *testing.F) {
	f.Add([]byte(`{"profile":"marking","groups":[{"prompt":"a","members":2,"max-tokens":8}]}`))
	f.Add([]byte(`{"profile":"marking","groups":[{"prompt":"a","members":-1,"max-tokens":8}]}`))
	f.Add([]byte(`{"groups":null}`))
	f.Add([]byte("{\"profile\":\"\x00\"}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		req, err := decodeStep(data)
		if err != nil {
			return
		}
		samples := 0
		for _, gr := range req.Groups {
			assert.Assert(t, gr.Members >= 1 && gr.MaxTokens >= 1 && gr.Prompt != "")
			samples += gr.Members
		}
		assert.Assert(t, samples >= 1 && samples <= maxSamples)
	})
}
