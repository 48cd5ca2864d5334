package node

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/port"
)

// recordingTargets records the last plain call.
type recordingTargets struct {
	port.Targets
	call port.PlainCall
}

func (p *recordingTargets) Plain(_ context.Context, call port.PlainCall) (*port.PlainAnswer, error) {
	p.call = call
	return &port.PlainAnswer{Status: 200, Body: io.NopCloser(strings.NewReader("answer"))}, nil
}

// Guards against a request without a body that is sent with a size limit of 0,
// which the target adapter refuses.
func TestServiceCallHasLimits(t *testing.T) {
	for _, body := range []string{"", "body"} {
		targets := &recordingTargets{}
		n := &Node{config: Config{MaxAnswerBytes: 100}, ports: Ports{Targets: targets}}
		route := &config.RouteSpec{Name: "lookup", Timeout: time.Second}
		answer, err := n.callService(t.Context(), route, port.ServiceRequest{Method: "GET", Body: []byte(body)}, "tools", "call")
		must.NoError(t, err)
		must.Eq(t, "answer", string(answer.Body))
		must.Eq(t, int64(len(body)), targets.call.BodyLength)
		must.Positive(t, targets.call.MaxBody)
		must.GreaterEq(t, targets.call.BodyLength, targets.call.MaxBody)
	}
}
