package tool

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a call that runs twice and goes undetected: effects are counted
// by request id, also when the service crashes after the effect.
func TestEffects(t *testing.T) {
	service := New()
	server := httptest.NewServer(service)
	t.Cleanup(func() { must.NoError(t, service.Close()); server.Close() })
	call := func(method, id string) (int, Echo, error) {
		r, err := http.NewRequest(method, server.URL+"/orders/7?x=1", strings.NewReader("body"))
		must.NoError(t, err)
		r.Header.Set(HeaderRequest, id)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, Echo{}, err
		}
		defer response.Body.Close()
		var echo Echo
		must.NoError(t, json.NewDecoder(response.Body).Decode(&echo))
		return response.StatusCode, echo, nil
	}
	status, echo, err := call(http.MethodPatch, "a")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, Echo{Method: "PATCH", Path: "/orders/7", Query: "x=1", Body: []byte("body"), Effects: 1}, echo)

	service.Inject(Fault{Crash: true})
	_, _, err = call(http.MethodPost, "a")
	must.Error(t, err)
	service.Inject(Fault{CrashBefore: true})
	_, _, err = call(http.MethodPost, "b")
	must.Error(t, err)
	service.Inject(Fault{Status: http.StatusServiceUnavailable})
	status, _, err = call(http.MethodPost, "c")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Eq(t, map[string]int{"a": 2, "c": 1}, service.Effects())
	must.SliceLen(t, 4, service.Requests())
}
