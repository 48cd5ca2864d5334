package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// turn is one model call of a program and the work that follows it.
type turn struct {
	prompt    int // new prompt tokens
	generated int
	pause     time.Duration // after the call
	callsTool bool          // the pause ends with a call of a tool service
	subAgent  *script       // a sub-agent that runs before the next turn
}

// script is the sequence of turns of a program, determined by the seed. The
// scheduler has no access to it.
type script struct {
	name    string
	account int
	arrival time.Duration
	turns   []turn
}

// accountShares holds the percentage of the offered programs that each of 8
// accounts sends: a few large accounts and several small ones. The shares are
// also the accounts' weights.
var accountShares = []int{30, 24, 16, 10, 7, 5, 4, 4}

// In scenarios with a noisy account, noisyAccount sends noisyFactor times its rate
// limit.
const (
	noisyAccount = 2
	noisyFactor  = 5
)

// Distribution of programs. Prompt lengths are log-normal and the number of turns
// is geometric, so that a few programs are much longer than the median.
const (
	nextTurnProbability = 0.75 // probability of a further turn
	maxTurns            = 12
	firstPromptTokens   = 1800.0
	nextPromptTokens    = 450.0
	promptSigma         = 0.6
	meanAnswerTokens    = 24
	meanPauseSeconds    = 1.2 // simulated time
	subAgentProbability = 0.08
	toolCallProbability = 0.3
)

// makeScripts returns the programs that arrive in the window at a rate in
// programs a second. With noisy set, noisyAccount exceeds its rate limit.
func makeScripts(seed uint64, rate float64, window time.Duration, noisy bool) []*script {
	r := rand.New(rand.NewPCG(seed, 0x6d65_6173))
	var out []*script
	for account, part := range accountShares {
		accountRate := rate * float64(part) / 100
		if noisy && account == noisyAccount {
			accountRate *= noisyFactor * rateHeadroom
		}
		for at := r.ExpFloat64() / accountRate; at < window.Seconds(); at += r.ExpFloat64() / accountRate {
			name := fmt.Sprintf("p-%d-%d-%d", seed, account, len(out))
			out = append(out, &script{name: name, account: account, arrival: seconds(at), turns: makeTurns(r, true)})
		}
	}
	return out
}

// makeTurns draws the turns of a program. With subAgents set, turns may start
// sub-agents, which have none of their own.
func makeTurns(r *rand.Rand, subAgents bool) []turn {
	var out []turn
	size := firstPromptTokens
	for len(out) == 0 || len(out) < maxTurns && r.Float64() < nextTurnProbability {
		t := turn{
			prompt:    int(size * math.Exp(promptSigma*r.NormFloat64())),
			generated: 4 + r.IntN(2*meanAnswerTokens-8),
			pause:     seconds(r.ExpFloat64() * meanPauseSeconds / TimeScale),
			callsTool: r.Float64() < toolCallProbability,
		}
		if subAgents && r.Float64() < subAgentProbability {
			t.subAgent = &script{turns: makeTurns(r, false)}
		}
		out = append(out, t)
		size = nextPromptTokens
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// promptText returns a prompt of about n tokens of 4 bytes that is unique to its
// seed.
func promptText(seed string, n int) string {
	var b strings.Builder
	for i := 0; b.Len() < 4*n; i++ {
		fmt.Fprintf(&b, "%s-%d ", seed, i)
	}
	return b.String()[:4*n]
}
