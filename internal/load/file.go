package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// Duration is a time.Duration that is text in JSON, such as "300ms".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Account is a client account with the caller's key and the agreed limits.
type Account struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Weight is the account's weight in fair sharing; 0 counts as 1.
	Weight float64 `json:"weight"`
	// Rate is the agreed number of requests per second and Burst the size of the
	// token bucket. A rate of 0 is not checked.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// File is the content of a file of programs.
type File struct {
	Programs []Program `json:"programs"`
}

// Program is a sequence of steps that one client account runs.
type Program struct {
	Name    string `json:"name"`
	Account string `json:"account"`
	Model   string `json:"model"`
	// Count is the number of instances; 0 counts as 1.
	Count int `json:"count"`
	// Start is the delay of the first instance, Spacing the interval between the
	// starts of further ones.
	Start   Duration `json:"start"`
	Spacing Duration `json:"spacing"`
	// NewMessagesOnly sends only new messages instead of the whole conversation.
	NewMessagesOnly bool `json:"new_messages"`
	// Budget is the agreed budget in micros of the currency unit, 0 for none. It
	// is compared with the budget that the system reports.
	Budget int64  `json:"budget_micros"`
	Steps  []Step `json:"steps"`
}

// Step is one step of a program. Exactly one field is set.
type Step struct {
	Call  *ModelCall `json:"call,omitempty"`
	Pause Duration   `json:"pause,omitempty"`
	Tool  *ToolCall  `json:"tool,omitempty"`
	Agent *Agent     `json:"agent,omitempty"`
	End   bool       `json:"end,omitempty"`
}

// ModelCall adds a message to the conversation and requests an answer.
type ModelCall struct {
	Message   string `json:"message"`
	MaxTokens int    `json:"max_tokens"`
	// NoStream requests the answer in one piece instead of a stream.
	NoStream bool `json:"whole"`
}

// ToolCall is a call of a tool service through a route.
type ToolCall struct {
	Route  string `json:"route"`
	Method string `json:"method"`
	Body   string `json:"body"`
	// RunOnce marks a call that must have at most one effect.
	RunOnce bool `json:"run_once"`
}

// Agent is a sub-agent: a child program of the one that starts it.
type Agent struct {
	Name  string `json:"name"`
	Steps []Step `json:"steps"`
}

// ReadFile reads and validates a file of programs.
func ReadFile(path string) (*File, error) {
	var f File
	if err := readJSON(path, &f); err != nil {
		return nil, err
	}
	if len(f.Programs) == 0 {
		return nil, fmt.Errorf("load: %s holds no programs; add at least one", path)
	}
	for _, p := range f.Programs {
		if p.Name == "" || p.Account == "" {
			return nil, fmt.Errorf("load: %s: program %q needs a name and an account", path, p.Name)
		}
		if err := checkSteps(p.Steps); err != nil {
			return nil, fmt.Errorf("load: %s: program %q: %w", path, p.Name, err)
		}
	}
	return &f, nil
}

// checkSteps returns an error if a step does not set exactly one field or a
// sub-agent has no valid name.
func checkSteps(steps []Step) error {
	for i, s := range steps {
		set := 0
		for _, present := range []bool{s.Call != nil, s.Pause > 0, s.Tool != nil, s.Agent != nil, s.End} {
			if present {
				set++
			}
		}
		if set != 1 {
			return fmt.Errorf("step %d sets %d of call, pause, tool, agent and end; set one", i, set)
		}
		if s.Agent != nil {
			if s.Agent.Name == "" || strings.Contains(s.Agent.Name, "/") {
				return fmt.Errorf("step %d: the sub-agent needs a name without slashes", i)
			}
			if err := checkSteps(s.Agent.Steps); err != nil {
				return fmt.Errorf("step %d: sub-agent %s: %w", i, s.Agent.Name, err)
			}
		}
	}
	return nil
}

// ReadAccounts reads a JSON list of accounts from the path, unless it is empty,
// and adds an account for each pair of the form name=key. The result is keyed by
// name.
func ReadAccounts(path string, pairs []string) (map[string]Account, error) {
	var list []Account
	if path != "" {
		if err := readJSON(path, &list); err != nil {
			return nil, err
		}
	}
	for _, pair := range pairs {
		name, key, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, errors.New("load: a key must have the form account=key")
		}
		list = append(list, Account{Name: name, Key: key})
	}
	out := map[string]Account{}
	for _, a := range list {
		if a.Weight <= 0 {
			a.Weight = 1
		}
		out[a.Name] = a
	}
	return out, nil
}

func readJSON(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("load: %s is not valid: %w", path, err)
	}
	return nil
}
