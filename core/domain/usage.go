package domain

// Usage holds the token counts of one call.
type Usage struct {
	Prompt Tokens
	// Cached is the part of Prompt that was served from the engine's prefix cache.
	Cached    Tokens
	Generated Tokens
}
