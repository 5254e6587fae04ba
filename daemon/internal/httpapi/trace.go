package httpapi

import (
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"rhubarbstall.example/api/codes"
)

// withCallerTrace continues the trace context in the request headers.
func withCallerTrace(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func handleNotFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(r.Context(), w, r, codes.NotFound.Errorf("no such path: %s", r.URL.Path))
}
