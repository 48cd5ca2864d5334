package port

import (
	"context"

	"github.com/mangoknot/mangoknot/core/domain"
)

// RPCClient sends a request to the process at a peer address and waits for its
// reply. After an error it is unknown whether the request was handled.
type RPCClient interface {
	Call(ctx context.Context, address string, m domain.Message) (domain.Message, error)
}

// RPCHandler handles the requests of other processes. Handle may block until
// the reply is durable; the context ends when the client's deadline passes.
type RPCHandler interface {
	Handle(ctx context.Context, m domain.Message) (domain.Message, error)
}
