package httpapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// storedTurn is the stored form of one turn: the messages that it added to the
// conversation. A turn with ReplacesHistory set replaces all earlier messages.
type storedTurn struct {
	ReplacesHistory bool              `json:"whole,omitempty"`
	Messages        []json.RawMessage `json:"messages"`
	// Answer is the engine's message, the last message of the turn.
	Answer json.RawMessage `json:"answer"`
	// FinishReason and Usage are returned when the answer is replayed.
	FinishReason string          `json:"finish"`
	Usage        json.RawMessage `json:"usage,omitempty"`
	Model        string          `json:"model"`
	ID           string          `json:"id"`
	// Service is set on a plain service call, which adds no messages.
	Service json.RawMessage `json:"service,omitempty"`
}

// conversation returns the messages of the stored turns, oldest first.
func conversation(turns [][]byte) ([]json.RawMessage, error) {
	var out []json.RawMessage
	for i, data := range turns {
		var t storedTurn
		if err := json.Unmarshal(data, &t); err != nil {
			return nil, fmt.Errorf("httpapi: decode stored turn %d: %w", i, err)
		}
		if t.Service != nil {
			continue
		}
		if t.ReplacesHistory {
			out = nil
		}
		out = append(out, t.Messages...)
		out = append(out, t.Answer)
	}
	return out, nil
}

// addedMessages returns the messages that a whole conversation adds to the
// stored one, and the conversation that they extend. If the messages do not
// start with the stored conversation, replacesHistory is true, all messages
// are returned and base is empty.
func addedMessages(messages []json.RawMessage, earlier port.Conversation) (added []json.RawMessage, base port.Conversation, replacesHistory bool) {
	if earlier.Messages <= len(messages) {
		var prefix port.Conversation
		for _, message := range messages[:earlier.Messages] {
			prefix = appendMessage(prefix, message)
		}
		if prefix == earlier {
			return messages[earlier.Messages:], earlier, false
		}
	}
	return messages, port.Conversation{}, true
}

// appendMessage returns the conversation extended by one message in its hash
// chain.
func appendMessage(c port.Conversation, message json.RawMessage) port.Conversation {
	h := sha256.New()
	h.Write(c.Digest[:])
	h.Write(canonicalMessage(message))
	next := port.Conversation{Messages: c.Messages + 1}
	h.Sum(next.Digest[:0])
	return next
}

// canonicalMessage encodes the fields of a message that client libraries
// preserve when they send an answer back. They may add or drop null fields.
func canonicalMessage(message json.RawMessage) []byte {
	var fields struct {
		Role       string           `json:"role"`
		Name       string           `json:"name,omitempty"`
		Content    json.RawMessage  `json:"content,omitempty"`
		Refusal    string           `json:"refusal,omitempty"`
		ToolCalls  []storedToolCall `json:"tool_calls,omitempty"`
		ToolCallID string           `json:"tool_call_id,omitempty"`
	}
	if err := json.Unmarshal(message, &fields); err != nil {
		return message
	}
	if string(fields.Content) == "null" || string(fields.Content) == `""` {
		fields.Content = nil
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return message
	}
	return data
}

// answerMessage builds an assistant message from streamed deltas.
type answerMessage struct {
	content   bytes.Buffer
	refusal   bytes.Buffer
	toolCalls []toolCall
}

type toolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// maxToolCalls limits the number of tool calls in one answer.
const maxToolCalls = 256

// completionChunk is one event of the engine's stream.
type completionChunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Delta struct {
		Content   string     `json:"content"`
		Refusal   string     `json:"refusal"`
		ToolCalls []toolCall `json:"tool_calls"`
	} `json:"delta"`
	// Message is set in an answer that is not streamed.
	Message      json.RawMessage `json:"message"`
	FinishReason *string         `json:"finish_reason"`
}

func (m *answerMessage) add(choice chunkChoice) error {
	if len(choice.Message) > 0 {
		// Requests to engines always ask for a stream.
		return domain.Unknown(domain.ReasonTargetFailed, "the engine did not stream its answer; ask the operator to check the engine")
	}
	m.content.WriteString(choice.Delta.Content)
	m.refusal.WriteString(choice.Delta.Refusal)
	for _, delta := range choice.Delta.ToolCalls {
		if delta.Index < 0 || delta.Index >= maxToolCalls {
			return fmt.Errorf("httpapi: the engine sent tool call index %d; the limit is %d tool calls", delta.Index, maxToolCalls)
		}
		for len(m.toolCalls) <= delta.Index {
			m.toolCalls = append(m.toolCalls, toolCall{Index: len(m.toolCalls), Type: "function"})
		}
		call := &m.toolCalls[delta.Index]
		call.ID += delta.ID
		call.Function.Name += delta.Function.Name
		call.Function.Arguments += delta.Function.Arguments
	}
	return nil
}

// storedToolCall is a tool call in a complete message, which unlike a streamed
// delta has no index.
type storedToolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type assistantMessage struct {
	Role      string           `json:"role"`
	Content   *string          `json:"content"`
	Refusal   string           `json:"refusal,omitempty"`
	ToolCalls []storedToolCall `json:"tool_calls,omitempty"`
}

func (m *answerMessage) encode() (json.RawMessage, error) {
	message := assistantMessage{Role: "assistant", Refusal: m.refusal.String()}
	if content := m.content.String(); content != "" || len(m.toolCalls) == 0 {
		message.Content = &content
	}
	for _, call := range m.toolCalls {
		message.ToolCalls = append(message.ToolCalls, storedToolCall{ID: call.ID, Type: call.Type, Function: call.Function})
	}
	return json.Marshal(message)
}
