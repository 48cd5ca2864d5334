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

// callResult is one request as its caller saw it.
type callResult struct {
	account    int
	sent, done time.Time
	firstToken time.Duration // to the first token, 0 when there was none
	modelCall  bool          // a model call, not one of a tool service
	refusal    string        // the code of a refusal, or what broke off
	// Tokens of a finished model call. prefixTokens is the size of the program's prefix
	// that an engine had in its cache at some time.
	prompt, cached, generated, prefixTokens int64
	// newTokens is the work that the call adds whatever the placement: its new
	// prompt tokens and the generated ones.
	newTokens int64
	id        domain.CallID
	entry     domain.Region
}

// programResult is one whole program.
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
	// maxAttempts bounds the attempts of a request that was refused.
	maxAttempts = 20
	// retryDelay is the wait after a refusal without Retry-After.
	retryDelay = 200 * time.Millisecond
)

func newCaller(f *fleet) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &caller{fleet: f, http: &http.Client{Transport: transport}, calls: make(chan callResult, 256), programs: make(chan programResult, 256)}
}

// session is one program with its place and its history.
type session struct {
	*caller
	name         string
	parent       string
	account      int
	centre       int
	random       *rand.Rand
	prefixTokens int64
}

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

// retry sends a request again after a refusal.
func (p *session) retry(ctx context.Context, send func() callResult) bool {
	for range maxAttempts {
		r := send()
		p.calls <- r
		if r.refusal == "" {
			return true
		}
		if !sleep(ctx, retryDelay+rand.N(retryDelay)) {
			return false
		}
	}
	return false
}

// entryAddress returns an entry VM of the program's data centre, as a balancer
// without affinity picks one.
func (p *session) entryAddress() string {
	vm := p.centre + len(centres)*p.random.IntN(vmsPerCentre)
	return "http://" + p.fleet.daemons[vm].CallerAddress()
}

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
		out.refusal = refusalCode(err)
		return out
	}
	p.prefixTokens = out.prompt + out.generated
	return out
}

// refusalCode returns the code of a refusal.
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

func (p *session) callTool(ctx context.Context) callResult {
	out := callResult{account: p.account, sent: time.Now()}
	status, body, err := p.do(ctx, http.MethodPost, "/v1/services/"+routeName+"/", `{"query":"`+p.name+`"}`)
	out.done = time.Now()
	switch {
	case err != nil:
		out.refusal = refusalCode(err)
	case status != http.StatusOK:
		out.refusal = refusalCode(errors.New(body))
	}
	return out
}

// endProgram tells the system that the program is over, so that its cache is released.
func (p *session) endProgram(ctx context.Context) {
	// A failure only leaves the release to the program's time limit.
	_, _, _ = p.do(ctx, http.MethodDelete, "/v1/programs/"+url.PathEscape(p.name), "")
}

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
