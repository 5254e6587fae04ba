// Package peer makes calls between entry VMs over net/rpc. Every call has a deadline and
// carries the trace context, and the number of calls in progress is limited.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/netcount"
)

// maxServerCalls limits the calls that a server handles concurrently. Calls above the limit
// are refused with the outcome "not run".
const maxServerCalls = 4096

// maxCallTimeout applies to calls whose sender gave no timeout or a longer one.
const maxCallTimeout = 10 * time.Minute

// serviceName is the name under which the net/rpc service is registered.
const serviceName = "Peer"

type handlerFunc func(ctx context.Context, from string, body []byte) ([]byte, error)

// Server handles calls from other entry VMs.
type Server struct {
	mu       sync.RWMutex
	handlers map[string]handlerFunc
	conns    map[net.Conn]struct{}
	// slots limits the calls in progress.
	slots  chan struct{}
	tracer trace.Tracer
	rpc    *rpc.Server
	log    *zap.Logger
}

// NewServer returns a server without methods.
func NewServer() *Server {
	s := &Server{
		handlers: make(map[string]handlerFunc),
		conns:    make(map[net.Conn]struct{}),
		slots:    make(chan struct{}, maxServerCalls),
		tracer:   otel.Tracer("rhubarbstall/peer"),
		rpc:      rpc.NewServer(),
		log:      zap.NewNop(),
	}
	if err := s.rpc.RegisterName(serviceName, &service{server: s}); err != nil {
		panic(err) // The service type is fixed, so this is a programming error.
	}
	return s
}

// LogTo sets the logger. It must be called before Serve.
func (s *Server) LogTo(log *zap.Logger) { s.log = log }

// handle calls a method. A panic ends only this call: net/rpc would let it end the process, and a
// caller that repeats its call would end the other entry VMs as well.
func (s *Server) handle(ctx context.Context, h handlerFunc, req *Request) (body []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("[peers] method panicked", zap.String("method", req.Method), zap.String("from", req.From),
				zap.Any("panic", p), zap.Stack("stack"))
			body, err = nil, codes.Internal.Errorf("peer method %s panicked: %v", req.Method, p)
		}
	}()
	return h(ctx, req.From, req.Body)
}

// Handle registers a method. All methods must be registered before Serve is called.
func Handle[A, R any](s *Server, method string, h func(ctx context.Context, from string, args *A) (*R, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = func(ctx context.Context, from string, body []byte) ([]byte, error) {
		args := new(A)
		if err := json.Unmarshal(body, args); err != nil {
			return nil, codes.MalformedBody.Errorf("peer method %s: %w", method, err)
		}
		reply, err := h(ctx, from, args)
		if err != nil {
			return nil, err
		}
		return json.Marshal(reply)
	}
}

// Pauses after a failed accept grow from minAcceptPause to maxAcceptPause.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Serve accepts connections until the listener is closed. An accept that fails otherwise, for example
// because the process has no free file descriptor, is retried: to return would end the process, and
// with it all that it serves on other connections.
func (s *Server) Serve(l net.Listener) error {
	pause := time.Duration(0)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if pause == 0 {
				s.log.Error("[peers] accepting a connection failed; retrying", zap.Error(err))
			}
			pause = min(max(minAcceptPause, 2*pause), maxAcceptPause)
			time.Sleep(pause)
			continue
		}
		pause = 0
		s.track(conn, true)
		go func() {
			defer s.track(conn, false)
			s.rpc.ServeConn(netcount.Wrap(netcount.Peer, conn))
		}()
	}
}

// CloseConnections closes every open connection.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// track records that a connection was opened or closed.
func (s *Server) track(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = struct{}{}
	} else {
		delete(s.conns, conn)
	}
}

// service is the net/rpc receiver.
type service struct {
	server *Server
}

// Call calls a peer method. It returns the method's error in the status, because net/rpc
// transfers only the text of errors.
func (v *service) Call(req *Request, resp *Response) error {
	s := v.server
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		resp.Status = statusOf(codes.TooManyRequests.With("too many concurrent calls from other entry VMs",
			codes.WithOutcome(codes.OutcomeNotRun), codes.RetryAfter(100*time.Millisecond)))
		return nil
	}
	s.mu.RLock()
	h, ok := s.handlers[req.Method]
	s.mu.RUnlock()
	if !ok {
		resp.Status = statusOf(codes.NotFound.Errorf("unknown peer method %q", req.Method))
		return nil
	}
	timeout := time.Duration(req.TimeoutMillis) * time.Millisecond
	if timeout <= 0 || timeout > maxCallTimeout {
		timeout = maxCallTimeout
	}
	ctx := otel.GetTextMapPropagator().Extract(context.Background(), propagation.MapCarrier(req.Trace))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, span := s.tracer.Start(ctx, "peer "+req.Method,
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("peer.from", req.From)))
	defer span.End()
	body, err := s.handle(ctx, h, req)
	if err != nil {
		span.RecordError(err)
	}
	resp.Status = statusOf(err)
	resp.Body = body
	return nil
}
