package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/limit"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/owner"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/wire"
)

// compressMinBytes is the size in bytes from which compressing an answer to a peer is worthwhile.
const compressMinBytes = 16 << 10

// peerServer implements the RPC interface for other entry VMs.
type peerServer struct{ server *Server }

var _ wire.PeerHandler = peerServer{}

func (s *Server) peerHandler() (string, http.Handler) {
	return wire.NewPeerHandler(peerServer{s}, connect.WithCompressMinBytes(compressMinBytes))
}

// Confirm implements wire.PeerHandler.
func (p peerServer) Confirm(_ context.Context, request *connect.Request[wire.ConfirmRequest]) (*connect.Response[wire.ConfirmResponse], error) {
	s := p.server
	now := s.now()
	answer := &wire.ConfirmResponse{BootId: string(s.boot), Vm: string(s.config.VM), Leaving: s.leaving.Load(), Roster: s.directory.PlatformDigest()}
	if request.Msg.AsSteward {
		attestation := s.views.Attest(now)
		answer.Version = int64(attestation.Version)
		answer.Confirmed = attestation.Serving
		return connect.NewResponse(answer), nil
	}
	// Read the age before the version: if the version advances between the two reads, the age holds for it as well.
	age, known := s.views.Age(now)
	answer.Version = int64(s.views.State().Version)
	answer.Confirmed = known
	answer.AgeUs = age.Microseconds()
	return connect.NewResponse(answer), nil
}

// Announce implements wire.PeerHandler.
//
// It does not confirm the view: the message may have waited in this VM while the VM was paused.
func (p peerServer) Announce(ctx context.Context, request *connect.Request[wire.AnnounceRequest]) (*connect.Response[wire.AnnounceResponse], error) {
	s := p.server
	if err := s.applyChanges(request.Msg.Changes); err != nil {
		s.recordSyncError("announcement", s.catchUpFromStore(ctx))
	}
	return connect.NewResponse(&wire.AnnounceResponse{BootId: string(s.boot), Version: int64(s.views.State().Version)}), nil
}

// Changes implements wire.PeerHandler.
func (p peerServer) Changes(_ context.Context, request *connect.Request[wire.ChangesRequest]) (*connect.Response[wire.ChangesResponse], error) {
	changes, complete := p.server.views.ChangesAfter(model.Version(request.Msg.After))
	answer := &wire.ChangesResponse{Truncated: !complete}
	for _, change := range changes {
		body, err := change.Encode()
		if err != nil {
			return nil, err
		}
		answer.Changes = append(answer.Changes, &wire.Change{Version: int64(change.Version), Body: body})
	}
	return connect.NewResponse(answer), nil
}

// Grant implements wire.PeerHandler.
func (p peerServer) Grant(ctx context.Context, request *connect.Request[wire.GrantRequest]) (*connect.Response[wire.GrantResponse], error) {
	s := p.server
	m := request.Msg
	part := limit.Part{Node: tree.NodePath(m.Node), Index: int(m.Part)}
	s.issuer.Return(s.now(), part, m.ReturnedId, int(m.Returned))
	grant, err := s.grant(ctx, part, int(m.Wanted))
	if err != nil {
		return connect.NewResponse(&wire.GrantResponse{Holder: false}), nil
	}
	return connect.NewResponse(&wire.GrantResponse{
		Holder:       true,
		Id:           grant.ID,
		Tokens:       int64(grant.Tokens),
		LifeUs:       grant.TTL.Microseconds(),
		RetryAfterUs: grant.RetryAfter.Microseconds(),
	}), nil
}

// Reach implements wire.PeerHandler.
func (p peerServer) Reach(_ context.Context, request *connect.Request[wire.ReachRequest]) (*connect.Response[wire.ReachResponse], error) {
	age, known := p.server.prober.unansweredFor(request.Msg.Target)
	return connect.NewResponse(&wire.ReachResponse{Known: known, AgeUs: age.Microseconds()}), nil
}

