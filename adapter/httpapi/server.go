package httpapi

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// Limits holds the resource limits of requests and connections.
type Limits struct {
	// BodyBytes limits the size of a request body. The default holds 910,000
	// tokens of about 4 bytes each, plus JSON markup.
	BodyBytes int64
	// HeaderBytes limits the total size of all headers of a request.
	HeaderBytes int
	// ReadTimeout limits the time to read the headers, and then the body.
	ReadTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:   16 << 20,
		HeaderBytes: 32 << 10,
		ReadTimeout: 30 * time.Second,
		IdleTimeout: 2 * time.Minute,
	}
}

// API is the HTTP front end for callers.
type API struct {
	node   port.Frontend
	limits Limits
	log    logr.Logger
}

// New returns a front end that passes requests to node.
func New(node port.Frontend, limits Limits, log logr.Logger) *API {
	return &API{node: node, limits: limits, log: log}
}

// Handler returns the handler of the callers' API and the health checks. A
// non-nil metrics handler is mounted at /metrics.
func (a *API) Handler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", a.authenticated(a.chat))
	mux.HandleFunc("GET /v1/models", a.authenticated(a.models))
	mux.HandleFunc("GET /v1/programs/{name...}", a.authenticated(a.getProgram))
	mux.HandleFunc("DELETE /v1/programs/{name...}", a.authenticated(a.endProgram))
	mux.HandleFunc("GET /v1/history/{name...}", a.authenticated(a.history))
	mux.HandleFunc("/v1/services/{route}/{path...}", a.service)
	mux.HandleFunc("/v1/services/{route}", a.service)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok\n") })
	mux.HandleFunc("GET /readyz", a.ready)
	if metrics != nil {
		mux.Handle("GET /metrics", metrics)
	}
	mux.HandleFunc("/", a.notFound)
	return a.recoverPanics(a.validated(mux))
}

// validated rejects requests with oversized headers or a malformed path before
// they are routed. It also sets the read deadline of the body.
func (a *API) validated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.setReadDeadline(w, r)
		err := a.checkHeaderSize(r.Header)
		if err == nil {
			err = checkPath(r)
		}
		if err != nil {
			a.refuse(w, port.Identity{}, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Server returns an HTTP server that enforces the limits. See Handler for
// metrics.
func (a *API) Server(metrics http.Handler) *http.Server {
	return &http.Server{
		Handler:           a.Handler(metrics),
		ReadHeaderTimeout: a.limits.ReadTimeout,
		IdleTimeout:       a.limits.IdleTimeout,
		// net/http rejects oversized headers without a typed error body, so its limit
		// is higher than the limit that checkHeaderSize enforces.
		MaxHeaderBytes: 4 * a.limits.HeaderBytes,
	}
}

// recoverPanics logs a panic of a handler and responds with a refusal. Its
// outcome is unknown, because a target may already have run the call. If the
// response has started, it closes the connection instead.
func (a *API) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, r *http.Request) {
		w := &startedWriter{ResponseWriter: response}
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value == http.ErrAbortHandler {
				panic(value)
			}
			a.log.Error(nil, "HTTP handler panicked", "value", value, "stack", string(debug.Stack()))
			if w.started {
				panic(http.ErrAbortHandler)
			}
			writeRefusal(w, domain.Unknown(domain.ReasonOverloaded, "internal error on the VM; send the request again with the same Idempotency-Key"))
		}()
		next.ServeHTTP(w, r)
	})
}

// startedWriter records whether a response has started.
type startedWriter struct {
	http.ResponseWriter
	started bool
}

func (w *startedWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

func (w *startedWriter) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// authenticatedHandler handles a request of an authenticated caller. A returned
// error is written to the caller as a refusal.
type authenticatedHandler func(w http.ResponseWriter, r *http.Request, identity port.Identity) error

// authenticated passes only requests with a valid key to next.
func (a *API) authenticated(next authenticatedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		identity, err := a.identify(r)
		if err == nil {
			err = next(w, r, identity)
		}
		if err != nil {
			a.refuse(w, identity, err)
		}
	}
}

func (a *API) identify(r *http.Request) (port.Identity, error) {
	key, err := bearerKey(r.Header)
	if err != nil {
		return port.Identity{}, err
	}
	return a.node.Identify(key)
}

// refuse counts and writes a refusal. Any other error is logged and reported to
// the caller as an unknown outcome.
func (a *API) refuse(w http.ResponseWriter, identity port.Identity, err error) {
	refusal, ok := domain.AsRefusal(err)
	if !ok {
		a.log.Error(err, "request failed with an untyped error; reporting an unknown outcome")
		refusal = domain.Unknown(domain.ReasonOverloaded, "internal error on the VM; send the request again with the same Idempotency-Key")
	}
	a.node.Refused(identity.Account, refusal)
	writeRefusal(w, refusal)
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if a.node.Ready() {
		writeText(w, http.StatusOK, "ready\n")
		return
	}
	writeText(w, http.StatusServiceUnavailable, "not ready: the VM is starting, isolated or stopping\n")
}

func (a *API) notFound(w http.ResponseWriter, r *http.Request) {
	a.refuse(w, port.Identity{}, domain.NotRun(domain.ReasonRouteUnknown,
		"no such path or method; use POST /v1/chat/completions, GET /v1/models, /v1/programs/{name} or /v1/services/{route}"))
}
