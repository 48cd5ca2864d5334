package httpapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/mangoknot/mangoknot/adapter/jsonhttp"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// chatRequest holds the fields of a chat completion request that the front end
// reads. rawFields holds all fields, known or not, for the engine.
type chatRequest struct {
	model         domain.ModelName
	messages      []json.RawMessage
	stream        bool
	includeUsage  bool
	maxTokens     domain.Tokens
	rawFields     map[string]json.RawMessage
	messagesBytes int
}

// Factors of the prompt token estimate. Common tokenizers need more than 2 bytes
// per token on prose and code, so the result overestimates.
const (
	bytesPerToken    = 2
	tokensPerMessage = 8
)

func parseChat(body []byte) (*chatRequest, error) {
	request := &chatRequest{}
	if err := json.Unmarshal(body, &request.rawFields); err != nil || request.rawFields == nil {
		return nil, badRequest("the body is not a JSON object: %v", describeJSONError(err))
	}
	fields, err := readFields(request.rawFields)
	if err != nil {
		return nil, err
	}
	if err := fields.check(); err != nil {
		return nil, err
	}
	limit, err := tokenLimit(fields.maxTokens, fields.maxCompletionTokens)
	if err != nil {
		return nil, err
	}
	request.model = domain.ModelName(fields.model)
	request.messages = fields.messages
	request.stream = fields.stream
	request.includeUsage = fields.streamOptions.IncludeUsage
	request.maxTokens = limit
	request.messagesBytes = len(request.rawFields["messages"]) + len(request.rawFields["tools"])
	return request, nil
}

// maxModelBytes limits the length of a model name, which is part of control
// messages.
const maxModelBytes = 200

// chatFields holds the decoded fields of a chat completion request before they
// are validated.
type chatFields struct {
	model               string
	messages            []json.RawMessage
	stream              bool
	streamOptions       streamOptions
	maxTokens           *int64
	maxCompletionTokens *int64
	n                   *int64
}