// Execute implements wire.PeerHandler.
func (p peerServer) Execute(ctx context.Context, request *connect.Request[wire.ExecuteRequest]) (*connect.Response[wire.ExecuteResponse], error) {
	s := p.server
	r := s.decodeExecuteRequest(request.Msg)
	response, err := s.executeHere(ctx, r)
	return connect.NewResponse(encodeExecuteResponse(response, err)), nil
}

// executeHere runs a request on this VM, as the owner of its instance.
func (s *Server) executeHere(ctx context.Context, r owner.Request) (owner.Response, error) {
	group := s.views.State().Tree.Group(r.Group)
	if group == nil {
		return owner.Response{}, model.Refuse(model.ReasonNoInstance, "this VM does not know the group %s yet", r.Group)
	}
	newWork := r.Mode == model.ModeSingle || r.Mode == model.ModeBegin
	if newWork && s.refuseNewWork.Load() {
		return owner.Response{}, model.Refuse(model.ReasonLeaving, "the home VM %s is leaving", s.config.VM)
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	return s.executor.Execute(ctx, group, r)
}

func (s *Server) decodeExecuteRequest(m *wire.ExecuteRequest) owner.Request {
	r := owner.Request{
		Group:       model.GroupName(m.Group),
		Instance:    model.InstanceName(m.Instance),
		Term:        model.Term(m.Term),
		Team:        model.TeamName(m.Team),
		Key:         model.KeyID(m.KeyId),
		RequestID:   model.RequestID(m.RequestId),
		Mode:        model.Mode(m.Mode),
		Transaction: m.Transaction,
		Deadline:    s.now().Add(time.Duration(m.DeadlineUs) * time.Microsecond),
		MinPosition: model.Position(m.LeastPosition),
	}
	if route, ok := s.views.State().Tree.Route(model.RouteName(m.Route)); ok {
		r.Settings = s.requestSettings(route, r.Team)
	}
	for _, statement := range m.Statements {
		r.Statements = append(r.Statements, model.Statement{Write: statement.Write, Text: statement.Text, Arguments: statement.Arguments})
	}
	return r
}

func encodeExecuteResponse(response owner.Response, err error) *wire.ExecuteResponse {
	var refusal *model.Refusal
	switch {
	case err == nil:
		return &wire.ExecuteResponse{
			Outcome:     string(model.Done),
			Rows:        response.Rows,
			Term:        int64(response.Mark.Term),
			Position:    int64(response.Mark.Position),
			AgeUs:       response.Age.Microseconds(),
			Repeated:    response.Repeated,
			Transaction: response.Transaction,
		}
	case errors.As(err, &refusal):
		return &wire.ExecuteResponse{
			Outcome:      string(refusal.Outcome),
			Reason:       string(refusal.Reason),
			Detail:       refusal.Detail,
			RetryAfterUs: refusal.RetryAfter.Microseconds(),
		}
	default:
		return &wire.ExecuteResponse{Outcome: string(model.Unknown), Reason: string(model.ReasonConnection), Detail: err.Error()}
	}
}

func decodeExecuteResponse(m *wire.ExecuteResponse) (owner.Response, error) {
	if model.Outcome(m.Outcome) != model.Done {
		return owner.Response{}, &model.Refusal{
			Outcome:    model.Outcome(m.Outcome),
			Reason:     model.Reason(m.Reason),
			Detail:     m.Detail,
			RetryAfter: time.Duration(m.RetryAfterUs) * time.Microsecond,
		}
	}
	return owner.Response{
		Rows:        m.Rows,
		Mark:        model.Mark{Term: model.Term(m.Term), Position: model.Position(m.Position)},
		Age:         time.Duration(m.AgeUs) * time.Microsecond,
		Repeated:    m.Repeated,
		Transaction: m.Transaction,
	}, nil
}
