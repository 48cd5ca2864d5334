package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// fakeNode counts the changes that reach the node and refuses each of them.
type fakeNode struct {
	port.Operations
	changes int
}

func (n *fakeNode) Change(context.Context, config.Change) (port.InForce, error) {
	n.changes++
	return port.InForce{}, domain.Unknown(domain.ReasonNoLeader, "no leader").After(1500 * time.Millisecond)
}

// Guards against malformed operator requests that reach the node, error responses
// that are not JSON or have no remedy, and temporary refusals without a
// Retry-After header.
func TestRefusals(t *testing.T) {
	account := `{"operation":"o","base":1,"kind":"PutAccount","command":`
	for name, c := range map[string]struct {
		token, path, body string
		status, changes   int
	}{
		"wrong token":    {"planted", "/v1/changes", account + `{}}`, 401, 0},
		"no token":       {"", "/v1/changes", account + `{}}`, 401, 0},
		"unknown field":  {"good", "/v1/changes", account + `{"Acount":{}}}`, 400, 0},
		"unknown kind":   {"good", "/v1/changes", `{"operation":"o","kind":"AssignShard","command":{}}`, 400, 0},
		"no operation":   {"good", "/v1/changes", `{"kind":"PutAccount","command":{}}`, 400, 0},
		"host name":      {"good", "/v1/changes", `{"operation":"o","kind":"PutTarget","command":{"Target":{"Name":"t","Address":"localhost:1"}}}`, 400, 0},
		"large body":     {"good", "/v1/changes", `{"operation":"` + strings.Repeat("x", 2<<20) + `"}`, 413, 0},
		"unknown path":   {"good", "/v1/nothing", "", 404, 0},
		"without leader": {"good", "/v1/changes", account + `{}}`, 503, 1},
	} {
		t.Run(name, func(t *testing.T) {
			node := &fakeNode{}
			r := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
			r.Header.Set("Authorization", "Bearer "+c.token)
			w := httptest.NewRecorder()
			New(node, Operators{"ops": HashToken("good")}, logr.Discard()).Handler().ServeHTTP(w, r)
			var got ErrorResponse
			must.NoError(t, json.Unmarshal(w.Body.Bytes(), &got), must.Sprint(w.Body.String()))
			must.Eq(t, c.status, w.Code, must.Sprint(w.Body.String()))
			must.NotEq(t, "", got.Message)
			must.StrNotContains(t, w.Body.String(), "planted")
			must.Eq(t, c.changes, node.changes)
			if c.status == http.StatusServiceUnavailable {
				must.Eq(t, "2", w.Header().Get("Retry-After"))
			}
		})
	}
}