// readFields decodes fields by their exact names. Decoding into a struct would
// also match names that differ in case: {"model":"a","MODEL":"b"} would then be
// validated and charged as b, while the engine runs a.
func readFields(raw map[string]json.RawMessage) (chatFields, error) {
	var f chatFields
	for name, into := range map[string]any{
		"model": &f.model, "messages": &f.messages, "stream": &f.stream, "stream_options": &f.streamOptions,
		"max_tokens": &f.maxTokens, "max_completion_tokens": &f.maxCompletionTokens, "n": &f.n,
	} {
		value, ok := raw[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(value, into); err != nil {
			return f, badRequest("the field %s of the chat completion has the wrong type; check it against the API", name)
		}
	}
	return f, nil
}

func (f *chatFields) check() error {
	switch {
	case f.model == "":
		return badRequest("the field model is missing; GET /v1/models lists the models")
	case len(f.model) > maxModelBytes:
		return badRequest("the field model has %d bytes; GET /v1/models lists the models", len(f.model))
	case len(f.messages) == 0:
		return badRequest("the field messages is missing or empty; send at least one message")
	case f.n != nil && *f.n != 1:
		return badRequest("n is %d; only n=1 is served, because a program has one history", *f.n)
	}
	for i, message := range f.messages {
		if message[0] != '{' {
			return badRequest("message %d is not a JSON object; send objects with role and content", i)
		}
	}
	return nil
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// describeJSONError describes a decoding error without content of the request. A
// syntax error gives the offset or the unexpected character, a type error the field.
func describeJSONError(err error) string {
	switch e := err.(type) {
	case *json.SyntaxError:
		return e.Error()
	case *json.UnmarshalTypeError:
		return "field " + e.Field + " must be a " + e.Type.String()
	default:
		return "send a JSON object"
	}
}

// tokenLimit returns the caller's limit of generated tokens, or 0 if none is
// set. max_completion_tokens takes precedence over the older max_tokens.
func tokenLimit(maxTokens, maxCompletion *int64) (domain.Tokens, error) {
	for _, value := range []*int64{maxCompletion, maxTokens} {
		if value == nil {
			continue
		}
		if *value < 1 {
			return 0, badRequest("the token limit is %d; set it to at least 1 or leave it out", *value)
		}
		return domain.Tokens(*value), nil
	}
	return 0, nil
}

// estimatePromptTokens returns an upper estimate of the prompt's tokens.
func (r *chatRequest) estimatePromptTokens() domain.Tokens {
	return domain.Tokens(r.messagesBytes/bytesPerToken + tokensPerMessage*len(r.messages))
}

// deliveryFields lists the fields that affect how a response is delivered but
// not what the engine generates.
var deliveryFields = []string{"stream", "stream_options", "user", "metadata", "store"}

// fingerprint returns a hash of the fields that affect the engine's output, in a
// fixed order and without insignificant white space.
func (r *chatRequest) fingerprint(newMessages bool) [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "new=%t", newMessages)
	for _, name := range slices.Sorted(maps.Keys(r.rawFields)) {
		if slices.Contains(deliveryFields, name) {
			continue
		}
		var value bytes.Buffer
		// Compact cannot fail: the value has already been parsed.
		_ = json.Compact(&value, r.rawFields[name])
		fmt.Fprintf(h, "%d:%s%d:", len(name), name, value.Len())
		h.Write(value.Bytes())
	}
	var sum [32]byte
	h.Sum(sum[:0])
	return sum
}

func (a *API) chat(w http.ResponseWriter, r *http.Request, identity port.Identity) error {
	headers, err := readCallHeaders(r.Header)
	if err != nil {
		return err
	}
	body, err := a.readBody(w, r)
	if err != nil {
		return err
	}
	request, err := parseChat(body)
	if err != nil {
		return err
	}
	spec := port.CallSpec{
		Identity:        identity,
		Program:         headers.program,
		Parent:          headers.parent,
		Model:           request.model,
		IdempotencyKey:  headers.idempotencyKey,
		Fingerprint:     request.fingerprint(headers.newMessages),
		NewMessagesOnly: headers.newMessages,
		PromptTokens:    request.estimatePromptTokens(),
		MaxTokens:       request.maxTokens,
	}
	exchange := newChatExchange(w, request, headers.newMessages)
	if err := a.node.Chat(r.Context(), spec, exchange); err != nil {
		a.reportChatFailure(w, identity, exchange, err)
	}
	return nil
}

// reportChatFailure reports a failed call to the caller. If the response has not
// started, it writes an HTTP error status. Otherwise it sends an error event and
// closes the connection without [DONE] and without the end of the HTTP framing, so
// that clients that do not read error events detect the failure too.
func (a *API) reportChatFailure(w http.ResponseWriter, identity port.Identity, exchange *chatExchange, err error) {
	if !exchange.started {
		a.refuse(w, identity, err)
		return
	}
	refusal, ok := domain.AsRefusal(err)
	if !ok {
		a.log.Error(err, "chat stream failed with an untyped error; reporting an unknown outcome")
		refusal = domain.Unknown(domain.ReasonTargetFailed, "the stream ended before the answer was complete; send the request again")
	}
	a.node.Refused(identity.Account, refusal)
	if data, err := json.Marshal(errorBodyOf(refusal)); err == nil {
		_, _ = w.Write(sseFrame(data))
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}

func sseFrame(payload []byte) []byte {
	var frame bytes.Buffer
	frame.WriteString("data: ")
	frame.Write(payload)
	frame.WriteString("\n\n")
	return frame.Bytes()
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) models(w http.ResponseWriter, _ *http.Request, _ port.Identity) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range a.node.View().Models() {
		list.Data = append(list.Data, modelEntry{ID: string(model.Name), Object: "model", OwnedBy: "mangoknot"})
	}
	jsonhttp.Write(w, http.StatusOK, list)
	return nil
}
