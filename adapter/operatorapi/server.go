package operatorapi

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/adapter/jsonhttp"
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// Limits of operator requests and connections.
const (
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
)

// Operators maps each operator's name to the SHA-256 hash of the token.
type Operators map[string][sha256.Size]byte

// ParseOperators reads an operators file with lines of the form
// name:sha256-of-the-token-in-hex. It skips empty lines and lines that start
// with # and returns an error for a malformed line.
func ParseOperators(r io.Reader) (Operators, error) {
	out := Operators{}
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		name, digest, ok := strings.Cut(text, ":")
		sum, err := hex.DecodeString(digest)
		if !ok || name == "" || err != nil || len(sum) != sha256.Size {
			return nil, fmt.Errorf("operatorapi: line %d of the operators file: write name:sha256 with 64 hex digits, as mangoknot operator hash prints it", line)
		}
		out[name] = [sha256.Size]byte(sum)
	}
	return out, scanner.Err()
}

// HashToken returns the SHA-256 hash of an operator's token.
func HashToken(token string) [sha256.Size]byte { return sha256.Sum256([]byte(token)) }

// find returns the name of the operator with the token. It compares the token
// with every entry in constant time, so that the response time reveals nothing
// about the hashes.
func (o Operators) find(token string) (string, bool) {
	sum := HashToken(token)
	found := ""
	for name, want := range o {
		if subtle.ConstantTimeCompare(sum[:], want[:]) == 1 {
			found = name
		}
	}
	return found, found != ""
}

// API is the HTTP front end for operators.
type API struct {
	node      port.Operations
	operators Operators
	log       logr.Logger
}

// New returns a front end that passes the requests of operators to node.
func New(node port.Operations, operators Operators, log logr.Logger) *API {
	return &API{node: node, operators: operators, log: log}
}

// Server returns an HTTP server that enforces the limits.
func (a *API) Server() *http.Server {
	return &http.Server{
		Handler:           a.Handler(),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Handler returns the handler of the operators' API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", a.state)
	mux.HandleFunc("GET /v1/status", a.status)
	mux.HandleFunc("GET /v1/spend", a.spend)
	mux.HandleFunc("GET /v1/forecast", a.forecast)
	mux.HandleFunc("GET /v1/programs", a.programs)
	mux.HandleFunc("GET /v1/in-force", a.inForce)
	mux.HandleFunc("POST /v1/changes", a.change)
	mux.HandleFunc("POST /v1/keys/{id}/withdraw", a.withdrawKey)
	mux.HandleFunc("POST /v1/voters/{vm}", a.addVoter)
	mux.HandleFunc("DELETE /v1/voters/{vm}", a.removeVoter)
	mux.HandleFunc("POST /v1/drain", a.drain)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, domain.NotRun(domain.ReasonRouteUnknown, "no such path or method; see the operators' API"))
	})
	return a.authenticated(mux)
}

// authenticated passes only requests with an operator's token to next. It limits
// the body size and sets operatorHeader.
func (a *API) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, known := a.operators.find(token)
		if !ok || !known {
			writeError(w, domain.NotRun(domain.ReasonOperatorUnauthorized,
				"send the token of an operator that is listed in the operators file; callers' keys do not work here"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		a.log.V(1).Info("operator request", "operator", operator, "method", r.Method, "path", r.URL.Path)
		r.Header.Set(operatorHeader, operator)
		next.ServeHTTP(w, r)
	})
}

// operatorHeader passes the authenticated operator's name to the handlers. A
// value from the client is always overwritten.
const operatorHeader = "Mangoknot-Operator"

func (a *API) state(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, newState(a.node.View()))
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	status, err := a.node.Status(r.Context())
	writeResult(w, status, err)
}

func (a *API) spend(w http.ResponseWriter, r *http.Request) {
	report, err := a.node.Spend(r.Context())
	writeResult(w, report, err)
}

func (a *API) forecast(w http.ResponseWriter, r *http.Request) {
	preset := config.PresetName(r.URL.Query().Get("preset"))
	if preset == "" {
		preset = a.node.View().Preset().Name
	}
	forecast, err := a.node.Forecast(r.Context(), preset)
	writeResult(w, forecast, err)
}

func (a *API) programs(w http.ResponseWriter, r *http.Request) {
	report, err := a.node.Programs(r.Context(), domain.Account(r.URL.Query().Get("account")))
	writeResult(w, report, err)
}

