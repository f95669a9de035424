package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/view"
	"github.com/crocusshore/crocusshore/wire"
)

const announceTimeout = 300 * time.Millisecond

func newRequest[T any](message *T) *connect.Request[T] { return connect.NewRequest(message) }

// announcer announces changes of the view to other VMs.
type announcer struct{ server *Server }

// Announce implements view.Announcer.
func (a announcer) Announce(ctx context.Context, member view.Member, after model.Version) (model.BootID, model.Version, error) {
	s := a.server
	if member.Boot == s.boot {
		return s.boot, s.views.State().Version, nil
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	boot, version, err := s.announce(ctx, member, after)
	if err == nil && version < after {
		boot, version, err = s.announce(ctx, member, version)
	}
	return boot, version, err
}

// announce sends a member the changes after a version. It returns the member's boot identifier and the version that the member then holds.
func (s *Server) announce(ctx context.Context, member view.Member, after model.Version) (model.BootID, model.Version, error) {
	changes, _ := s.views.ChangesAfter(after)
	request, err := newAnnounceRequest(changes)
	if err != nil {
		return "", 0, err
	}
	answer, err := s.directory.Peer(member.Address).Announce(ctx, newRequest(request))
	if err != nil {
		return "", 0, err
	}
	return model.BootID(answer.Msg.BootId), model.Version(answer.Msg.Version), nil
}

// Broadcast implements view.Announcer.
func (a announcer) Broadcast(change view.Change) {
	s := a.server
	for _, vm := range s.directory.All() {
		if vm.ID == s.config.VM {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			request, err := newAnnounceRequest([]view.Change{change})
			if err == nil {
				_, _ = s.directory.Peer(vm.Address).Announce(ctx, newRequest(request))
			}
		}()
	}
}

func newAnnounceRequest(changes []view.Change) (*wire.AnnounceRequest, error) {
	request := &wire.AnnounceRequest{}
	for _, change := range changes {
		body, err := change.Encode()
		if err != nil {
			return nil, err
		}
		request.Changes = append(request.Changes, &wire.Change{Version: int64(change.Version), Body: body})
	}
	return request, nil
}

// requestConfirmation asks a VM for its confirmation and records whether the VM is reachable.
func (s *Server) requestConfirmation(ctx context.Context, vm model.VM) (*wire.ConfirmResponse, error) {
	answer, err := s.directory.Peer(vm.Address).Confirm(ctx, newRequest(&wire.ConfirmRequest{}))
	if err != nil {
		s.directory.MarkUnreachable(s.now(), vm.ID)
		return nil, err
	}
	s.directory.MarkReachable(vm.ID)
	return answer.Msg, nil
}
