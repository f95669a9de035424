package entry

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/admin"
	"github.com/crocusshore/crocusshore/jsonc"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/secret"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

// inEffectTimeout bounds how long an operator's command waits for its change to come into effect.
const inEffectTimeout = 8 * time.Second

// operatorServer implements the HTTP API for operators.
type operatorServer struct{ server *Server }

var (
	_ admin.Handler         = operatorServer{}
	_ admin.SecurityHandler = operatorServer{}
)

func (s *Server) operatorHandler() (http.Handler, error) {
	api, err := admin.NewServer(operatorServer{s}, operatorServer{s})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/", http.MaxBytesHandler(api, 64*maxBodyBytes))
	if s.options.MetricsHandler != nil {
		mux.Handle("GET /metrics", s.options.MetricsHandler)
	}
	return mux, nil
}

// HandleOperatorKey implements admin.SecurityHandler.
func (o operatorServer) HandleOperatorKey(ctx context.Context, _ admin.OperationName, key admin.OperatorKey) (context.Context, error) {
	if subtle.ConstantTimeCompare([]byte(key.Token), []byte(o.server.config.OperatorKey)) != 1 {
		return ctx, errors.New("the operator key is wrong")
	}
	return ctx, nil
}

// GetSettings implements admin.Handler.
func (o operatorServer) GetSettings(context.Context) (*admin.Settings, error) {
	state := o.server.views.State()
	text, err := state.Tree.Text()
	return &admin.Settings{Version: int64(state.Version), Text: text}, err
}

// ApplySettings implements admin.Handler.
func (o operatorServer) ApplySettings(ctx context.Context, request *admin.SettingsChange) (*admin.Changed, error) {
	wanted, err := tree.Parse("settings", []byte(request.Text))
	if err != nil {
		return nil, err
	}
	s := o.server
	version, err := s.committer.Commit(ctx, func(state *view.State) (view.Change, error) {
		if request.Expected.Set && request.Expected.Value != int64(state.Version) && settingsChangedSince(s, model.Version(request.Expected.Value)) {
			return view.Change{}, errSettingsChanged
		}
		return settingsChange(state, wanted, request.Author.Or("operator"))
	})
	if errors.Is(err, view.ErrNoChange) {
		return &admin.Changed{Version: int64(s.views.State().Version), InForce: true, Missing: []string{}}, nil
	}
	if err != nil {
		return nil, err
	}
	return o.awaitChange(ctx, version), nil
}

var errSettingsChanged = errors.New("another operator changed the settings first; read them again and repeat the change")

// settingsChangedSince reports whether the settings changed after a version, or may have changed because older changes
// are no longer kept. Changes that the VMs make themselves do not count.
func settingsChangedSince(s *Server, version model.Version) bool {
	changes, complete := s.views.ChangesAfter(version)
	if !complete {
		return true
	}
	for _, change := range changes {
		if change.Touches(view.NodeKey("")) {
			return true
		}
	}
	return false
}

// settingsChange returns the change from the current settings to the wanted ones. It holds only the nodes that differ; if
// there are none, the error is view.ErrNoChange.
func settingsChange(state *view.State, wanted *tree.Tree, author string) (view.Change, error) {
	change := view.Change{Author: author, Summary: "settings"}
	before, after := state.Tree.Rows(), wanted.Rows()
	for path, value := range after {
		if string(before[path]) == string(value) {
			continue
		}
		if err := change.Put(view.NodeKey(path), value); err != nil {
			return change, err
		}
	}
	for path := range before {
		if _, kept := after[path]; !kept {
			change.Delete(view.NodeKey(path))
		}
	}
	if len(change.Puts)+len(change.Deletes) == 0 {
		return change, view.ErrNoChange
	}
	return change, nil
}

// awaitChange waits until a change is in effect, up to inEffectTimeout, and names the VMs that have not confirmed it by
// then.
func (o operatorServer) awaitChange(ctx context.Context, version model.Version) *admin.Changed {
	s := o.server
	waitCtx, cancel := context.WithTimeout(ctx, inEffectTimeout)
	defer cancel()
	inEffect, missing := s.committer.Await(waitCtx, version)
	result := &admin.Changed{Version: int64(version), InForce: inEffect, Missing: []string{}}
	for _, member := range missing {
		result.Missing = append(result.Missing, string(member.VM))
	}
	return result
}

