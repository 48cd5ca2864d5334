package ledger

import "github.com/mangoknot/mangoknot/core/domain"

// Reserved returns what calls in flight of the month hold in this shard.
func (l *Ledger) Reserved(account domain.Account, month Month) domain.Micros {
	if h := l.holders[key{account, month}]; h != nil {
		return h.Reserved + h.held
	}
	return 0
}
