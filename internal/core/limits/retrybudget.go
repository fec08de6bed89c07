package limits

// RetryBudget lets retries be no more than a share of first tries. A small
// reserve lets a quiet caller retry too.
type RetryBudget struct {
	share   float64
	reserve float64
	tokens  float64
}

// NewRetryBudget makes a budget with a share from 0 to 1 and a reserve, the
// number of retries that may be saved up.
func NewRetryBudget(share float64, reserve int) *RetryBudget {
	return &RetryBudget{share: share, reserve: float64(reserve), tokens: float64(reserve)}
}

// SetShare changes the share.
func (b *RetryBudget) SetShare(share float64) { b.share = share }

// First notes a first try, which earns a share of a retry.
func (b *RetryBudget) First() { b.tokens = min(b.reserve, b.tokens+b.share) }

// Retry spends one retry; it is false when the budget has none left.
func (b *RetryBudget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
