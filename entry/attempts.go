package entry

import "github.com/crocusshore/crocusshore/model"

// attempts keeps what is known of the attempts to run a write, which its caller gets as one outcome.
type attempts struct {
	// unsettled is the error of the last attempt whose outcome is unknown, until the outcome is found.
	unsettled error
}

// recordSettled records the result of an attempt that reached an instance, after its outcome was looked up. A look-up finds any attempt, since
// all of them have the same identifier.
func (a *attempts) recordSettled(err error) {
	a.unsettled = nil
	if hasOutcome(err, model.Unknown) {
		a.unsettled = err
	}
}

// refusal returns what the caller gets if the last attempt ended with err. An attempt that did not run says nothing of an earlier one that
// may have run.
func (a *attempts) refusal(err error) error {
	if a.unsettled != nil {
		return a.unsettled
	}
	return err
}
