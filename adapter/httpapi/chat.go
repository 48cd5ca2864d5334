package httpapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// chatRequest holds the fields of a chat completion that the front end reads.
// All fields, known or not, pass on to the engine through raw.
type chatRequest struct {
	model         domain.ModelName
	messages      []json.RawMessage
	stream        bool
	includeUsage  bool
	maxTokens     domain.Tokens
	raw           map[string]json.RawMessage
	messagesBytes int
}

// Rules of the prompt token estimate. Two bytes for a token is below what
// common tokenizers reach on prose and code, so the estimate errs high.
const (
	bytesPerToken    = 2
	tokensPerMessage = 8
)

func parseChat(body []byte) (*chatRequest, error) {
	request := &chatRequest{}
	if err := json.Unmarshal(body, &request.raw); err != nil || request.raw == nil {
		return nil, badRequest("the body is not a JSON object: %v", jsonProblem(err))
	}
	var fields struct {
		Model               string            `json:"model"`
		Messages            []json.RawMessage `json:"messages"`
		Stream              bool              `json:"stream"`
		StreamOptions       *streamOptions    `json:"stream_options"`
		MaxTokens           *int64            `json:"max_tokens"`
		MaxCompletionTokens *int64            `json:"max_completion_tokens"`
		N                   *int64            `json:"n"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, badRequest("a field of the chat completion has the wrong type: %v", jsonProblem(err))
	}
	if fields.Model == "" {
		return nil, badRequest("the field model is missing; GET /v1/models lists the models")
	}
	if len(fields.Messages) == 0 {
		return nil, badRequest("the field messages is missing or empty; send at least one message")
	}
	if fields.N != nil && *fields.N != 1 {
		return nil, badRequest("n is %d; only n=1 is served, because a program has one history", *fields.N)
	}
	limit, err := tokenLimit(fields.MaxTokens, fields.MaxCompletionTokens)
	if err != nil {
		return nil, err
	}
	request.model = domain.ModelName(fields.Model)
	request.messages = fields.Messages
	request.stream = fields.Stream
	request.includeUsage = fields.StreamOptions != nil && fields.StreamOptions.IncludeUsage
	request.maxTokens = limit
	request.messagesBytes = len(request.raw["messages"]) + len(request.raw["tools"])
	return request, nil
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// jsonProblem keeps the caller's content out of the message: syntax errors
// name an offset, and type errors name a field.
func jsonProblem(err error) string {
	switch e := err.(type) {
	case *json.SyntaxError:
		return e.Error()
	case *json.UnmarshalTypeError:
		return "field " + e.Field + " must be a " + e.Type.String()
	default:
		return "send a JSON object"
	}
}

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

func (r *chatRequest) promptTokens() domain.Tokens {
	return domain.Tokens(r.messagesBytes/bytesPerToken + tokensPerMessage*len(r.messages))
}

// deliveryFields change how an answer is delivered, not what the engine runs.
var deliveryFields = []string{"stream", "stream_options", "user", "metadata", "store"}

// fingerprint hashes the fields that the engine runs on, in a fixed order and
// without insignificant white space.
func (r *chatRequest) fingerprint(newMessages bool) [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "new=%t", newMessages)
	for _, name := range slices.Sorted(maps.Keys(r.raw)) {
		if slices.Contains(deliveryFields, name) {
			continue
		}
		var value bytes.Buffer
		// The value was parsed before, so it compacts without error.
		_ = json.Compact(&value, r.raw[name])
		fmt.Fprintf(h, "%d:%s%d:", len(name), name, value.Len())
		h.Write(value.Bytes())
	}
	var sum [32]byte
	h.Sum(sum[:0])
	return sum
}

func (a *API) chat(w http.ResponseWriter, r *http.Request) {
	identity := identityOf(r.Context())
	headers, err := readCallHeaders(r.Header)
	if err != nil {
		a.refuse(w, identity, err)
		return
	}
	body, err := a.readBody(w, r)
	if err != nil {
		a.refuse(w, identity, err)
		return
	}
	request, err := parseChat(body)
	if err != nil {
		a.refuse(w, identity, err)
		return
	}
	spec := port.CallSpec{
		Identity:        identity,
		Program:         headers.program,
		Parent:          headers.parent,
		Model:           request.model,
		IdempotencyKey:  headers.idempotency,
		Fingerprint:     request.fingerprint(headers.newMessages),
		NewMessagesOnly: headers.newMessages,
		PromptTokens:    request.promptTokens(),
		MaxTokens:       request.maxTokens,
	}
	exchange := newChatExchange(w, request, headers.newMessages)
	if err := a.node.Chat(r.Context(), spec, exchange); err != nil {
		a.endChat(w, identity, exchange, err)
	}
}

// endChat reports a failed call: as an HTTP status while nothing was written,
// else as a last event of the stream, which then never looks complete.
func (a *API) endChat(w http.ResponseWriter, identity port.Identity, exchange *chatExchange, err error) {
	if !exchange.started {
		a.refuse(w, identity, err)
		return
	}
	refusal, ok := domain.AsRefusal(err)
	if !ok {
		a.log.Error(err, "a stream ended without a typed refusal")
		refusal = domain.Unknown(domain.ReasonTargetFailed, "the answer broke off; send the request again")
	}
	a.node.Refused(identity.Account, refusal)
	data, err := json.Marshal(bodyOf(refusal))
	if err != nil {
		return
	}
	_, _ = w.Write(sseFrame(data))
	_ = http.NewResponseController(w).Flush()
}

func sseFrame(payload []byte) []byte {
	var frame bytes.Buffer
	frame.WriteString("data: ")
	frame.Write(payload)
	frame.WriteString("\n\n")
	return frame.Bytes()
}

// modelList is the body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) models(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range a.node.View().Models() {
		list.Data = append(list.Data, modelEntry{ID: string(model.Name), Object: "model", OwnedBy: "mangoknot"})
	}
	writeJSON(w, http.StatusOK, list)
}
