package retry

// Budget limits retries to a share of the requests, so that retries cannot multiply an overload.
type Budget struct {
	// PerRequest is the number of retries that one request adds to the budget.
	PerRequest float64
	// MaxSaved bounds the retries that the budget can hold.
	MaxSaved float64
	balance  float64
}

// NewBudget returns a full budget.
func NewBudget(perRequest, maxSaved float64) *Budget {
	return &Budget{PerRequest: perRequest, MaxSaved: maxSaved, balance: maxSaved}
}

// Earn adds the retries of one request to the budget.
func (b *Budget) Earn() { b.balance = min(b.MaxSaved, b.balance+b.PerRequest) }

// TrySpend reports whether a retry is allowed; if so, it takes the retry off the budget.
func (b *Budget) TrySpend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
