package port

import (
	"context"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Calls sends a request to the process at a peer address and waits for its
// reply. An error says nothing about whether the request was handled.
type Calls interface {
	Call(ctx context.Context, address string, m domain.Message) (domain.Message, error)
}

// Answerer handles the requests of other processes. It may block until the
// reply is durable; the context ends with the asker's patience.
type Answerer interface {
	Answer(ctx context.Context, m domain.Message) (domain.Message, error)
}
