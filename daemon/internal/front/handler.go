package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/cellsched"
	"rhubarbstall.example/platform"
)

const (
	// defaultClientTimeout applies to requests without a Deadline-Ms header.
	defaultClientTimeout = 3 * time.Second
	// responseReserve is the part of a client's timeout that is left for the response to
	// arrive.
	responseReserve = 100 * time.Millisecond
	// defaultMaxBodyBytes applies if the configuration sets no limit.
	defaultMaxBodyBytes = 256 << 10
)

// Handler serves the requests of clients.
type Handler struct {
	routes *Routes
	// refusesKeys reports whether API keys are refused, because the configuration may not be the newest.
	refusesKeys func() bool
	jobs        *JobService
	metrics     requestMetrics
	log         *zap.Logger
}

// NewHandler returns the handler for the address that clients call. refusesKeys reports whether API keys are refused,
// because the configuration may not be the newest.
func NewHandler(r *Routes, refusesKeys func() bool, jobs *JobService, log *zap.Logger) (*Handler, error) {
	m, err := newRequestMetrics()
	if err != nil {
		return nil, err
	}
	return &Handler{routes: r, refusesKeys: refusesKeys, jobs: jobs, metrics: m, log: log}, nil
}

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begin := time.Now()
	rec := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
	h.serve(rec, r, begin)
	h.metrics.record(r.Method, rec.status, time.Since(begin))
}

// statusRecorder remembers the status code of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, begin time.Time) {
	cfg := h.routes.current.Load()
	if cfg == nil {
		h.writeError(w, r, codes.NotReady.With("no operator configuration has been read yet", codes.RetryAfter(time.Second)))
		return
	}
	route, id, ok := cfg.find(r.Host, r.URL.Path)
	if !ok {
		h.writeError(w, r, codes.NotFound.Errorf("no queue is configured for this host and path (configuration version %d)", cfg.version))
		return
	}
	from, failure := cfg.authenticate(r, route, h.refusesKeys)
	if failure != "" {
		h.metrics.countRefusedKey(failure)
		h.writeError(w, r, failure.err(cfg.version))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), begin.Add(clientTimeout(r)-responseReserve))
	defer cancel()
	if id == "" {
		h.countPending(ctx, w, r, route)
		return
	}
	if !platform.ValidJobID(id) {
		h.writeError(w, r, codes.InvalidValue.Errorf("job id %q is not 16 hexadecimal digits", id))
		return
	}
	switch r.Method {
	case http.MethodPost:
		h.submit(ctx, w, r, begin, cfg, route, from, id)
	case http.MethodGet:
		h.getState(ctx, w, r, from, id)
	case http.MethodDelete:
		h.cancel(ctx, w, r, from, id)
	default:
		h.writeError(w, r, codes.InvalidValue.Errorf("method %s is not supported", r.Method))
	}
}

// clientTimeout returns how long the client waits for a response.
func clientTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(platform.HeaderDeadline), 64)
	if err != nil || ms <= 0 {
		return defaultClientTimeout
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (h *Handler) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, begin time.Time, cfg *routeTable, route platform.Route, from requester, id string) {
	limit := cfg.maxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		h.writeError(w, r, codes.CallerGone.Errorf("cannot read the request body: %w", err))
		return
	}
	if int64(len(body)) > limit {
		h.writeError(w, r, codes.BodyTooLarge.Errorf("request body exceeds the limit of %d bytes", limit))
		return
	}
	spec, err := platform.DecodeJob(body)
	if err != nil {
		h.writeError(w, r, codes.MalformedBody.Errorf("%w", err))
		return
	}
	q := cfg.queues[route.Queue]
	header := cellsched.NewJobHeader(begin, q)
	cfg.setAccount(&header, from)
	if err := h.submitWithinLimit(ctx, cfg, from, id, header, spec, body); err != nil {
		h.writeError(w, r, err)
		return
	}
	h.log.Info("[front] job accepted", zap.String("job", id), zap.String("queue", route.Queue), accountField(from.account), zap.Int64("configuration", cfg.version))
	w.WriteHeader(http.StatusOK)
}

func (h *Handler) getState(ctx context.Context, w http.ResponseWriter, r *http.Request, from requester, id string) {
	state, err := h.jobs.State(ctx, from, id)
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	writeJSON(w, platform.EncodeState(state))
}

func (h *Handler) cancel(ctx context.Context, w http.ResponseWriter, r *http.Request, from requester, id string) {
	if err := h.jobs.Cancel(ctx, from, id); err != nil {
		h.writeError(w, r, err)
		return
	}
	h.log.Info("[front] job cancelled", zap.String("job", id), accountField(from.account))
	w.WriteHeader(http.StatusOK)
}

func (h *Handler) countPending(ctx context.Context, w http.ResponseWriter, r *http.Request, route platform.Route) {
	n, err := h.jobs.Pending(ctx, route.Queue)
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	writeJSON(w, platform.EncodePending(n))
}

// accountField is the log field of a client account; deployments without accounts have none.
func accountField(account string) zap.Field {
	if account == "" {
		return zap.Skip()
	}
	return zap.String("account", account)
}

// writeJSON writes a response with status 200.
func writeJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // A failure means that the client has disconnected.
}

// writeError logs an error and answers with its result code.
func (h *Handler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	code := codes.Of(err)
	status := code.Info().Status
	reason := zap.Error(err)
	if code != codes.Internal {
		// The code and the message tell the cause. A stack trace for each refused request would
		// be most of the log while callers are refused.
		reason = zap.String("error", err.Error())
	}
	h.log.Info("[front] request refused or failed", zap.String("method", r.Method), zap.String("host", r.Host), zap.String("path", r.URL.Path),
		zap.Int("status", status), zap.Int("code", int(code)), reason)
	if after := codes.RetryAfterOf(err); after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((after+time.Second-1)/time.Second)))
	}
	if code == codes.Unauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	body, marshalErr := json.Marshal(errorBody{Code: int(code), Name: code.Info().Name, Message: err.Error()})
	if marshalErr != nil {
		h.log.Error("[front] cannot encode the error response", zap.Error(marshalErr))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // A failure means that the client has disconnected.
}

// errorBody is the body of an error response.
type errorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
}
