package memory

// Uses of memory.
const (
	// UseMediumRequests and UseLargeRequests are messages of callers that are received, or run and not yet answered.
	UseMediumRequests Use = "MediumRequests"
	UseLargeRequests  Use = "LargeRequests"
	// UseMediumAnswers and UseLargeAnswers are answers that are received from instances and sent to callers.
	UseMediumAnswers Use = "MediumAnswers"
	UseLargeAnswers  Use = "LargeAnswers"
	// UseSessions are session values and prepared statements.
	UseSessions Use = "Sessions"
	// UseMediumPeers and UseLargePeers are messages of other VMs and the answers to them.
	UseMediumPeers Use = "MediumPeers"
	UseLargePeers  Use = "LargePeers"
)

// Use is what memory is used for; each use has a share of the budget.
type Use string
