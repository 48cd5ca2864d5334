package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// errIncompleteAnswer means that an answer ended normally but lacks a part.
var errIncompleteAnswer = errors.New("the answer is incomplete")

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model         string      `json:"model"`
	Messages      []Message   `json:"messages"`
	MaxTokens     int         `json:"max_tokens,omitempty"`
	Stream        bool        `json:"stream,omitempty"`
	StreamOptions *streamOpts `json:"stream_options,omitempty"`
}

type streamOpts struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatChunk struct {
	Choices []struct {
		Delta        Message `json:"delta"`
		Message      Message `json:"message"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// answer accumulates a chat completion.
type answer struct {
	content strings.Builder
	finish  string
	usage   *Usage
}

// checkComplete returns an error if the finish reason or the usage is missing.
// Otherwise it copies the usage to the record.
func (a *answer) checkComplete(record *Record) error {
	if a.finish == "" || a.usage == nil {
		return fmt.Errorf("%w: finish reason %q, usage present %t", errIncompleteAnswer, a.finish, a.usage != nil)
	}
	record.Usage = a.usage
	return nil
}

// readBody reads an answer that is not streamed.
func (a *answer) readBody(body io.Reader, record *Record) error {
	var c chatChunk
	if err := decodeBody(body, &c); err != nil {
		return err
	}
	for _, choice := range c.Choices {
		a.content.WriteString(choice.Message.Content)
		if choice.FinishReason != nil {
			a.finish = *choice.FinishReason
		}
	}
	a.usage = c.Usage
	return a.checkComplete(record)
}

// decodeBody decodes a body after it was read to its end, because a cut body can hold
// a complete value.
func decodeBody(body io.Reader, out any) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}

// maxEventBytes limits the length of one event of a stream.
const maxEventBytes = 4 << 20

// readStream reads server-sent events until [DONE]. A stream that ends before it
// returns io.ErrUnexpectedEOF. An event is complete at the empty line after it.
func (a *answer) readStream(body io.Reader, record *Record) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	lines.Split(scanWholeLines)
	data := ""
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			data = value
		}
		if len(lines.Bytes()) > 0 || data == "" {
			continue
		}
		if data == "[DONE]" {
			return a.checkComplete(record)
		}
		if err := a.event([]byte(data), record); err != nil {
			return err
		}
		data = ""
	}
	if lines.Err() != nil {
		return lines.Err()
	}
	return io.ErrUnexpectedEOF
}

// scanWholeLines is bufio.ScanLines without a last line that has no line ending,
// which is the rest of a cut event.
func scanWholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	advance, token, err = bufio.ScanLines(data, atEOF)
	if atEOF && advance == len(data) && !bytes.HasSuffix(data, []byte("\n")) {
		return advance, nil, err
	}
	return advance, token, err
}

// event adds one event of a stream to the answer. It returns a *refusedError if
// the event is one.
func (a *answer) event(data []byte, record *Record) error {
	var c chatChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("%w: an event is not JSON: %v", errIncompleteAnswer, err)
	}
	if c.Error != nil {
		var refused refusedError
		if err := json.Unmarshal(data, &refused); err != nil {
			return fmt.Errorf("%w: the error event is not valid: %v", errIncompleteAnswer, err)
		}
		return &refused
	}
	for _, choice := range c.Choices {
		if record.FirstToken == 0 {
			record.FirstToken = time.Since(record.Sent)
		}
		a.content.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			a.finish = *choice.FinishReason
		}
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	return nil
}
