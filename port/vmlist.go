package port

import (
	"context"

	"github.com/mangoknot/mangoknot/core/membership"
)

// VMList is the platform's list of the live and leaving VMs of the system. It
// may be out of date.
type VMList interface {
	// Watch reports the list until the context ends.
	Watch(ctx context.Context, report func([]membership.Member)) error
}
