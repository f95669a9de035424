package entry

import (
	"context"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/owner"
	"github.com/crocusshore/crocusshore/token"
	"github.com/crocusshore/crocusshore/view"
)

// begin opens an interactive transaction on the primary and returns its identifier.
func (s *Server) begin(ctx context.Context, c *call) (string, error) {
	for attempt := 0; ; attempt++ {
		placement, err := s.awaitPrimary(ctx, c)
		if err != nil {
			return "", err
		}
		response, vm, err := s.execute(ctx, c.route.Name, s.request(c, placement.Primary, placement.Term, model.ModeBegin))
		if err == nil {
			s.recordSupplied(c)
			return s.sealer.SealTransaction(token.Transaction{
				ID:       response.Transaction,
				VM:       vm,
				Route:    c.route.Name,
				Group:    c.route.Group,
				Instance: placement.Primary,
				Term:     placement.Term,
				Team:     c.who.team,
				Key:      c.who.key,
			})
		}
		if again, err := s.awaitRetry(ctx, c, attempt, err); !again {
			return "", err
		}
	}
}

// openTransaction decodes a transaction identifier and checks that it belongs to the caller.
func (s *Server) openTransaction(ctx context.Context, text, key string) (token.Transaction, *call, error) {
	transaction, err := s.sealer.OpenTransaction(text)
	if err != nil {
		return transaction, nil, model.Refuse(model.ReasonNoTransaction, "the transaction identifier is malformed")
	}
	route, who, err := s.authorize(ctx, transaction.Route, key)
	if err != nil {
		return transaction, nil, err
	}
	if transaction.Team != who.team || transaction.Key != who.key {
		return transaction, nil, model.Refuse(model.ReasonOtherTeam, "the transaction belongs to another caller")
	}
	return transaction, &call{route: route, who: who, deadline: s.now().Add(route.Settings.Deadline)}, nil
}

// runInTransaction runs one step of an interactive transaction on the VM that holds its connection.
func (s *Server) runInTransaction(ctx context.Context, c *call, transaction token.Transaction, mode model.Mode) (owner.Response, error) {
	vm, listed := s.directory.Find(transaction.VM)
	if !listed {
		return owner.Response{}, s.errLostTransaction(mode)
	}
	r := s.request(c, transaction.Instance, transaction.Term, mode)
	r.Transaction = transaction.ID
	response, sent, err := s.executeAt(ctx, vm, c.route.Name, r)
	if err != nil && !sent && !hasReason(err, model.ReasonLeaving) {
		return response, s.errLostTransaction(mode)
	}
	return response, err
}

// errLostTransaction returns the refusal of a request in a transaction whose VM was removed or refused the connection.
// The upstream rolls such a transaction back, so for a rollback the result is nil.
func (s *Server) errLostTransaction(mode model.Mode) error {
	if mode == model.ModeRollback {
		return nil
	}
	return model.Refuse(model.ReasonNoTransaction, "the VM of the transaction is gone, so the transaction is rolled back; begin a new one")
}

// commit commits an interactive transaction, at most once.
func (s *Server) commit(ctx context.Context, c *call, transaction token.Transaction) (reply, error) {
	placement := view.Placement{Term: transaction.Term, Primary: transaction.Instance}
	if !s.mayAcknowledge(transaction.Group, transaction.Term) {
		return reply{}, model.Refuse(model.ReasonReplaced, "the primary of the transaction was replaced; begin a new one")
	}
	response, err := s.runInTransaction(ctx, c, transaction, model.ModeCommit)
	if err == nil || hasOutcome(err, model.Unknown) {
		response, err = s.settleOutcome(ctx, c, placement, response, err)
	}
	if err != nil {
		return reply{}, err
	}
	return s.acknowledge(c, placement, response), nil
}

// lookUp returns the recorded outcome of an earlier request of the team.
func (s *Server) lookUp(ctx context.Context, c *call) (reply, error) {
	for attempt := 0; ; attempt++ {
		placement, err := s.awaitPrimary(ctx, c)
		if err != nil {
			return reply{}, model.Uncertain(model.ReasonNoPrimary, "the outcome cannot be looked up now")
		}
		response, _, err := s.execute(ctx, c.route.Name, s.request(c, placement.Primary, placement.Term, owner.ModeFind))
		if err == nil && s.mayAcknowledge(c.route.Group, placement.Term) {
			return s.acknowledge(c, placement, response), nil
		}
		if hasReason(err, model.ReasonNotRecorded) {
			return reply{}, err
		}
		if !s.waitBeforeRetry(ctx, c, attempt) {
			return reply{}, model.Uncertain(model.ReasonNoPrimary, "the outcome cannot be looked up now")
		}
	}
}
