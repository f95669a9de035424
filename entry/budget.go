package entry

import (
	"sync"

	"github.com/crocusshore/crocusshore/retry"
)

// lockedBudget is a retry budget that concurrent requests share.
type lockedBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func (b *lockedBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Earn()
}

func (b *lockedBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TrySpend()
}
