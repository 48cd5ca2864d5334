package port

import (
	"context"

	"github.com/mangoknot/mangoknot/core/balance"
)

// TargetLister reads the platform's list of targets, all pages of it.
type TargetLister interface {
	List(ctx context.Context) ([]balance.Target, error)
}
