package domain

// Usage counts the tokens of one call.
type Usage struct {
	Prompt Tokens
	// Cached is the part of Prompt that the engine found in its prefix cache.
	Cached    Tokens
	Generated Tokens
}
