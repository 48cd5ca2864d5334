package httpapi

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// forwardedHeaders lists the request headers that are forwarded to a plain
// service. All others, in particular keys and cookies, are removed.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Content-Language", "If-Match", "If-None-Match", "Range"}

// returnedHeaders lists the response headers that are returned to a caller.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Content-Disposition", "Etag", "Last-Modified", "Location", "Cache-Control", "Content-Range", replayHeader}

// selectHeaders returns a copy of the named headers.
func selectHeaders(from http.Header, names []string) http.Header {
	out := http.Header{}
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			out[textproto.CanonicalMIMEHeaderKey(name)] = slices.Clone(values)
		}
	}
	return out
}

// service handles a call of a plain service. Open routes ignore the key; all
// other routes require one.
func (a *API) service(w http.ResponseWriter, r *http.Request) {
	route := a.node.View().Route(r.PathValue("route"))
	if route != nil && route.Open {
		a.openService(w, r, route.Name)
		return
	}
	a.authenticated(a.authenticatedService)(w, r)
}

func (a *API) readServiceRequest(w http.ResponseWriter, r *http.Request) (port.ServiceRequest, error) {
	if err := checkSingleValueHeaders(r.Header); err != nil {
		return port.ServiceRequest{}, err
	}
	body, err := a.readBody(w, r)
	if err != nil {
		return port.ServiceRequest{}, err
	}
	return port.ServiceRequest{
		Method: r.Method,
		Path:   servicePath(r),
		Query:  r.URL.RawQuery,
		Header: port.Header(selectHeaders(r.Header, forwardedHeaders)),
		Body:   body,
	}, nil
}

// servicePath returns the path below the route with the caller's escaping, so
// that %2F and %3F in a segment are not decoded into separators.
func servicePath(r *http.Request) string {
	// The path starts with /v1/services/{route}; the part after it is the fifth.
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 5)
	return strings.Join(parts[min(4, len(parts)):], "")
}

func (a *API) openService(w http.ResponseWriter, r *http.Request, route string) {
	request, err := a.readServiceRequest(w, r)
	if err != nil {
		a.refuse(w, port.Identity{}, err)
		return
	}
	answer, err := a.node.CallOpenRoute(r.Context(), route, request)
	if err != nil {
		a.refuse(w, port.Identity{}, err)
		return
	}
	writeServiceAnswer(w, answer)
}

func (a *API) authenticatedService(w http.ResponseWriter, r *http.Request, identity port.Identity) error {
	headers, err := readCallHeaders(r.Header)
	if err != nil {
		return err
	}
	request, err := a.readServiceRequest(w, r)
	if err != nil {
		return err
	}
	spec := port.CallSpec{
		Identity:       identity,
		Program:        headers.program,
		Parent:         headers.parent,
		Route:          r.PathValue("route"),
		IdempotencyKey: headers.idempotencyKey,
		Fingerprint:    serviceFingerprint(r.PathValue("route"), request),
	}
	answer, program, err := a.node.Service(r.Context(), spec, request, serviceExchange{})
	if err != nil {
		return err
	}
	w.Header().Set(programHeader, string(program.Name))
	writeServiceAnswer(w, answer)
	return nil
}

// storedAnswer is the stored form of a plain service's response. In the program's
// history it is a turn without messages.
type storedAnswer struct {
	Service *serviceAnswer `json:"service"`
}

type serviceAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// serviceExchange implements port.ServiceExchange.
type serviceExchange struct{}

// Encode implements port.ServiceExchange.
func (serviceExchange) Encode(answer *port.ServiceAnswer) ([]byte, error) {
	header := selectHeaders(http.Header(answer.Header), returnedHeaders)
	return json.Marshal(storedAnswer{Service: &serviceAnswer{Status: answer.Status, Header: header, Body: answer.Body}})
}

// Decode implements port.ServiceExchange.
func (serviceExchange) Decode(stored []byte) (*port.ServiceAnswer, error) {
	var answer storedAnswer
	if err := json.Unmarshal(stored, &answer); err != nil || answer.Service == nil {
		return nil, fmt.Errorf("httpapi: decode the stored answer: %w", err)
	}
	header := answer.Service.Header
	if header == nil {
		header = http.Header{}
	}
	header.Set(replayHeader, "true")
	return &port.ServiceAnswer{Status: answer.Service.Status, Header: port.Header(header), Body: answer.Service.Body}, nil
}

// serviceFingerprint returns a hash of the request that the service receives.
func serviceFingerprint(route string, r port.ServiceRequest) [32]byte {
	h := sha256.New()
	for _, part := range []string{route, r.Method, r.Path, r.Query, http.Header(r.Header).Get("Content-Type")} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(r.Body)
	var sum [32]byte
	h.Sum(sum[:0])
	return sum
}

// maxServiceStatus is the highest status code that HTTP defines a class for.
const maxServiceStatus = 599

func writeServiceAnswer(w http.ResponseWriter, answer *port.ServiceAnswer) {
	if answer.Status < http.StatusOK || answer.Status > maxServiceStatus {
		// Earlier builds have stored such answers.
		writeRefusal(w, domain.Unknown(domain.ReasonTargetFailed, "the service returned the invalid HTTP status %d", answer.Status))
		return
	}
	header := w.Header()
	for name, values := range selectHeaders(http.Header(answer.Header), returnedHeaders) {
		header[name] = values
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
