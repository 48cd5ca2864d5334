package loop

import (
	"context"
	"time"
)

// Doer runs functions on a control goroutine, such as a Loop or an Actor.
type Doer interface {
	Do(ctx context.Context, f func(now time.Time)) error
}

// Ask runs f on the control goroutine and returns its result. When the context ends first, f may
// still run later; its result is dropped, so that no other goroutine reads what f writes.
func Ask[T any](ctx context.Context, d Doer, f func(now time.Time) T) (T, error) {
	result := new(T)
	if err := d.Do(ctx, func(now time.Time) { *result = f(now) }); err != nil {
		var none T
		return none, err
	}
	return *result, nil
}
