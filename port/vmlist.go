package port

import (
	"context"

	"github.com/mangoknot/mangoknot/core/membership"
)

// VMList is the platform's lagging list of live and leaving VMs of the system.
type VMList interface {
	// Watch reports the list until the context ends.
	Watch(ctx context.Context, report func([]membership.Member)) error
}
