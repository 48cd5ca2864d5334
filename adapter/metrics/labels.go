package metrics

import (
	"sync"

	"github.com/mangoknot/mangoknot/core/domain"
)

// accountLabels gives a label of its own to a bounded number of accounts.
type accountLabels struct {
	mu    sync.Mutex
	known map[domain.Account]bool
	limit int
}

func newAccountLabels(limit int) *accountLabels {
	return &accountLabels{known: map[domain.Account]bool{}, limit: limit}
}

func (a *accountLabels) label(account domain.Account) string {
	if account == "" {
		return "none"
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known[account] {
		if len(a.known) >= a.limit {
			return otherAccountsLabel
		}
		a.known[account] = true
	}
	return string(account)
}
