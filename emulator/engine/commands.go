package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Command is a control command to the engine. Kinds: load, unload, role, release,
// export, import. Epoch is the fencing token.
type Command struct {
	Kind    string `json:"kind"`
	Epoch   uint64 `json:"epoch"`
	Program string `json:"program,omitempty"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Data    []byte `json:"data,omitempty"` // for import: the Data of an export
}

// CommandResult confirms a command.
type CommandResult struct {
	Tokens int    `json:"tokens"` // released, exported or imported
	Data   []byte `json:"data,omitempty"`
}

// exportData is the data of an export. A real engine would transfer the KV blocks
// themselves.
type exportData struct {
	Blocks []uint64 `json:"blocks"`
}

// commandError is the reason why a command was rejected.
type commandError struct {
	status        int
	code, message string
}

func (e *Engine) commands(sess *session, w http.ResponseWriter, _ *http.Request, body []byte) {
	var command Command
	if err := json.Unmarshal(body, &command); err != nil {
		replyError(w, http.StatusBadRequest, "bad_request", "the body is not a command")
		return
	}
	var result CommandResult
	var refused *commandError
	sess.do(func(s *state) { result, refused = s.execute(time.Now(), command) })
	if refused != nil {
		replyError(w, refused.status, refused.code, refused.message)
		return
	}
	reply(w, http.StatusOK, result)
}

// execute applies a command to the engine's state.
func (s *state) execute(now time.Time, command Command) (CommandResult, *commandError) {
	if !s.acceptEpoch(command) {
		return CommandResult{}, &commandError{http.StatusConflict, "fenced", "a higher fencing token was seen"}
	}
	defer s.sampleLoad(now)
	switch command.Kind {
	case "load":
		s.models[command.Model] = command.Version
	case "unload":
		if command.Version == "" || s.models[command.Model] == command.Version {
			delete(s.models, command.Model)
		}
	case "role":
		s.role = command.Role
	case "release":
		return s.release(command.Program)
	case "export":
		chain := s.cache.programBlocks(command.Program)
		data, err := json.Marshal(exportData{chain})
		if err != nil {
			return CommandResult{}, &commandError{http.StatusInternalServerError, "export_failed", err.Error()}
		}
		return CommandResult{len(chain) * blockTokens, data}, nil
	case "import":
		return s.importBlocks(command)
	default:
		return CommandResult{}, &commandError{http.StatusBadRequest, "bad_request", "the kind of command is unknown"}
	}
	return CommandResult{}, nil
}

// acceptEpoch checks and records the command's fencing token. It reports whether
// the command may be executed.
func (s *state) acceptEpoch(command Command) bool {
	highest := s.engineEpoch
	if command.Program != "" {
		highest = s.programEpochs[command.Program]
	}
	if command.Epoch < highest {
		return s.settings.IgnoreFencing
	}
	if command.Program != "" {
		s.programEpochs[command.Program] = command.Epoch
	} else {
		s.engineEpoch = command.Epoch
	}
	return true
}

// release removes the program's blocks from the cache unless a call of the
// program waits or runs.
func (s *state) release(program string) (CommandResult, *commandError) {
	for _, calls := range [][]*call{s.running, s.waiting} {
		for _, c := range calls {
			if c.program == program {
				return CommandResult{}, &commandError{http.StatusConflict, "busy", "a call of the program is running"}
			}
		}
	}
	return CommandResult{Tokens: s.cache.release(program)}, nil
}

func (s *state) importBlocks(command Command) (CommandResult, *commandError) {
	var data exportData
	if err := json.Unmarshal(command.Data, &data); err != nil {
		return CommandResult{}, &commandError{http.StatusBadRequest, "bad_request", "the data is not an export"}
	}
	// An export lists the prefix from its end; store expects it from its start.
	chain := make([]uint64, 0, len(data.Blocks))
	for i := len(data.Blocks) - 1; i >= 0; i-- {
		chain = append(chain, data.Blocks[i])
	}
	s.cache.store(command.Program, chain)
	return CommandResult{Tokens: len(chain) * blockTokens}, nil
}
