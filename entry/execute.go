package entry

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/owner"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/wire"
)

const (
	// maxOwnerAttempts bounds how many VMs one request tries as the owner of its instance.
	maxOwnerAttempts = 3
	baseRetryDelay   = 10 * time.Millisecond
	maxRetryDelay    = 100 * time.Millisecond
)

var backoff = retry.Backoff{Base: baseRetryDelay, Max: maxRetryDelay}

// execute runs a request through the owner of its instance, the VM that holds the connections to the instance, and
// returns the VM that ran it.
func (s *Server) execute(ctx context.Context, route model.RouteName, r owner.Request) (owner.Response, model.VMID, error) {
	group := s.views.State().Tree.Group(r.Group)
	if group == nil {
		return owner.Response{}, "", model.Refuse(model.ReasonNoInstance, "the group %s does not exist", r.Group)
	}
	instance, ok := group.Instance(r.Instance)
	if !ok {
		return owner.Response{}, "", model.Refuse(model.ReasonNoInstance, "the group %s has no instance %s", r.Group, r.Instance)
	}
	ref := model.InstanceRef{Group: r.Group, Instance: r.Instance}
	defer s.observations.trackInFlight(ref)()
	var lastErr error = model.Refuse(model.ReasonNoInstance, "no home VM of the instance %s was reached", ref)
	for attempt, vm := range s.rankOwners(ref, instance) {
		if attempt == maxOwnerAttempts || !s.now().Before(r.Deadline) {
			break
		}
		response, sent, err := s.executeAt(ctx, vm, route, r)
		if sent {
			return response, vm.ID, err
		}
		lastErr = err
	}
	return owner.Response{}, "", lastErr
}

// rankOwners ranks the VMs that may be the owner of an instance, with the VMs in the failure domain of the instance first.
func (s *Server) rankOwners(ref model.InstanceRef, instance tree.Instance) []model.VM {
	return s.directory.RankedDomainFirst("home/"+ref.String(), instance.Domain)
}

// executeAt runs a request at one VM. sent is false if the request certainly did not arrive there, or if the VM
// refused it because it is leaving.
func (s *Server) executeAt(ctx context.Context, vm model.VM, route model.RouteName, r owner.Request) (response owner.Response, sent bool, err error) {
	if vm.ID == s.config.VM {
		response, err = s.executeHere(ctx, r)
		return response, !hasReason(err, model.ReasonLeaving), err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	answer, err := s.directory.Peer(vm.Address).Execute(ctx, newRequest(s.encodeExecuteRequest(route, r)))
	if err != nil {
		s.directory.MarkUnreachable(s.now(), vm.ID)
		return owner.Response{}, !notSent(err), peerError(r, err)
	}
	response, err = decodeExecuteResponse(answer.Msg)
	if hasReason(err, model.ReasonLeaving) {
		s.directory.MarkUnreachable(s.now(), vm.ID)
		return owner.Response{}, false, err
	}
	return response, true, err
}

func (s *Server) encodeExecuteRequest(route model.RouteName, r owner.Request) *wire.ExecuteRequest {
	m := &wire.ExecuteRequest{
		Group:         string(r.Group),
		Instance:      string(r.Instance),
		Term:          int64(r.Term),
		Team:          string(r.Team),
		Route:         string(route),
		RequestId:     string(r.RequestID),
		Mode:          string(r.Mode),
		Transaction:   r.Transaction,
		DeadlineUs:    r.Deadline.Sub(s.now()).Microseconds(),
		LeastPosition: int64(r.MinPosition),
		KeyId:         string(r.Key),
	}
	for _, statement := range r.Statements {
		m.Statements = append(m.Statements, &wire.Statement{Write: statement.Write, Text: statement.Text, Arguments: statement.Arguments})
	}
	return m
}

// notSent reports whether an error occurred before any byte of the request was sent.
func notSent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// peerError converts the error of a call to the owner of an instance to a refusal.
func peerError(r owner.Request, err error) error {
	if notSent(err) {
		return model.Refuse(model.ReasonNoInstance, "the home VM refused the connection")
	}
	readOnly := r.Mode == model.ModeSingle && !model.AnyWrite(r.Statements)
	if readOnly || r.Mode == model.ModeBegin || r.Mode == owner.ModeFind {
		return model.Refuse(model.ReasonConnection, "the home VM did not answer; the request has no lasting effect")
	}
	return model.Uncertain(model.ReasonConnection, "the home VM did not answer")
}

func hasReason(err error, reasons ...model.Reason) bool {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	for _, reason := range reasons {
		if refusal.Reason == reason {
			return true
		}
	}
	return false
}

func hasOutcome(err error, outcome model.Outcome) bool {
	var refusal *model.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == outcome
}
