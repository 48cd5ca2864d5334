package httpapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/mangoknot/mangoknot/adapter/jsonhttp"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// chatExchange implements port.ChatExchange for one model call in the OpenAI
// protocol. Requests to engines always use streaming, so that every answer can
// be resumed. If the caller did not request a stream, the answer is collected
// here and sent as one response.
type chatExchange struct {
	w           http.ResponseWriter
	request     *chatRequest
	newMessages bool
	// started reports whether the response to the caller has started.
	started      bool
	message      answerMessage
	finishReason string
	usage        json.RawMessage
	id           string
	created      int64
	// finalEvents holds the events that complete the stream. They are sent by
	// Commit.
	finalEvents [][]byte
}

var _ port.ChatExchange = (*chatExchange)(nil)

func newChatExchange(w http.ResponseWriter, request *chatRequest, newMessages bool) *chatExchange {
	return &chatExchange{w: w, request: request, newMessages: newMessages}
}

// Accepted implements port.ChatExchange.
func (e *chatExchange) Accepted(program domain.ProgramID, call domain.CallID) {
	e.w.Header().Set(programHeader, string(program.Name))
	e.w.Header().Set(callHeader, string(call))
}

// Body implements port.ChatExchange.
func (e *chatExchange) Body(turns [][]byte, limit domain.Tokens) ([]byte, error) {
	messages := e.request.messages
	if e.newMessages {
		stored, err := conversation(turns)
		if err != nil {
			return nil, err
		}
		messages = append(stored, messages...)
	}
	fields := maps.Clone(e.request.rawFields)
	delete(fields, "max_completion_tokens")
	set := func(name string, value any) error {
		data, err := json.Marshal(value)
		fields[name] = data
		return err
	}
	err := errors.Join(
		set("messages", messages),
		set("stream", true),
		set("stream_options", streamOptions{IncludeUsage: true}),
		set("max_tokens", limit),
	)
	if err != nil {
		return nil, fmt.Errorf("httpapi: encode the request to the engine: %w", err)
	}
	return json.Marshal(fields)
}

// Event implements port.ChatExchange.
func (e *chatExchange) Event(payload []byte) error {
	var c completionChunk
	if err := json.Unmarshal(payload, &c); err != nil {
		return fmt.Errorf("httpapi: decode an event of the engine: %w", err)
	}
	if c.ID != "" {
		e.id, e.created = c.ID, c.Created
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		e.usage = c.Usage
	}
	for _, choice := range c.Choices {
		if err := e.message.add(choice); err != nil {
			return err
		}
		if choice.FinishReason != nil {
			e.finishReason = *choice.FinishReason
		}
	}
	if !e.request.stream {
		return nil
	}
	if e.finishReason != "" {
		if len(c.Choices) > 0 || e.request.includeUsage {
			e.finalEvents = append(e.finalEvents, append([]byte(nil), payload...))
		}
		return nil
	}
	return e.write(payload)
}

