package telemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// Header names of the W3C trace context, also used as a Carrier's keys.
const (
	traceParentKey = "traceparent"
	traceStateKey  = "tracestate"
)

// A Carrier holds the trace context in a net/rpc message, which has no headers. The zero
// Carrier holds none.
type Carrier struct {
	TraceParent string
	TraceState  string
}

// NewCarrier returns a carrier with the trace context of ctx.
func NewCarrier(ctx context.Context) Carrier {
	var ca Carrier
	otel.GetTextMapPropagator().Inject(ctx, &ca)
	return ca
}

// Context returns ctx with the carrier's trace context.
func (ca Carrier) Context(ctx context.Context) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, &ca)
}

// Get implements propagation.TextMapCarrier.
func (ca *Carrier) Get(key string) string {
	switch key {
	case traceParentKey:
		return ca.TraceParent
	case traceStateKey:
		return ca.TraceState
	default:
		return ""
	}
}

// Keys implements propagation.TextMapCarrier.
func (ca *Carrier) Keys() []string { return []string{traceParentKey, traceStateKey} }

// Set implements propagation.TextMapCarrier.
func (ca *Carrier) Set(key, value string) {
	switch key {
	case traceParentKey:
		ca.TraceParent = value
	case traceStateKey:
		ca.TraceState = value
	}
}

// Extract returns ctx with the trace context of an HTTP request's header.
func Extract(ctx context.Context, he http.Header) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(he))
}

// Inject writes the trace context in ctx to an HTTP request's header.
func Inject(ctx context.Context, he http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(he))
}
