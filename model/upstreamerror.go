package model

// UpstreamCode is the reason why an instance refused a request; nothing ran then.
type UpstreamCode string

const (
	// CodeWrongTerm means that the instance is in another term.
	CodeWrongTerm UpstreamCode = "WrongTerm"
	// CodeNotPrimary means that the instance is a replica.
	CodeNotPrimary UpstreamCode = "NotPrimary"
	// CodeTooManyConnections means that the connection limit is reached.
	CodeTooManyConnections UpstreamCode = "TooManyConnections"
	// CodeNoConnection means that the connection does not exist.
	CodeNoConnection UpstreamCode = "NoConnection"
	// CodeBadStatement means that a statement cannot run.
	CodeBadStatement UpstreamCode = "BadStatement"
	// CodeUnavailable means that the instance takes no work now.
	CodeUnavailable UpstreamCode = "Unavailable"
)

// UpstreamError reports that an instance refused a request and ran nothing.
type UpstreamError struct {
	Code   UpstreamCode
	Detail string
	Term   Term
}

// Error returns the code and the detail.
func (e *UpstreamError) Error() string {
	return string(e.Code) + ": " + e.Detail
}
