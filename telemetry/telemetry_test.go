package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/fx"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/settings"
)

const document = `
role = "entry"
instance = "coventry-entry-1"
failure-domain = "coventry-hall"
region = "midlands"
listen = "127.0.0.1:0"
admin-listen = "127.0.0.1:0"

[platform]
key-value = "http://127.0.0.1:2379"
instance-list = "http://127.0.0.1:2380"
weight-store = "http://127.0.0.1:2381"

[log]
level = "debug"

[trace]
file = %q
`

// A span holds the fields of an exported span that the test checks.
type span struct {
	Name   string
	Parent struct{ SpanID, TraceID string }
	Resource,
	Attributes []struct {
		Key   string
		Value struct{ Value any }
	}
	SpanContext struct{ SpanID, TraceID string }
	Status      struct{ Code, Description string }
}

// TestSession checks the spans of a request across HTTP and net/rpc that an app's shutdown
// flushes to a file.
func TestSession(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.jsonl")
	se, err := settings.ReadEntry("entry.toml", fmt.Appendf(nil, document, path))
	assert.NilError(t, err)
	var log bytes.Buffer
	app := fx.New(
		fx.NopLogger,
		fx.Supply(se.Process),
		Module(&log),
		fx.Invoke(func(logger *logrus.Logger) { logger.WithField("revision", 3).Info("configuration in force") }),
	)
	assert.NilError(t, app.Start(t.Context()))
	callAcrossHops(t.Context())
	assert.NilError(t, app.Stop(t.Context()))

	golden.Assert(t, formatSpans(t, path), "session.golden")
	var line struct{ Level, Msg string }
	assert.NilError(t, json.Unmarshal(log.Bytes(), &line))
	assert.Equal(t, line.Level+" "+line.Msg, "info configuration in force")
}

// callAcrossHops creates the spans of a call through an entry and an attendant, and of a
// failed control call.
func callAcrossHops(ctx context.Context) {
	entryContext, entry := Start(ctx, "entry.call", attribute.String("service", "gate-api"))
	he := http.Header{}
	Inject(entryContext, he)

	attendantContext, attendant := Start(Extract(ctx, he), "attendant.call")
	ca := NewCarrier(attendantContext)

	_, control := Start(ca.Context(ctx), "entry.report")
	End(control, errors.New("connection is silent"))
	End(attendant, nil)
	End(entry, nil)
}

// formatSpans returns the span tree of a file as indented text.
func formatSpans(t *testing.T, path string) string {
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var spans []span
	for line := range strings.Lines(string(data)) {
		var sp span
		assert.NilError(t, json.Unmarshal([]byte(line), &sp))
		assert.Equal(t, sp.SpanContext.TraceID, orElse(sp.Parent.TraceID, sp.SpanContext.TraceID))
		spans = append(spans, sp)
	}
	var sb strings.Builder
	writeSpans(&sb, spans, "0000000000000000", "")
	return sb.String()
}

func orElse(traceID, other string) string {
	if strings.Trim(traceID, "0") == "" {
		return other
	}
	return traceID
}

// writeSpans writes the spans below a parent.
func writeSpans(sb *strings.Builder, spans []span, parent, indent string) {
	for _, sp := range spans {
		if sp.Parent.SpanID != parent {
			continue
		}
		fmt.Fprintf(sb, "%s%s %s %s\n", indent, sp.Name, sp.Status.Code, sp.Status.Description)
		for _, at := range append(sp.Resource, sp.Attributes...) {
			fmt.Fprintf(sb, "%s  | %s = %v\n", indent, at.Key, at.Value.Value)
		}
		writeSpans(sb, spans, sp.SpanContext.SpanID, indent+"  ")
	}
}

// TestAdmin requests each admin page.
func TestAdmin(t *testing.T) {
	se := metrics.NewSet()
	se.NewCounter(`calls_total{service="gate-api"}`).Add(7)
	waiting := func() error { return errors.New("no configuration yet") }
	for _, tc := range []struct {
		name   string
		ad     Admin
		path   string
		status int
		want   string
	}{
		{"healthy", Admin{ReadyFunc: waiting}, HealthPath, http.StatusOK, "ok"},
		{"ready", Admin{}, ReadyPath, http.StatusOK, "ready"},
		{"not ready", Admin{ReadyFunc: waiting}, ReadyPath, http.StatusServiceUnavailable, "no configuration yet"},
		{"metrics of the role", Admin{Set: se}, MetricsPath, http.StatusOK, `calls_total{service="gate-api"} 7`},
		{"metrics of the process", Admin{}, MetricsPath, http.StatusOK, "go_goroutines"},
		{"no such page", Admin{}, "/debug", http.StatusNotFound, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rw := httptest.NewRecorder()
			tc.ad.Handler().ServeHTTP(rw, httptest.NewRequest(http.MethodGet, tc.path, nil))
			assert.Equal(t, rw.Code, tc.status)
			assert.Assert(t, strings.Contains(rw.Body.String(), tc.want), rw.Body.String())
		})
	}
}
