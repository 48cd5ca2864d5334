package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// cutServer answers each request with the bytes of the answer and then closes the
// connection, with a reset if reset is true.
func cutServer(t *testing.T, answer func() string, reset bool) *Client {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, answer())
			}
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	settings := quick
	settings.SilenceTimeout = time.Minute
	client := New(settings, func(target domain.Target) *config.TargetSpec {
		kind := config.TargetService
		if target == "engine" {
			kind = config.TargetEngine
		}
		return &config.TargetSpec{Name: target, Kind: kind, Address: listener.Addr().String()}
	}, testr.New(t))
	t.Cleanup(client.Close)
	return client
}

// Guards against an answer of a plain service that is cut in its head or body and passes
// for whole, or makes a request that was sent count as not run.
func TestCutPlainAnswerIsNotWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"length last":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nhello, world",
		"length first": "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Type: text/plain\r\n\r\nhello, world",
		"chunked":      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n",
		"no length":    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhello, world",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				var sent atomic.Int64
				client := cutServer(t, func() string { return answer[:sent.Load()] }, reset)
				for n := range len(answer) {
					sent.Store(int64(n))
					body, err := plainAnswer(client)
					failure := failureOf(t, err)
					must.True(t, failure.MayHaveRun(), must.Sprint(n, body))
				}
				sent.Store(int64(len(answer)))
				if name != "no length" && !reset {
					body, err := plainAnswer(client)
					must.NoError(t, err)
					must.Eq(t, "hello, world", body)
				}
			})
		}
	}
}

// Guards against an answer of a plain service whose status HTTP does not define, such as 000, or that
// leaves HTTP, and that counts as served: it would be stored and charged, and no other target of an
// open route would be asked (MIXED).
func TestAnswerWithoutValidStatusIsInvalid(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			client := cutServer(t, func() string {
				return "HTTP/1.1 " + status + " x\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"
			}, false)
			_, err := plainAnswer(client)
			failure := failureOf(t, err)
			must.Eq(t, port.FailureBadAnswer, failure.Kind)
			must.True(t, failure.MayHaveRun())
		})
	}
}

func plainAnswer(client *Client) (string, error) {
	answer, err := client.Plain(context.Background(), port.PlainCall{Target: "tool", Call: "1", Method: http.MethodPost, Path: "/x",
		MaxBody: 10, MaxAnswer: 1000, Timeout: time.Minute})
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// Guards against an answer of an engine that is cut in its head or body and passes for
// whole, or makes a call that was sent count as not run.
func TestCutEngineAnswerIsNotWhole(t *testing.T) {
	const body = "id: 0\ndata: {\"id\":\"a\"}\n\ndata: [DONE]\n\n"
	for name, answer := range map[string]string{
		"length last":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"length first": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: text/event-stream\r\n\r\n%s", len(body), body),
		"chunked":      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"no length":    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			client := cutServer(t, func() string { return answer[:sent.Load()] }, false)
			// The bytes after the end marker belong to the framing only.
			end := len(answer)
			if name == "chunked" {
				end -= len("\r\n0\r\n\r\n")
			}
			for n := range end {
				sent.Store(int64(n))
				s, err := client.Call(context.Background(), port.TargetCall{Target: "engine", Program: program, Call: "1", Body: chatBody("x", true)})
				if err == nil {
					_, err = drain(t, s, 0)
				}
				must.True(t, failureOf(t, err).MayHaveRun(), must.Sprint(n))
			}
		})
	}
}
