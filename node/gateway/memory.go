package gateway

import (
	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/domain"
)

// memoryNeed returns the turn's use of the memory of engines.
func (e *exchange) memoryNeed() allowance.MemoryNeed {
	need := allowance.MemoryNeed{Service: e.service.Name, TargetTokens: int64(e.service.CacheTokens), Class: e.priority}
	if e.g.o.AdmitBySlots {
		need.TargetSlots = e.service.EngineSlots
	}
	prompt, shared := domain.Tokens(0), domain.Tokens(0)
	for _, p := range e.Parts {
		prompt += domain.Tokens(p.Tokens)
	}
	if len(e.Parts) > 1 {
		// The first part is the same for all programs, and the second one begins a chain of turns.
		shared, need.Chain = domain.Tokens(e.Parts[0].Tokens), e.Parts[1].ID
	}
	need.Tokens = int64(max(prompt, e.PromptTokens) - shared + e.MaxTokens)
	return need
}