// GetEffective implements admin.Handler.
func (o operatorServer) GetEffective(_ context.Context, params admin.GetEffectiveParams) ([]admin.EffectiveSetting, error) {
	state := o.server.views.State()
	path := tree.NodePath(params.Node)
	if path != tree.FleetPath && state.Tree.Node(path) == nil {
		return nil, errors.Newf("the node %s does not exist; use Fleet, Teams/NAME or Routes/NAME", path)
	}
	explained := []admin.EffectiveSetting{}
	for _, e := range state.Tree.Explain(path) {
		explained = append(explained, admin.EffectiveSetting(e))
	}
	return explained, nil
}

// GetHistory implements admin.Handler.
func (o operatorServer) GetHistory(ctx context.Context) ([]admin.HistoryEntry, error) {
	const latest = 100
	s := o.server
	newest := s.views.State().Version
	changes, err := s.changeLog.Since(ctx, max(0, newest-latest))
	if err != nil {
		return nil, err
	}
	entries := []admin.HistoryEntry{}
	for i := len(changes) - 1; i >= 0; i-- {
		change := changes[i]
		entries = append(entries, admin.HistoryEntry{Version: int64(change.Version), Author: change.Author, Summary: change.Summary, At: change.At})
	}
	return entries, nil
}

// ListKeys implements admin.Handler.
func (o operatorServer) ListKeys(context.Context) ([]admin.KeyInfo, error) {
	listed := []admin.KeyInfo{}
	for id, key := range o.server.views.State().Keys {
		listed = append(listed, admin.KeyInfo{ID: string(id), Team: string(key.Team), Issued: key.Issued})
	}
	return listed, nil
}

// IssueKey implements admin.Handler.
func (o operatorServer) IssueKey(ctx context.Context, request *admin.KeyRequest) (*admin.IssuedKey, error) {
	s := o.server
	issued, err := secret.Issue()
	if err != nil {
		return nil, err
	}
	version, err := s.committer.Commit(ctx, func(state *view.State) (view.Change, error) {
		team := model.TeamName(request.Team)
		if state.Tree.Node(tree.TeamPath(team)) == nil {
			return view.Change{}, errors.Newf("the team %s does not exist; add it to the settings first", team)
		}
		change := view.Change{Author: "operator", Summary: "key issued for " + request.Team}
		return change, change.Put(view.KeyKey(issued.ID), view.Key{Team: team, Salt: issued.Salt, Hash: issued.Hash, Issued: s.now()})
	})
	if err != nil {
		return nil, err
	}
	changed := o.awaitChange(ctx, version)
	return &admin.IssuedKey{ID: string(issued.ID), Key: issued.Text, Version: changed.Version, InForce: changed.InForce}, nil
}

// WithdrawKey implements admin.Handler.
func (o operatorServer) WithdrawKey(ctx context.Context, params admin.WithdrawKeyParams) (*admin.Changed, error) {
	id := model.KeyID(params.ID)
	version, err := o.server.committer.Commit(ctx, func(state *view.State) (view.Change, error) {
		if _, known := state.Keys[id]; !known {
			return view.Change{}, errors.Newf("the key %s does not exist or was withdrawn before", id)
		}
		change := view.Change{Author: "operator", Summary: "key withdrawn"}
		change.Delete(view.KeyKey(id))
		return change, nil
	})
	if err != nil {
		return nil, err
	}
	return o.awaitChange(ctx, version), nil
}

// NewError implements admin.Handler.
func (o operatorServer) NewError(_ context.Context, err error) *admin.ProblemStatusCode {
	document := &admin.ProblemStatusCode{
		StatusCode: http.StatusConflict,
		Response:   admin.Problem{Reason: "Refused", Detail: err.Error()},
	}
	var findings *jsonc.Findings
	if errors.As(err, &findings) {
		document.StatusCode = http.StatusUnprocessableEntity
		document.Response = admin.Problem{Reason: "Findings", Detail: "the settings have mistakes; nothing was applied"}
		for _, f := range findings.List() {
			document.Response.Findings = append(document.Response.Findings, admin.Finding{
				Line: f.Location.Line, Column: f.Location.Column, Path: f.Location.Path, Message: f.Message, Advice: f.Advice,
			})
		}
	}
	if errors.Is(err, model.ErrUncertain) {
		document.StatusCode = http.StatusServiceUnavailable
		document.Response.Reason = "Pending"
	}
	return document
}
