package stand

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// run runs one request of a connection; a *model.UpstreamError means that nothing of it ran.
func (i *Instance) run(ctx context.Context, id string, run model.Run) (model.Result, error) {
	for _, s := range run.Statements {
		if err := checkStatement(s); err != nil {
			return model.Result{}, err
		}
	}
	s, err := i.occupySession(id, run.Term)
	if err != nil {
		return model.Result{}, err
	}
	defer i.releaseSession(s)
	select {
	case i.slots <- struct{}{}:
		defer func() { <-i.slots }()
	case <-ctx.Done():
		return model.Result{}, &model.UpstreamError{Code: model.CodeUnavailable, Detail: "no slot came free"}
	}
	time.Sleep(i.config.ServiceTime)
	return i.execute(time.Now(), s, run)
}

func (i *Instance) occupySession(id string, term model.Term) (*session, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.checkTerm(term); err != nil {
		return nil, err
	}
	s := i.sessions[id]
	if s == nil || s.busy {
		return nil, &model.UpstreamError{Code: model.CodeNoConnection, Detail: "the connection is closed or busy"}
	}
	s.busy = true
	i.running++
	return s, nil
}

func (i *Instance) releaseSession(s *session) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s.busy = false
	i.running--
}

func (i *Instance) checkTerm(term model.Term) error {
	if term != i.term || i.fenced {
		return &model.UpstreamError{Code: model.CodeWrongTerm, Term: i.term, Detail: "the instance serves another term"}
	}
	return nil
}

func (i *Instance) execute(now time.Time, s *session, run model.Run) (model.Result, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.checkTerm(run.Term); err != nil {
		return model.Result{}, err
	}
	i.applyDue(now)
	writes := model.AnyWrite(run.Statements) || run.Mode == model.ModeCommit || run.Mode == model.ModeBegin
	if writes && !i.primary {
		return model.Result{}, &model.UpstreamError{Code: model.CodeNotPrimary, Detail: "the instance is a replica"}
	}
	if position, found := i.requests[run.RequestID]; found && run.RequestID != "" {
		return i.repeatedResult(position), nil
	}
	result := model.Result{Age: i.staleness(now)}
	switch run.Mode {
	case model.ModeBegin:
		s.inTransaction, s.snapshot, s.statements, s.rows = true, i.data.clone(), nil, nil
	case model.ModeContinue:
		if !s.inTransaction {
			return model.Result{}, &model.UpstreamError{Code: model.CodeNoConnection, Detail: "no transaction is open"}
		}
		result.Rows = runAll(s.snapshot, run.Statements)
		s.statements = append(s.statements, run.Statements...)
	case model.ModeCommit:
		if !s.inTransaction {
			return model.Result{}, &model.UpstreamError{Code: model.CodeNoConnection, Detail: "no transaction is open"}
		}
		result.Rows = i.commit(now, run.RequestID, s.statements)
		s.inTransaction = false
	case model.ModeRollback:
		s.inTransaction = false
	default:
		result.Rows = i.runSingle(now, run)
	}
	result.Mark = model.Mark{Term: i.term, Position: model.Position(i.applied)}
	return result, nil
}

func (i *Instance) runSingle(now time.Time, run model.Run) []string {
	if model.AnyWrite(run.Statements) {
		return i.commit(now, run.RequestID, run.Statements)
	}
	return runAll(i.data, run.Statements)
}

func (i *Instance) commit(now time.Time, id model.RequestID, statements []model.Statement) []string {
	rows := runAll(i.data, statements)
	var writes []model.Statement
	for _, s := range statements {
		if s.Write {
			writes = append(writes, s)
		}
	}
	i.appendRecord(now, record{term: i.term, requestID: id, statements: writes, rows: rows, appendedAt: now})
	return rows
}

// repeatedResult returns the recorded result of a request that ran before.
func (i *Instance) repeatedResult(position int) model.Result {
	return model.Result{
		Rows:     i.log[position-1].rows,
		Mark:     model.Mark{Term: i.term, Position: model.Position(position)},
		Repeated: true,
	}
}

func runAll(d data, statements []model.Statement) []string {
	var rows []string
	for _, s := range statements {
		rows = append(rows, d.run(s)...)
	}
	return rows
}
