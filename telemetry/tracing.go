package telemetry

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"wisteriacroft/settings"
)

// Resource attributes of a process's spans. The first two are defined by OpenTelemetry.
const (
	serviceNameKey   = attribute.Key("service.name")
	instanceKey      = attribute.Key("service.instance.id")
	roleKey          = attribute.Key("wisteriacroft.role")
	failureDomainKey = attribute.Key("wisteriacroft.failure-domain")
)

// otlpPath is the path at which an OTLP/HTTP collector receives spans.
const otlpPath = "/v1/traces"

// spanFileMode allows the operators' group to read the spans.
const spanFileMode = 0o640

// A Tracing exports a process's spans to the destination in its settings. The zero Tracing
// exports none.
type Tracing struct {
	file     io.Closer
	provider *sdktrace.TracerProvider
}

// NewTracing sets the global tracer provider and the W3C propagator. It sets the propagator
// even without a destination for spans, so that the process still propagates trace
// contexts.
func NewTracing(ctx context.Context, pr settings.Process, logger *logrus.Logger) (*Tracing, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	tr := &Tracing{}
	exporter, err := tr.exporter(ctx, pr.Trace())
	if err != nil || exporter == nil {
		return tr, err
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		logger.WithError(err).Warning("span export failed")
	}))
	tr.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(newResource(pr)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(pr.Trace().Ratio()))),
	)
	otel.SetTracerProvider(tr.provider)
	return tr, nil
}

// Shutdown flushes pending spans and closes their destination.
func (tr *Tracing) Shutdown(ctx context.Context) error {
	if tr.provider == nil {
		return nil
	}
	err := tr.provider.Shutdown(ctx)
	if tr.file != nil {
		err = errors.CombineErrors(err, tr.file.Close())
	}
	return errors.Wrap(err, "flush spans")
}

// exporter returns the configured span exporter, or nil if there is none.
func (tr *Tracing) exporter(ctx context.Context, se settings.Trace) (sdktrace.SpanExporter, error) {
	switch {
	case se.OTLPAddress() != "":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(se.OTLPAddress()+otlpPath))
		return exporter, errors.Wrap(err, "trace.otlp-address")
	case se.File() != "":
		file, err := os.OpenFile(se.File(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, spanFileMode)
		if err != nil {
			return nil, errors.Wrap(err, "trace.file")
		}
		tr.file = file
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return exporter, errors.Wrap(err, "trace.file")
	default:
		return nil, nil
	}
}

// newResource returns the resource that identifies the process.
func newResource(pr settings.Process) *resource.Resource {
	return resource.NewSchemaless(
		serviceNameKey.String(scope),
		instanceKey.String(pr.Instance()),
		roleKey.String(string(pr.Role())),
		failureDomainKey.String(pr.FailureDomain()),
	)
}
