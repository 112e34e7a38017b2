package attendant

import (
	"net/http"

	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/attribute"

	"wisteriacroft/message"
	"wisteriacroft/telemetry"
)

// Names of the spans of requests to this process and to an endpoint.
const (
	attendantSpan = "attendant"
	endpointSpan  = "endpoint"
)

// traced starts a span for each request, as a child of the sender's span.
func traced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		ctx := telemetry.Extract(rq.Context(), rq.Header)
		ctx, sp := telemetry.Start(ctx, attendantSpan,
			attribute.String("endpoint", mux.Vars(rq)["endpoint"]),
			attribute.String("path", rq.URL.Path),
			attribute.String("request-id", rq.Header.Get(message.RequestIDHeader)),
		)
		defer sp.End()
		next.ServeHTTP(rw, rq.WithContext(ctx))
	})
}
