package metrics

import (
	"sync"

	"github.com/mangoknot/mangoknot/core/domain"
)

// accountLabels assigns label values to client accounts. The first accounts, at
// most limit of them, get their name as the value; all others share
// otherAccountsLabel. This limits the number of time series.
type accountLabels struct {
	mu    sync.Mutex
	known map[domain.Account]bool
	limit int
}

func newAccountLabels(limit int) *accountLabels {
	return &accountLabels{known: map[domain.Account]bool{}, limit: limit}
}

// label returns the label value of an account. An empty account, as of a request
// without a valid key, has the value "none".
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
