package daemon_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/emulator/engine"
	"github.com/mangoknot/mangoknot/internal/daemon"
	"github.com/mangoknot/mangoknot/internal/dev"
	"github.com/mangoknot/mangoknot/internal/settings"
)

// startDev starts one VM with the settings of --dev and returns it with its key.
func startDev(t *testing.T) (*vm, string) {
	t.Helper()
	s := settings.Settings{
		Dev: true, Listen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		CutOffKeys: "serve", LogFormat: "text", VMListInterval: time.Second, DrainDeadline: time.Minute,
	}
	dev.Complete(&s)
	must.NoError(t, s.Check())
	d, err := daemon.New(s, logr.Discard())
	must.NoError(t, err)
	out := &logBuffer{}
	v := startVM(t, "dev", d, func(group *run.Group) { must.NoError(t, dev.AddActors(group, d, out)) })
	var key string
	eventually(t, "the VM is ready and prints its key", func() bool {
		if match := regexp.MustCompile(`MANGOKNOT_KEY=(\S+)`).FindStringSubmatch(out.String()); match != nil {
			key = match[1]
		}
		return key != "" && v.ready(t)
	})
	return v, key
}

// readStream reads a stream to its end.
func readStream(t *testing.T, client *openai.Client, params openai.ChatCompletionNewParams, options ...option.RequestOption) (*openai.ChatCompletionAccumulator, error) {
	t.Helper()
	stream := client.Chat.Completions.NewStreaming(t.Context(), params, options...)
	defer stream.Close()
	answer := &openai.ChatCompletionAccumulator{}
	for stream.Next() {
		must.True(t, answer.AddChunk(stream.Current()))
	}
	return answer, stream.Err()
}

// programSpend returns the charges of a program in micros (millionths of the
// currency unit).
func programSpend(t *testing.T, v *vm, key, program string) int64 {
	t.Helper()
	status, body := v.get(t, "/v1/programs/"+program, key)
	must.Eq(t, http.StatusOK, status, must.Sprint(body))
	var got struct {
		Spent int64 `json:"spent_micros"`
	}
	must.NoError(t, json.Unmarshal([]byte(body), &got))
	return got.Spent
}

// wantText returns the expected answer of the stand-in engine to the messages.
func wantText(t *testing.T, params openai.ChatCompletionNewParams) string {
	t.Helper()
	body, err := json.Marshal(params)
	must.NoError(t, err)
	answer, err := engine.Settings{}.Answer(body)
	must.NoError(t, err)
	return answer.Text()
}

// Guards against answers that an OpenAI client cannot parse, or that differ
// between plain, streamed and replayed form.
func TestOneVM(t *testing.T) {
	v, key := startDev(t)
	client := v.client(key)
	t.Run("plain and streamed", func(t *testing.T) {
		params := chatParams(user("hello"))
		plain, err := client.Chat.Completions.New(t.Context(), params, inProgram("plain"))
		must.NoError(t, err)
		must.Eq(t, wantText(t, params), plain.Choices[0].Message.Content)
		streamed, err := readStream(t, client, params, inProgram("streamed"))
		must.NoError(t, err)
		must.Eq(t, wantText(t, params), streamed.Choices[0].Message.Content)
		must.Eq(t, "stop", streamed.Choices[0].FinishReason)
	})
	t.Run("tools", func(t *testing.T) {
		params := chatParams(user(`look [[tool:search {"q":1}]]`))
		params.Tools = []openai.ChatCompletionToolUnionParam{openai.ChatCompletionFunctionTool(openai.FunctionDefinitionParam{Name: "search"})}
		first, err := client.Chat.Completions.New(t.Context(), params, inProgram("tools"))
		must.NoError(t, err)
		must.Eq(t, "tool_calls", first.Choices[0].FinishReason)
		call := first.Choices[0].Message.ToolCalls[0]
		must.Eq(t, `{"q":1}`, call.Function.Arguments)
		params.Messages = append(params.Messages, first.Choices[0].Message.ToParam(), openai.ToolMessage("found", call.ID))
		second, err := readStream(t, client, params, inProgram("tools"))
		must.NoError(t, err)
		must.Eq(t, wantText(t, params), second.Choices[0].Message.Content)
	})
	t.Run("resent with the same idempotency key", func(t *testing.T) {
		params := chatParams(user("once"))
		first, err := client.Chat.Completions.New(t.Context(), params, inProgram("resent"), option.WithHeader("Idempotency-Key", "k1"))
		must.NoError(t, err)
		spent := programSpend(t, v, key, "resent")
		must.Positive(t, spent)
		again, err := readStream(t, client, params, inProgram("resent"), option.WithHeader("Idempotency-Key", "k1"))
		must.NoError(t, err)
		must.Eq(t, first.Choices[0].Message.Content, again.Choices[0].Message.Content)
		must.Eq(t, spent, programSpend(t, v, key, "resent"))
		_, err = client.Chat.Completions.New(t.Context(), chatParams(user("other")), inProgram("resent"), option.WithHeader("Idempotency-Key", "k1"))
		var refused *openai.Error
		must.True(t, errors.As(err, &refused))
		must.Eq(t, "idempotency_key_reused", refused.Code)
	})
	t.Run("plain service without a body", func(t *testing.T) {
		status, body := v.get(t, "/v1/services/lookup/a%20b/%3Fc?d=1", key)
		must.Eq(t, http.StatusOK, status, must.Sprint(body))
		must.StrContains(t, body, `"path":"/a b/?c"`)
		must.StrContains(t, body, `"query":"d=1"`)
		status, body = v.get(t, "/v1/services/status/now", "")
		must.Eq(t, http.StatusOK, status, must.Sprint(body))
	})
	t.Run("cancelled half-way", func(t *testing.T) { cancelHalfWay(t, v, client) })
}

// cancelHalfWay guards against an engine that continues after the caller has
// disconnected, and against a program that is blocked by the abandoned call.
func cancelHalfWay(t *testing.T, v *vm, client *openai.Client) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams(user("leave")), inProgram("cancelled"))
	must.True(t, stream.Next())
	cancel()
	must.NoError(t, stream.Close())
	address := v.Node.View().Target("engine-1").Address
	eventually(t, "the engine receives a cancel request", func() bool {
		response, err := http.Get("http://" + address + "/control/requests")
		must.NoError(t, err)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		return strings.Contains(string(data), "/cancel")
	})
	params := chatParams(user("next"))
	next, err := client.Chat.Completions.New(t.Context(), params, inProgram("cancelled"))
	must.NoError(t, err)
	must.Eq(t, wantText(t, params), next.Choices[0].Message.Content)
}