func (a *API) inForce(w http.ResponseWriter, r *http.Request) {
	var version uint64
	if _, err := fmt.Sscan(r.URL.Query().Get("version"), &version); err != nil {
		writeError(w, badRequest("the query parameter version must be a number"))
		return
	}
	inForce, err := a.node.InForce(r.Context(), version)
	writeResult(w, newChangeResponse(inForce), err)
}

func (a *API) change(w http.ResponseWriter, r *http.Request) {
	var request ChangeRequest
	if err := decode(r.Body, &request); err != nil {
		writeError(w, err)
		return
	}
	command, err := decodeCommand(request)
	if err != nil {
		writeError(w, err)
		return
	}
	inForce, err := a.node.Change(r.Context(), config.Change{
		Operation: request.Operation,
		Base:      request.Base,
		Operator:  r.Header.Get(operatorHeader),
		Command:   command,
	})
	writeResult(w, newChangeResponse(inForce), err)
}

func decodeCommand(request ChangeRequest) (config.Command, error) {
	if request.Operation == "" {
		return nil, badRequest("the field operation is missing; send a new random id, and the same id when you resend")
	}
	newCommand, ok := operatorCommands[request.Kind]
	if !ok {
		return nil, badRequest("the kind %q is not known", request.Kind)
	}
	command := newCommand()
	if err := decode(bytes.NewReader(request.Command), command); err != nil {
		return nil, err
	}
	if put, ok := command.(*config.PutTarget); ok {
		if _, err := netip.ParseAddrPort(put.Target.Address); err != nil {
			return nil, badRequest("target %q: address %q: use an IP number and a port, not a host name", put.Target.Name, put.Target.Address)
		}
	}
	return command, nil
}

func (a *API) withdrawKey(w http.ResponseWriter, r *http.Request) {
	var request WithdrawRequest
	if err := decode(r.Body, &request); err != nil {
		writeError(w, err)
		return
	}
	if request.Operation == "" {
		writeError(w, badRequest("the field operation is missing"))
		return
	}
	inForce, err := a.node.WithdrawKey(r.Context(), request.Operation, config.KeyID(r.PathValue("id")))
	writeResult(w, newChangeResponse(inForce), err)
}

func (a *API) addVoter(w http.ResponseWriter, r *http.Request) {
	writeResult(w, struct{}{}, a.node.AddVoter(r.Context(), domain.VM(r.PathValue("vm"))))
}

func (a *API) removeVoter(w http.ResponseWriter, r *http.Request) {
	writeResult(w, struct{}{}, a.node.RemoveVoter(r.Context(), domain.VM(r.PathValue("vm"))))
}

func (a *API) drain(w http.ResponseWriter, r *http.Request) {
	writeResult(w, struct{}{}, a.node.Drain(r.Context()))
}

func badRequest(format string, args ...any) *domain.Refusal {
	return domain.NotRun(domain.ReasonBadRequest, format, args...)
}

// decode reads exactly one JSON value. It rejects unknown fields, because a
// mistyped field name would otherwise silently change a limit.
func decode(r io.Reader, into any) error {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return domain.NotRun(domain.ReasonTooLarge, "the body is larger than %d bytes; send less", tooLarge.Limit)
		}
		return badRequest("the body is not valid: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return badRequest("the body contains more than one JSON value")
	}
	return nil
}

// ErrorResponse is the response body of a refused operator request.
type ErrorResponse struct {
	Code    domain.Reason `json:"code"`
	Message string        `json:"message"`
	Outcome string        `json:"outcome"`
}

// writeResult writes the body, or the error if it is not nil.
func writeResult(w http.ResponseWriter, body any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, body)
}

// writeError writes a refusal. Any other error is reported as an unknown outcome.
func writeError(w http.ResponseWriter, err error) {
	refusal, ok := domain.AsRefusal(err)
	if !ok {
		refusal = domain.Unknown(domain.ReasonOverloaded, "%v; resend the change with the same operation id", err)
	}
	status := http.StatusServiceUnavailable
	switch refusal.Reason {
	case domain.ReasonOperatorUnauthorized:
		status = http.StatusUnauthorized
	case domain.ReasonBadRequest:
		status = http.StatusBadRequest
	case domain.ReasonConflict:
		status = http.StatusConflict
	case domain.ReasonTooLarge:
		status = http.StatusRequestEntityTooLarge
	case domain.ReasonRouteUnknown:
		status = http.StatusNotFound
	}
	jsonhttp.SetRetryAfter(w.Header(), refusal.RetryAfter)
	jsonhttp.Write(w, status, ErrorResponse{Code: refusal.Reason, Message: refusal.Remedy, Outcome: refusal.Outcome.String()})
}
