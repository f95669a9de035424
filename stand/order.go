package stand

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// order changes the role of the instance and returns its status; orders of a lower term are refused.
func (i *Instance) order(now time.Time, order model.Order) (model.UpstreamStatus, error) {
	source, entries, err := i.sourceLog(order)
	if err != nil {
		return model.UpstreamStatus{}, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if order.Term < i.term {
		return model.UpstreamStatus{}, &model.UpstreamError{Code: model.CodeWrongTerm, Term: i.term, Detail: "the instance is in a later term"}
	}
	switch order.Kind {
	case model.OrderFence:
		i.fence(order.Term)
	case model.OrderLead:
		i.becomePrimary(now, order.Term)
	case model.OrderFollow:
		i.becomeReplica(order.Term, source)
		i.truncateDiverged(entries)
	}
	i.notifyChanged()
	return i.status(now), nil
}

// sourceLog returns the primary to follow and its log, or an error if that instance is unreachable or not the primary of the order's
// term. For an order of another kind than OrderFollow it returns neither.
func (i *Instance) sourceLog(order model.Order) (*Instance, []record, error) {
	if order.Kind != model.OrderFollow {
		return nil, nil, nil
	}
	source := i.group.byAddress(order.Primary)
	if source == nil || source.unavailable() || !i.group.network.Reaches(i.config.Domain, source.config.Domain) {
		return nil, nil, &model.UpstreamError{Code: model.CodeUnavailable, Detail: "the primary to follow is out of reach"}
	}
	source.mu.Lock()
	defer source.mu.Unlock()
	if source.term != order.Term || !source.primary {
		return nil, nil, &model.UpstreamError{Code: model.CodeUnavailable, Detail: "the primary to follow does not lead the term yet"}
	}
	return source, source.log[:len(source.log):len(source.log)], nil
}

// fence makes the instance refuse lower terms, run no statements and drop its connections; replicas can still read its log. An instance
// that is in the given term already stays as it is.
func (i *Instance) fence(term model.Term) {
	if term == i.term {
		return
	}
	i.term = term
	i.fenced = true
	i.primary = false
	i.source = nil
	i.sessions = map[string]*session{}
}

func (i *Instance) becomePrimary(now time.Time, term model.Term) {
	if i.primary && i.term == term {
		return
	}
	i.term = term
	i.fenced = false
	i.source = nil
	i.primary = true
	i.applyDue(now)
	i.termStart = model.Position(len(i.log))
	i.sessions = map[string]*session{}
	i.appendRecord(now, record{term: term, appendedAt: now})
}

func (i *Instance) becomeReplica(term model.Term, source *Instance) {
	i.term = term
	i.fenced = false
	i.primary = false
	i.source = source
	i.sessions = map[string]*session{}
}
