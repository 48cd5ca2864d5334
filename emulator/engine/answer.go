package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strings"
)

// created is a fixed Unix time, so that equal requests have equal answers.
const created = 1_700_000_000

// toolMarker matches the text that requests a tool call.
var toolMarker = regexp.MustCompile(`\[\[tool:([A-Za-z0-9_-]+)(?: (\{.*\}))?\]\]`)

type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Tools []struct {
		Function struct {
			Name string `json:"name"`
		} `json:"function"`
	} `json:"tools"`
}

type chatMessage struct {
	Role      string          `json:"role"`
	Content   json.RawMessage `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) != nil {
		text = string(m.Content)
	}
	return text + string(m.ToolCalls)
}

// Answer is the complete answer to a chat completion request.
type Answer struct {
	ID string
	// Tokens are the texts of the generated tokens.
	Tokens       []string
	Tool         string // name of the called tool, if any
	Arguments    string
	FinishReason string
	PromptTokens int
	model        string
	prompt       string
	includeUsage bool
	stream       bool
}

// Text returns the complete text of the answer.
func (a *Answer) Text() string { return strings.Join(a.Tokens, "") }

// generatedTokens returns the number of generated tokens.
func (a *Answer) generatedTokens() int {
	if a.Tool != "" {
		return countTokens(a.Tool + a.Arguments)
	}
	return len(a.Tokens)
}

// Answer returns the engine's answer to the body of a chat completion request.
// It depends only on the settings and on the request's model, messages, tools and
// limit. The error says why the body is not a valid request.
func (s Settings) Answer(body []byte) (*Answer, error) {
	var r chatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("the body is not a chat completion request: %w", err)
	}
	if len(r.Messages) == 0 {
		return nil, errors.New("the request holds no messages")
	}
	var prompt strings.Builder
	for _, m := range r.Messages {
		prompt.WriteString(m.Role + "\n" + m.text() + "\n")
	}
	a := &Answer{
		FinishReason: "stop", model: r.Model, prompt: prompt.String(),
		PromptTokens: countTokens(prompt.String()), includeUsage: r.StreamOptions.IncludeUsage, stream: r.Stream,
	}
	sum := sha256.Sum256([]byte(r.Model + "\x00" + a.prompt))
	a.ID = "chatcmpl-" + hex.EncodeToString(sum[:8])
	if a.callTool(r) {
		return a, nil
	}
	a.generateText(sum, s.withDefaults().AnswerTokens, max(r.MaxTokens, r.MaxCompletionTokens))
	return a, nil
}

// callTool makes the answer a tool call if the last message requests one of a
// declared tool.
func (a *Answer) callTool(r chatRequest) bool {
	match := toolMarker.FindStringSubmatch(r.Messages[len(r.Messages)-1].text())
	if match == nil {
		return false
	}
	for _, tool := range r.Tools {
		if tool.Function.Name == match[1] {
			a.Tool, a.Arguments, a.FinishReason = match[1], match[2], "tool_calls"
			if a.Arguments == "" {
				a.Arguments = "{}"
			}
			return true
		}
	}
	return false
}

// generateText generates pseudo-random text of longest/2 to longest tokens, at
// most limit if that is above 0.
func (a *Answer) generateText(sum [32]byte, longest, limit int) {
	random := rand.New(rand.NewPCG(binary.BigEndian.Uint64(sum[:8]), binary.BigEndian.Uint64(sum[8:])))
	n := max(1, longest/2+random.IntN(longest/2+1))
	if limit > 0 && limit < n {
		n, a.FinishReason = limit, "length"
	}
	for range n {
		a.Tokens = append(a.Tokens, string([]byte{
			byte('a' + random.IntN(26)), byte('a' + random.IntN(26)), byte('a' + random.IntN(26)), ' ',
		}))
	}
}

type object = map[string]any

func (a *Answer) usage(cached int) object {
	return object{
		"prompt_tokens": a.PromptTokens, "completion_tokens": a.generatedTokens(), "total_tokens": a.PromptTokens + a.generatedTokens(),
		"prompt_tokens_details": object{"cached_tokens": cached},
	}
}

func (a *Answer) toolCalls() []object {
	return []object{{
		"index": 0, "id": "call_" + strings.TrimPrefix(a.ID, "chatcmpl-"), "type": "function",
		"function": object{"name": a.Tool, "arguments": a.Arguments},
	}}
}

// chunk returns a streamed event.
func (a *Answer) chunk(delta object, finish any) []byte {
	return a.encode("chat.completion.chunk", []object{{"index": 0, "delta": delta, "finish_reason": finish}}, nil)
}

func (a *Answer) encode(kind string, choices []object, usage any) []byte {
	out := object{"id": a.ID, "object": kind, "created": created, "model": a.model, "choices": choices}
	if usage != nil {
		out["usage"] = usage
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic(err) // the values are strings, numbers and maps, which always encode
	}
	return data
}

// finalEvents returns the last events of a stream, or the only event of an answer
// that is not streamed.
func (a *Answer) finalEvents(cached int) [][]byte {
	if !a.stream {
		message := object{"role": "assistant", "content": a.Text()}
		if a.Tool != "" {
			message = object{"role": "assistant", "content": nil, "tool_calls": a.toolCalls()}
		}
		choice := object{"index": 0, "message": message, "finish_reason": a.FinishReason}
		return [][]byte{a.encode("chat.completion", []object{choice}, a.usage(cached))}
	}
	events := [][]byte{a.chunk(object{}, a.FinishReason)}
	if a.includeUsage {
		events = append(events, a.encode("chat.completion.chunk", []object{}, a.usage(cached)))
	}
	return events
}
