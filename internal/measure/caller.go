package measure

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/mangoknot/mangoknot/core/domain"
)

// callResult is the result of one attempt of a request as its caller observed it.
type callResult struct {
	account    int
	sent, done time.Time
	firstToken time.Duration // to the first token, 0 when there was none
	modelCall  bool          // a model call, not one of a tool service
	failure    string        // the code of a refusal or the cause of a failure, empty on success
	// Token counts of a finished model call. prefixTokens is the length of the
	// program's earlier turns, which an engine has computed before.
	prompt, cached, generated, prefixTokens int64
	// newTokens is the work of the call that does not depend on its placement: its
	// new prompt tokens and the generated tokens.
	newTokens int64
	id        domain.CallID
	entry     domain.Region
}

// programResult is the result of one program.
type programResult struct {
	account         int
	arrived, ended  time.Time
	failed, aborted bool
}

// caller runs programs against a fleet as their clients do.
type caller struct {
	fleet    *fleet
	http     *http.Client
	calls    chan callResult
	programs chan programResult
}

const (
	// maxAttempts limits the attempts of a request.
	maxAttempts = 20
	// retryDelay is the minimum delay after a refusal. A random delay of up to the
	// same length is added. Retry-After is not used.
	retryDelay = 200 * time.Millisecond
)

func newCaller(f *fleet) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &caller{fleet: f, http: &http.Client{Transport: transport}, calls: make(chan callResult, 256), programs: make(chan programResult, 256)}
}

// session is a running program or sub-agent with its data centre and the length
// of its history.
type session struct {
	*caller
	name         string
	parent       string
	account      int
	centre       int
	random       *rand.Rand
	prefixTokens int64
}

// runProgram runs a program from a data centre that is chosen by the hash of its
// name, and records its result.
func (c *caller) runProgram(ctx context.Context, s *script) {
	arrived := time.Now()
	h := fnv.New64a()
	h.Write([]byte(s.name))
	centre := int(h.Sum64() % uint64(len(centres)))
	p := &session{
		caller: c, name: s.name + "@" + string(centres[centre]), account: s.account, centre: centre,
		random: rand.New(rand.NewPCG(h.Sum64(), 1)),
	}
	ok := p.run(ctx, s.turns)
	ended := time.Now()
	p.endProgram(ctx)
	c.programs <- programResult{account: s.account, arrived: arrived, ended: ended, failed: !ok, aborted: ctx.Err() != nil}
}

// run executes the turns and their sub-agents in order, and reports whether all
// of them were served.
func (p *session) run(ctx context.Context, turns []turn) bool {
	for i, t := range turns {
		if !p.retry(ctx, func() callResult { return p.callModel(ctx, i, t) }) {
			return false
		}
		if t.subAgent != nil {
			child := &session{caller: p.caller, name: fmt.Sprintf("%s/agent-%d", p.name, i), parent: p.name, account: p.account, centre: p.centre, random: p.random}
			if !child.run(ctx, t.subAgent.turns) {
				return false
			}
		}
		if i == len(turns)-1 {
			return true
		}
		if !sleep(ctx, t.pause) {
			return false
		}
		if t.callsTool && !p.retry(ctx, func() callResult { return p.callTool(ctx) }) {
			return false
		}
	}
	return true
}

// retry calls send until an attempt is served, at most maxAttempts times, and
// reports whether one was served. It records the result of each attempt.
func (p *session) retry(ctx context.Context, send func() callResult) bool {
	for range maxAttempts {
		r := send()
		p.calls <- r
		if r.failure == "" {
			return true
		}
		if !sleep(ctx, retryDelay+rand.N(retryDelay)) {
			return false
		}
	}
	return false
}

// entryAddress returns the URL of a random entry VM of the program's data centre,
// like a load balancer without affinity.
func (p *session) entryAddress() string {
	vm := p.centre + len(centres)*p.random.IntN(vmsPerCentre)
	return "http://" + p.fleet.daemons[vm].CallerAddress()
}

// callModel sends the model call of a turn and reads its stream to the end.
func (p *session) callModel(ctx context.Context, number int, t turn) callResult {
	out := callResult{account: p.account, modelCall: true, sent: time.Now(), prefixTokens: p.prefixTokens, entry: regions[centres[p.centre]], newTokens: int64(t.prompt + t.generated)}
	var response *http.Response
	client := openai.NewClient(
		option.WithBaseURL(p.entryAddress()+"/v1"), option.WithAPIKey(p.fleet.keys[p.account]), option.WithHTTPClient(p.http), option.WithMaxRetries(0),
		option.WithHeader("Mangoknot-Program", p.name), option.WithHeader("Mangoknot-Messages", "new"), option.WithResponseInto(&response),
	)
	options := []option.RequestOption{}
	if p.parent != "" {
		options = append(options, option.WithHeader("Mangoknot-Parent", p.parent))
	}
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:         modelName,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage(promptText(fmt.Sprintf("%s-%d", p.name, number), t.prompt))},
		MaxTokens:     openai.Int(int64(t.generated)),
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}, options...)
	defer stream.Close()
	for stream.Next() {
		if out.firstToken == 0 {
			out.firstToken = time.Since(out.sent)
		}
		if u := stream.Current().Usage; u.PromptTokens > 0 {
			out.prompt, out.cached, out.generated = u.PromptTokens, u.PromptTokensDetails.CachedTokens, u.CompletionTokens
		}
	}
	out.done = time.Now()
	if response != nil {
		out.id = domain.CallID(response.Header.Get("Mangoknot-Call"))
	}
	if err := stream.Err(); err != nil {
		out.failure = refusalCode(err)
		return out
	}
	p.prefixTokens = out.prompt + out.generated
	return out
}

// refusalCode returns the code of a refusal, "aborted" for a call that was
// cancelled, or a text that starts with "broken: " for any other failure.
func refusalCode(err error) string {
	var refused *openai.Error
	if errors.As(err, &refused) && refused.Code != "" {
		return refused.Code
	}
	if _, after, ok := strings.Cut(err.Error(), `"code":"`); ok {
		code, _, _ := strings.Cut(after, `"`)
		return code
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return "aborted"
	}
	return "broken: " + err.Error()
}

// callTool sends a request to the tool service.
func (p *session) callTool(ctx context.Context) callResult {
	out := callResult{account: p.account, sent: time.Now()}
	status, body, err := p.do(ctx, http.MethodPost, "/v1/services/"+routeName+"/", `{"query":"`+p.name+`"}`)
	out.done = time.Now()
	switch {
	case err != nil:
		out.failure = refusalCode(err)
	case status != http.StatusOK:
		out.failure = refusalCode(errors.New(body))
	}
	return out
}

// endProgram ends the program on the scheduler, which releases its cache.
func (p *session) endProgram(ctx context.Context) {
	// If this request fails, the program's time limit releases the cache.
	_, _, _ = p.do(ctx, http.MethodDelete, "/v1/programs/"+url.PathEscape(p.name), "")
}

// do sends a request and returns the status and body of its response.
func (p *session) do(ctx context.Context, method, path, body string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, p.entryAddress()+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+p.fleet.keys[p.account])
	r.Header.Set("Mangoknot-Program", p.name)
	response, err := p.http.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
