package target

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/mangoknot/mangoknot/core/domain"
)

const (
	contentJSON   = "application/json"
	contentEvents = "text/event-stream"
	// doneMarker is the payload of the last event of an OpenAI stream.
	doneMarker = "[DONE]"
	// noID is the id of an event without an id field.
	noID = -1
)

var (
	errEventTooLarge = errors.New("an event of the answer exceeds the size limit")
	errContentType   = errors.New("the answer is neither JSON nor a stream of events")
)

// events decodes the payloads of an answer. next returns io.EOF after the last
// event of a complete answer and io.ErrUnexpectedEOF for a truncated answer.
type events interface {
	next() (id int, data []byte, err error)
}

// newEvents selects the decoder for the content type of the response.
func newEvents(response *http.Response, maxEvent int) (events, error) {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	switch {
	case err != nil:
		return nil, errContentType
	case kind == contentEvents:
		return &serverSentEvents{in: bufio.NewReader(response.Body), max: maxEvent}, nil
	case kind == contentJSON:
		return &singleEvent{in: response.Body, max: maxEvent}, nil
	}
	return nil, errContentType
}

// singleEvent reads a JSON answer as one event.
type singleEvent struct {
	in   io.Reader
	max  int
	done bool
}

func (e *singleEvent) next() (int, []byte, error) {
	if e.done {
		return noID, nil, io.EOF
	}
	data, err := io.ReadAll(io.LimitReader(e.in, int64(e.max)+1))
	if err == nil && len(data) > e.max {
		err = errEventTooLarge
	}
	e.done = err == nil
	return noID, data, err
}

// serverSentEvents decodes a stream of server-sent events. It uses the fields
// data and id.
type serverSentEvents struct {
	in  *bufio.Reader
	max int
}

func (e *serverSentEvents) next() (int, []byte, error) {
	id, size := noID, 0
	var data []byte
	for {
		line, err := readLine(e.in, e.max)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return noID, nil, err
		}
		if size += len(line); size > e.max {
			return noID, nil, errEventTooLarge
		}
		if len(line) > 0 {
			id, data = addField(line, id, data)
			continue
		}
		switch {
		case data == nil: // an empty event, such as a heartbeat
			id, size = noID, 0
		case string(data) == doneMarker:
			return noID, nil, io.EOF
		default:
			return id, data, nil
		}
	}
}

// addField applies one line to the id and data of the current event.
func addField(line []byte, id int, data []byte) (int, []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if n, err := strconv.Atoi(string(value)); err == nil && n >= 0 {
			id = n
		}
	case "data":
		if data != nil {
			data = append(data, '\n')
		} else {
			data = []byte{}
		}
		data = append(data, value...)
	}
	return id, data
}

// readLine returns a line without its line ending. The line is valid until the
// next read. A last line without a line ending is not returned.
func readLine(in *bufio.Reader, limit int) ([]byte, error) {
	var long []byte
	for {
		part, err := in.ReadSlice('\n')
		if len(long)+len(part) > limit {
			return nil, errEventTooLarge
		}
		switch {
		case err == nil && long == nil:
			return trimEnd(part), nil
		case err == nil:
			return trimEnd(append(long, part...)), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
		long = append(long, part...)
	}
}

func trimEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// usageOf returns the token usage in a payload, or nil.
func usageOf(payload []byte) *domain.Usage {
	if !bytes.Contains(payload, []byte(`"usage"`)) {
		return nil
	}
	var answer struct {
		Usage *struct {
			Prompt     domain.Tokens `json:"prompt_tokens"`
			Completion domain.Tokens `json:"completion_tokens"`
			Details    struct {
				Cached domain.Tokens `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(payload, &answer) != nil || answer.Usage == nil {
		return nil
	}
	u := answer.Usage
	return &domain.Usage{Prompt: u.Prompt, Cached: u.Details.Cached, Generated: u.Completion}
}

// isError reports whether a payload is an error instead of a part of the answer:
// an object with a field error, or one whose field object is "error".
func isError(payload []byte) bool {
	if !bytes.Contains(payload, []byte(`"error"`)) {
		return false
	}
	var fields struct {
		Error  json.RawMessage `json:"error"`
		Object string          `json:"object"`
	}
	if json.Unmarshal(payload, &fields) != nil {
		return false
	}
	return len(fields.Error) > 0 && string(fields.Error) != "null" || fields.Object == "error"
}

// sameAnswer reports whether two payloads can belong to one answer. All chunks of
// a chat completion have the same id.
func sameAnswer(first, second []byte) bool {
	a, b := completionID(first), completionID(second)
	return a == "" || b == "" || a == b
}

// completionID returns the id in a payload, or "" if there is none.
func completionID(payload []byte) string {
	var fields struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(payload, &fields) != nil {
		return ""
	}
	return fields.ID
}
