package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Order is an order to the engine. Kinds: load, unload, role, release, export,
// import.
type Order struct {
	Kind    string `json:"kind"`
	Epoch   uint64 `json:"epoch"`
	Program string `json:"program,omitempty"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Data    []byte `json:"data,omitempty"` // import: the data of an export
}

// OrderResult confirms an order.
type OrderResult struct {
	Tokens int    `json:"tokens"` // released, exported or imported
	Data   []byte `json:"data,omitempty"`
}

// exported is the data of an export. A real engine would ship the KV blocks.
type exported struct {
	Blocks []uint64 `json:"blocks"`
}

// orderError is a refused order.
type orderError struct {
	status        int
	code, message string
}

func (e *Engine) orders(p *session, w http.ResponseWriter, _ *http.Request, body []byte) {
	var o Order
	if err := json.Unmarshal(body, &o); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", "the body is not an order")
		return
	}
	var result OrderResult
	var refused *orderError
	p.do(func(s *state) { result, refused = s.obey(time.Now(), o) })
	if refused != nil {
		refuse(w, refused.status, refused.code, refused.message)
		return
	}
	reply(w, http.StatusOK, result)
}

func (s *state) obey(now time.Time, o Order) (OrderResult, *orderError) {
	if !s.acceptEpoch(o) {
		return OrderResult{}, &orderError{http.StatusConflict, "fenced", "a higher fencing number was seen"}
	}
	defer s.sampleLoad(now)
	switch o.Kind {
	case "load":
		s.models[o.Model] = o.Version
	case "unload":
		if o.Version == "" || s.models[o.Model] == o.Version {
			delete(s.models, o.Model)
		}
	case "role":
		s.role = o.Role
	case "release":
		return s.release(o.Program)
	case "export":
		chain := s.cache.chainHeld(o.Program)
		data, err := json.Marshal(exported{chain})
		if err != nil {
			return OrderResult{}, &orderError{http.StatusInternalServerError, "export_failed", err.Error()}
		}
		return OrderResult{len(chain) * blockTokens, data}, nil
	case "import":
		return s.importBlocks(o)
	default:
		return OrderResult{}, &orderError{http.StatusBadRequest, "bad_request", "the kind of order is unknown"}
	}
	return OrderResult{}, nil
}

// acceptEpoch checks and notes the order's fencing number.
func (s *state) acceptEpoch(o Order) bool {
	highest := s.engineEpoch
	if o.Program != "" {
		highest = s.programEpochs[o.Program]
	}
	if o.Epoch < highest {
		return s.settings.IgnoreFencing
	}
	if o.Program != "" {
		s.programEpochs[o.Program] = o.Epoch
	} else {
		s.engineEpoch = o.Epoch
	}
	return true
}

func (s *state) release(program string) (OrderResult, *orderError) {
	for _, calls := range [][]*call{s.running, s.waiting} {
		for _, c := range calls {
			if c.program == program {
				return OrderResult{}, &orderError{http.StatusConflict, "busy", "a call of the program is running"}
			}
		}
	}
	return OrderResult{Tokens: s.cache.release(program)}, nil
}

func (s *state) importBlocks(o Order) (OrderResult, *orderError) {
	var data exported
	if err := json.Unmarshal(o.Data, &data); err != nil {
		return OrderResult{}, &orderError{http.StatusBadRequest, "bad_request", "the data is not an export"}
	}
	// An export lists the end of the prefix first; store takes the start first.
	chain := make([]uint64, 0, len(data.Blocks))
	for i := len(data.Blocks) - 1; i >= 0; i-- {
		chain = append(chain, data.Blocks[i])
	}
	s.cache.store(o.Program, chain)
	return OrderResult{Tokens: len(chain) * blockTokens}, nil
}