func (e *chatExchange) startResponse(contentType string) {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", contentType)
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

func (e *chatExchange) write(payload []byte) error {
	e.startResponse("text/event-stream")
	_, err := e.w.Write(sseFrame(payload))
	if err == nil {
		err = http.NewResponseController(e.w).Flush()
	}
	if err != nil {
		return domain.Unknown(domain.ReasonCallerGone, "the caller's connection was closed")
	}
	return nil
}

// Turn implements port.ChatExchange. If the caller sent the whole conversation
// and it continues the stored one, only the added messages are stored. Storing
// the whole conversation at each turn would need space quadratic in the number
// of turns.
func (e *chatExchange) Turn(earlier port.Conversation) ([]byte, port.Conversation, error) {
	if e.finishReason == "" {
		return nil, port.Conversation{}, errors.New("httpapi: the engine's answer has no finish reason and is incomplete")
	}
	answer, err := e.message.encode()
	if err != nil {
		return nil, port.Conversation{}, err
	}
	added, replacesHistory := e.request.messages, false
	after := earlier
	if !e.newMessages {
		added, after, replacesHistory = addedMessages(e.request.messages, earlier)
	}
	for _, message := range added {
		after = appendMessage(after, message)
	}
	after = appendMessage(after, answer)
	data, err := json.Marshal(storedTurn{
		ReplacesHistory: replacesHistory,
		Messages:        added,
		Answer:          answer,
		FinishReason:    e.finishReason,
		Usage:           e.usage,
		Model:           string(e.request.model),
		ID:              e.id,
	})
	return data, after, err
}

// Commit implements port.ChatExchange.
func (e *chatExchange) Commit() error {
	if !e.request.stream {
		return e.writeCompletion()
	}
	for _, payload := range e.finalEvents {
		if err := e.write(payload); err != nil {
			return err
		}
	}
	return e.write([]byte("[DONE]"))
}

type chatCompletion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chatChoice    `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int             `json:"index"`
	Message      json.RawMessage `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

func (e *chatExchange) writeCompletion() error {
	answer, err := e.message.encode()
	if err != nil {
		return err
	}
	e.started = true
	jsonhttp.Write(e.w, http.StatusOK, chatCompletion{
		ID: e.id, Object: "chat.completion", Created: e.created, Model: string(e.request.model),
		Choices: []chatChoice{{Message: answer, FinishReason: e.finishReason}},
		Usage:   e.usage,
	})
	return nil
}

// replayHeader is set on a response that replays the stored answer of an earlier
// request with the same idempotency key.
const replayHeader = "Mangoknot-Replayed"

// Replay implements port.ChatExchange. A stream is replayed with the whole
// answer in one delta.
func (e *chatExchange) Replay(data []byte) error {
	var t storedTurn
	if err := json.Unmarshal(data, &t); err != nil {
		return fmt.Errorf("httpapi: decode the stored answer: %w", err)
	}
	e.w.Header().Set(replayHeader, "true")
	e.id, e.created, e.usage, e.finishReason = t.ID, time.Now().Unix(), t.Usage, t.FinishReason
	var message struct {
		Content   *string          `json:"content"`
		Refusal   string           `json:"refusal"`
		ToolCalls []storedToolCall `json:"tool_calls"`
	}
	if err := json.Unmarshal(t.Answer, &message); err != nil {
		return fmt.Errorf("httpapi: decode the stored answer: %w", err)
	}
	if message.Content != nil {
		e.message.content.WriteString(*message.Content)
	}
	e.message.refusal.WriteString(message.Refusal)
	for i, call := range message.ToolCalls {
		e.message.toolCalls = append(e.message.toolCalls, toolCall{Index: i, ID: call.ID, Type: call.Type, Function: call.Function})
	}
	if !e.request.stream {
		return e.writeCompletion()
	}
	return e.replayStream()
}

type replayDelta struct {
	Role      string     `json:"role,omitempty"`
	Content   string     `json:"content,omitempty"`
	Refusal   string     `json:"refusal,omitempty"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type replayChoice struct {
	Index        int         `json:"index"`
	Delta        replayDelta `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type replayChunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []replayChoice  `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

func (e *chatExchange) replayStream() error {
	base := replayChunk{ID: e.id, Object: "chat.completion.chunk", Created: e.created, Model: string(e.request.model)}
	delta := base
	delta.Choices = []replayChoice{{Delta: replayDelta{
		Role: "assistant", Content: e.message.content.String(), Refusal: e.message.refusal.String(), ToolCalls: e.message.toolCalls,
	}}}
	end := base
	end.Choices = []replayChoice{{FinishReason: &e.finishReason}}
	chunks := []replayChunk{delta, end}
	if e.request.includeUsage {
		usage := base
		usage.Choices, usage.Usage = []replayChoice{}, e.usage
		chunks = append(chunks, usage)
	}
	for _, c := range chunks {
		payload, err := json.Marshal(c)
		if err != nil {
			return err
		}
		if err := e.write(payload); err != nil {
			return err
		}
	}
	return e.write([]byte("[DONE]"))
}
