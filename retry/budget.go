package retry

// Budget allows retries as a share of the requests, so that retries cannot multiply an overload.
type Budget struct {
	// PerRequest is how many retries one request earns.
	PerRequest float64
	// MaxSaved is how many retries can be saved up.
	MaxSaved float64
	balance  float64
}

// NewBudget returns a full budget.
func NewBudget(perRequest, maxSaved float64) *Budget {
	return &Budget{PerRequest: perRequest, MaxSaved: maxSaved, balance: maxSaved}
}

// Earn records a request.
func (b *Budget) Earn() { b.balance = min(b.MaxSaved, b.balance+b.PerRequest) }

// Spend tells whether a retry is allowed and records it.
func (b *Budget) Spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
