package ledger

import "github.com/mangoknot/mangoknot/core/domain"

// Reserved returns the amount that in-flight calls of the account hold or have
// reserved in this shard for the month.
func (l *Ledger) Reserved(account domain.Account, month Month) domain.Micros {
	if h := l.holders[key{account, month}]; h != nil {
		return h.Reserved + h.held
	}
	return 0
}
