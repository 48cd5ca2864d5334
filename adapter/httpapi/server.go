package httpapi

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// Limits bounds what one request may cost the front end.
type Limits struct {
	// BodyBytes bounds a request body: 910,000 tokens of about 4 bytes with
	// room for markup.
	BodyBytes int64
	// HeaderBytes bounds all headers of a request.
	HeaderBytes int
	// ReadTimeout bounds the time to read a whole request.
	ReadTimeout time.Duration
	// IdleTimeout closes connections that carry no request.
	IdleTimeout time.Duration
}

// DefaultLimits returns the limits used unless settings say otherwise.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:   16 << 20,
		HeaderBytes: 32 << 10,
		ReadTimeout: 30 * time.Second,
		IdleTimeout: 2 * time.Minute,
	}
}

// API is the callers' front end.
type API struct {
	node   port.Frontend
	limits Limits
	log    logr.Logger
}

// New returns the front end of a node.
func New(node port.Frontend, limits Limits, log logr.Logger) *API {
	return &API{node: node, limits: limits, log: log}
}

// Handler serves the callers' interface and the health checks. The metrics
// handler is mounted under /metrics when it is not nil.
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

// validated refuses requests whose headers or path are malformed before they are
// routed.
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

// Server returns an HTTP server with the limits set.
func (a *API) Server(metrics http.Handler) *http.Server {
	return &http.Server{
		Handler:           a.Handler(metrics),
		ReadHeaderTimeout: a.limits.ReadTimeout,
		IdleTimeout:       a.limits.IdleTimeout,
		// net/http refuses without a body, so its bound is above the front end's.
		MaxHeaderBytes: 4 * a.limits.HeaderBytes,
	}
}

// recoverPanics turns a panic of a handler into a logged refusal instead of a
// broken process. The outcome is unknown, because a target may have run.
func (a *API) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value == http.ErrAbortHandler {
				panic(value)
			}
			a.log.Error(nil, "a handler panicked", "value", value, "stack", string(debug.Stack()))
			writeRefusal(w, domain.Unknown(domain.ReasonOverloaded, "the VM met an internal error; send the request again with the same Idempotency-Key"))
		}()
		next.ServeHTTP(w, r)
	})
}

// authenticatedHandler answers a request of an identified caller, or returns the error
// that refuses it.
type authenticatedHandler func(w http.ResponseWriter, r *http.Request, identity port.Identity) error

// authenticated admits requests with a valid key only.
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

// refuse counts and writes a refusal; other errors become an unknown outcome.
func (a *API) refuse(w http.ResponseWriter, identity port.Identity, err error) {
	refusal, ok := domain.AsRefusal(err)
	if !ok {
		a.log.Error(err, "a request failed without a typed refusal")
		refusal = domain.Unknown(domain.ReasonOverloaded, "the VM met an internal error; send the request again with the same Idempotency-Key")
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
