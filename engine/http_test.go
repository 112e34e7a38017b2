package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriacroft/roundtrip"
)

func TestGenerateStream(t *testing.T) {
	// Guards against accepting a stream that is truncated, lacks a chunk or belongs to
	// another request.
	first := `{"first":1,"request-id":"a","tokens":[{"id":1,"log-prob":-1}],"version":3}` + "\n"
	last := `{"done":true,"first":2,"request-id":"a","tokens":[],"version":3}` + "\n"
	for name, tc := range map[string]struct {
		body    string
		emitted int
		want    error
	}{
		"whole":     {body: first + last, emitted: 2},
		"cut":       {body: first, emitted: 1, want: ErrBroken},
		"cut-line":  {body: first + last[:20], emitted: 1, want: ErrBroken},
		"empty":     {want: ErrBroken},
		"crossed":   {body: first + `{"done":true,"first":2,"request-id":"b"}` + "\n", emitted: 1, want: ErrMismatchedResponse},
		"skipped":   {body: first + `{"done":true,"first":3,"request-id":"a"}` + "\n", emitted: 1, want: ErrBroken},
		"repeated":  {body: first + first, emitted: 1, want: ErrBroken},
		"from-zero": {body: `{"done":true,"first":0,"request-id":"a"}` + "\n", want: ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			se := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(roundtrip.IDHeader, r.Header.Get(roundtrip.IDHeader))
				io.WriteString(w, tc.body)
			}))
			defer se.Close()
			emitted := 0
			req := GenerateRequest{ID: "a", MaxTokens: 2, Resume: []Token{{ID: 7}}}
			err := NewHTTP(se.URL, nil).GenerateFunc(t.Context(), req, func(Chunk) error { emitted++; return nil })
			if tc.want == nil {
				assert.NilError(t, err)
			} else {
				assert.ErrorIs(t, err, tc.want)
			}
			assert.Equal(t, emitted, tc.emitted)
		})
	}
}
