package model

// Outcome is what became of a caller's request.
type Outcome string

const (
	// Done means that the request ran exactly once and its answer is complete.
	Done Outcome = "Done"
	// NotRun means that the request had no effect and never will.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have run; a look-up by request id may resolve it.
	Unknown Outcome = "Unknown"
)

// Reason is a stable code for why a request was refused.
type Reason string

const (
	// ReasonBadRequest marks a request that can never be accepted as it is.
	ReasonBadRequest Reason = "BadRequest"
	// ReasonBadToken marks a session token that is malformed or forged.
	ReasonBadToken Reason = "BadToken"
	// ReasonNoKey marks a request without a key on a route that needs one.
	ReasonNoKey Reason = "NoKey"
	// ReasonUnknownKey marks a key that does not exist or was revoked.
	ReasonUnknownKey Reason = "UnknownKey"
	// ReasonNoRoute marks a route that does not exist.
	ReasonNoRoute Reason = "NoRoute"
	// ReasonOtherTeam marks a route, request or transaction of another team.
	ReasonOtherTeam Reason = "OtherTeam"
	// ReasonOverRate marks a request above the rate of its team or route.
	ReasonOverRate Reason = "OverRate"
	// ReasonOverload marks a request that no instance could take in time.
	ReasonOverload Reason = "Overload"
	// ReasonDeadline marks a request whose deadline passed.
	ReasonDeadline Reason = "Deadline"
	// ReasonNoPrimary marks a write while its group has no primary in effect.
	ReasonNoPrimary Reason = "NoPrimary"
	// ReasonNoInstance marks a request whose instances are all unreachable.
	ReasonNoInstance Reason = "NoInstance"
	// ReasonNotConfirmed marks a request that needs a newer confirmation of the view.
	ReasonNotConfirmed Reason = "NotConfirmed"
	// ReasonReplaced marks a request whose primary was replaced while it ran.
	ReasonReplaced Reason = "Replaced"
	// ReasonNotReplicated marks a write that no second instance confirmed in time.
	ReasonNotReplicated Reason = "NotReplicated"
	// ReasonNoTransaction marks a transaction that does not exist or has ended.
	ReasonNoTransaction Reason = "NoTransaction"
	// ReasonStatement marks a statement that the upstream rejected.
	ReasonStatement Reason = "Statement"
	// ReasonConnection marks a connection that broke while the request ran.
	ReasonConnection Reason = "Connection"
	// ReasonBehind marks a replica that has not applied what the session has observed.
	ReasonBehind Reason = "Behind"
	// ReasonLeaving marks a VM that is stopping.
	ReasonLeaving Reason = "Leaving"
	// ReasonNotRecorded marks a look-up of a request that no instance has recorded.
	ReasonNotRecorded Reason = "NotRecorded"
)
