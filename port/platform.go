package port

import (
	"context"

	"github.com/mangoknot/mangoknot/core/balance"
)

// TargetLister reads all pages of the platform's list of targets.
type TargetLister interface {
	List(ctx context.Context) ([]balance.Target, error)
}
