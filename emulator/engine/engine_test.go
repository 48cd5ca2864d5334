package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func serve(t *testing.T, settings Settings) (*Engine, string) {
	t.Helper()
	e := New(settings)
	server := httptest.NewServer(e)
	t.Cleanup(func() { must.NoError(t, e.Close()); server.Close() })
	return e, server.URL
}

func post(t *testing.T, url, program, call, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	must.NoError(t, err)
	r.Header.Set(HeaderProgram, program)
	r.Header.Set(HeaderCall, call)
	response, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, string(data)
}

func chatBody(content, rest string) string {
	return fmt.Sprintf(`{"model":"model-a","messages":[{"role":"user","content":%q}]%s}`, content, rest)
}

type answer struct {
	Choices []struct {
		Message struct {
			Content   string `json:"content"`
			ToolCalls []struct {
				Function struct{ Name, Arguments string } `json:"function"`
			} `json:"tool_calls"`
		} `json:"message"`
		Delta        struct{ Content string } `json:"delta"`
		FinishReason string                   `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Details    struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func chat(t *testing.T, url, program, call, body string) (out answer) {
	t.Helper()
	status, data := post(t, url+"/v1/chat/completions", program, call, body)
	must.Eq(t, http.StatusOK, status, must.Sprint(data))
	must.NoError(t, json.Unmarshal([]byte(data), &out))
	return out
}

var fast = Settings{TimeScale: 1e4}

// Guards against answers that tests cannot predict: streamed and plain answers to
// equal requests must match Settings.Answer, also with limits and tools.
func TestAnswersAreDeterministic(t *testing.T) {
	_, url := serve(t, fast)
	tools := `,"tools":[{"type":"function","function":{"name":"search"}}]`
	for i, c := range []struct{ content, rest, finish string }{
		{"hello", "", "stop"},
		{"hello", `,"max_tokens":3`, "length"},
		{`find [[tool:search {"q":1}]]`, tools, "tool_calls"},
		{"find [[tool:other]]", tools, "stop"},
	} {
		body := chatBody(c.content, c.rest)
		want, err := fast.Answer([]byte(body))
		must.NoError(t, err)
		got := chat(t, url, "a/p", fmt.Sprint("plain", i), body)
		must.Eq(t, want.Text(), got.Choices[0].Message.Content)
		must.Eq(t, c.finish, got.Choices[0].FinishReason)
		must.Eq(t, want.PromptTokens, got.Usage.Prompt)
		must.Eq(t, want.generatedTokens(), got.Usage.Completion)
		if c.finish == "tool_calls" {
			must.Eq(t, `{"q":1}`, got.Choices[0].Message.ToolCalls[0].Function.Arguments)
		}
		_, data := post(t, url+"/v1/chat/completions", "a/p", fmt.Sprint("stream", i),
			chatBody(c.content, c.rest+`,"stream":true,"stream_options":{"include_usage":true}`))
		text, usage := streamed(t, data)
		must.Eq(t, want.Text(), text)
		must.Eq(t, want.generatedTokens(), usage)
	}
	status, _ := post(t, url+"/v1/chat/completions", "a/p", "plain0", chatBody("hello", ""))
	must.Eq(t, http.StatusConflict, status)
}

func streamed(t *testing.T, data string) (text string, usage int) {
	t.Helper()
	must.StrHasSuffix(t, "data: [DONE]\n\n", data)
	for line := range strings.Lines(data) {
		payload, found := strings.CutPrefix(line, "data: {")
		if !found {
			continue
		}
		var chunk answer
		must.NoError(t, json.Unmarshal([]byte("{"+payload), &chunk))
		if len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
		usage += chunk.Usage.Completion
	}
	return text, usage
}

// Guards against a prefix cache that exceeds its capacity or omits the answer,
// which is part of the next turn's prefix.
func TestPrefixCache(t *testing.T) {
	settings := fast
	settings.CacheTokens = 20 * blockTokens
	e, url := serve(t, settings)
	long := strings.Repeat("0123456789abcdef", 40) // 160 tokens, 10 blocks
	must.Eq(t, 0, chat(t, url, "a/1", "1", chatBody(long, "")).Usage.Details.Cached)
	must.Eq(t, 10*blockTokens, chat(t, url, "a/1", "2", chatBody(long, "")).Usage.Details.Cached)
	first, err := settings.Answer([]byte(chatBody(long, "")))
	must.NoError(t, err)
	turn := fmt.Sprintf(`{"model":"model-a","messages":[{"role":"user","content":%q},{"role":"assistant","content":%q},{"role":"user","content":"go on"}]}`, long, first.Text())
	must.Greater(t, 10*blockTokens, chat(t, url, "a/1", "3", turn).Usage.Details.Cached)
	for i := range 3 {
		chat(t, url, "a/2", fmt.Sprint("other", i), chatBody(fmt.Sprint(i)+long, ""))
	}
	must.Eq(t, 0, chat(t, url, "a/1", "4", chatBody(long, "")).Usage.Details.Cached)
	var load Load
	e.do(func(s *state) { load = s.loads[len(s.loads)-1].load })
	must.LessEq(t, settings.CacheTokens, load.Tokens)
}

// Guards against steps that do not take longer in a fuller batch or with more
// prefill, and against a slow fault without effect.
func TestStepTime(t *testing.T) {
	s := newState(Settings{DecodePerSecond: 100, TimeScale: 10}.withDefaults())
	must.Less(t, s.stepTime(0, 8), s.stepTime(0, 1))
	must.Less(t, s.stepTime(512, 1), s.stepTime(0, 1))
	normal := s.stepTime(0, 1)
	s.faults.slow = 4
	must.Eq(t, 4*normal, s.stepTime(0, 1))
}

// Guards against load reports that ignore LoadLag, a hang that cannot be cleared,
// and an idle stream of cache events without heartbeats.
func TestLagAndHang(t *testing.T) {
	settings := fast
	settings.LoadLag, settings.Heartbeat = time.Hour, time.Millisecond
	e, url := serve(t, settings)
	chat(t, url, "a/1", "1", chatBody(strings.Repeat("x", 400), ""))
	response, err := http.Get(url + "/control/load")
	must.NoError(t, err)
	var load Load
	must.NoError(t, json.NewDecoder(response.Body).Decode(&load))
	response.Body.Close()
	must.Eq(t, 0, load.Tokens)

	e.Inject(Fault{Kind: FaultHang})
	result := make(chan error, 1)
	go func() {
		response, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(chatBody("x", "")))
		if err == nil {
			err = response.Body.Close()
		}
		result <- err
	}()
	status, _ := post(t, url+"/control/fault", "", "", `{"kind":"clear"}`)
	must.Eq(t, http.StatusOK, status)
	must.NoError(t, <-result)

	response, err = http.Get(url + "/control/cache-events")
	must.NoError(t, err)
	defer response.Body.Close()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "\n", line)
}
