package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/view"
	"github.com/crocusshore/crocusshore/wire"
)

const (
	confirmInterval = 100 * time.Millisecond
	confirmTimeout  = 400 * time.Millisecond
	// relaysPerDomain is how many VMs of a failure domain read the store for the others.
	relaysPerDomain = 2
	// relayFanOut is how many VMs have the same parent, the VM that they ask for confirmations.
	relayFanOut     = 6
	relayRankingKey = "relay"
	// stewardFallbackAge is the age that the last confirmation must reach before the stewards are asked for a new one.
	stewardFallbackAge = 300 * time.Millisecond
)

// errStale means that a peer, or every parent, could not confirm the view.
var errStale = errors.New("the peer holds no usable confirmation")

// every calls step at once and then at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runStoreSync keeps the view confirmed from the store, which is read by this VM or by a relay of its failure domain.
func (s *Server) runStoreSync(ctx context.Context) {
	every(ctx, confirmInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		if s.isRelay() || s.isSteward() {
			s.recordSyncError("store", s.confirmFromStore(ctx))
			return
		}
		if s.confirmFromParents(ctx) != nil {
			s.recordSyncError("store", s.confirmFromStore(ctx))
		}
	})
}

func (s *Server) recordSyncError(source string, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	s.metrics.Tagged(map[string]string{"source": source}).Counter("confirmation_failures").Inc(1)
	s.log.Debug("synchronization failed", "source", source, "error", err)
}

// isRelay reports whether this VM reads the store for the other VMs of its failure domain.
func (s *Server) isRelay() bool {
	rank, found := fleet.Index(s.config.VM, s.directory.RankedInDomain(relayRankingKey, s.config.Domain))
	return found && rank < relaysPerDomain
}

// parents returns the VMs to ask for a confirmation, in order: the parent of this VM in the tree of its failure domain,
// then the relays, which are at the top of that tree.
func (s *Server) parents() []model.VM {
	ranked := s.directory.RankedInDomain(relayRankingKey, s.config.Domain)
	parents := slices.Clone(ranked[:min(relaysPerDomain, len(ranked))])
	if rank, found := fleet.Index(s.config.VM, ranked); found && rank >= relaysPerDomain {
		parents = slices.Insert(parents, 0, ranked[rank/relayFanOut])
	}
	return parents
}

func (s *Server) isSteward() bool {
	for _, member := range s.views.State().Stewards.Current {
		if member.Boot == s.boot {
			return true
		}
	}
	return false
}

// confirmFromStore reads the newest version from the store and the changes that this VM lacks, and confirms the view.
func (s *Server) confirmFromStore(ctx context.Context) error {
	sentAt := s.now()
	head, err := s.changeLog.Head(ctx)
	if err != nil {
		return err
	}
	if head.Version > s.views.State().Version {
		if err := s.catchUpFromStore(ctx); err != nil {
			return err
		}
	}
	s.violations.Assert(s.views.Reverts() == 0, check.NoRevert, "the view went back %d times", s.views.Reverts())
	s.views.ConfirmFromStore(view.Confirmation{Version: head.Version, At: sentAt})
	return nil
}

func (s *Server) catchUpFromStore(ctx context.Context) error {
	state := s.views.State()
	if state.Version == 0 {
		loaded, err := s.changeLog.Load(ctx)
		if err != nil {
			return err
		}
		s.views.Install(loaded)
		return nil
	}
	changes, err := s.changeLog.Since(ctx, state.Version)
	if err != nil {
		return err
	}
	if len(changes) > 0 && changes[0].Version != state.Version+1 {
		loaded, err := s.changeLog.Load(ctx)
		if err != nil {
			return err
		}
		s.views.Install(loaded)
		return nil
	}
	return s.views.Apply(changes)
}

// confirmFromParents uses the confirmation of the first parent that has one.
func (s *Server) confirmFromParents(ctx context.Context) error {
	for _, parent := range s.parents() {
		if err := s.confirmFromPeer(ctx, parent); err == nil {
			return nil
		}
	}
	return errStale
}

func (s *Server) confirmFromPeer(ctx context.Context, peer model.VM) error {
	sentAt := s.now()
	answer, err := s.requestConfirmation(ctx, peer)
	if err != nil {
		return err
	}
	if err := s.catchUpRoster(ctx, peer, answer.Roster); err != nil {
		s.recordSyncError("roster", err)
	}
	if !answer.Confirmed {
		return errStale
	}
	if err := s.catchUpFromPeer(ctx, peer, model.Version(answer.Version)); err != nil {
		return err
	}
	at := sentAt.Add(-time.Duration(answer.AgeUs) * time.Microsecond)
	s.views.Confirm(view.Confirmation{Version: model.Version(answer.Version), At: at})
	return nil
}

func (s *Server) catchUpFromPeer(ctx context.Context, peer model.VM, version model.Version) error {
	state := s.views.State()
	if version <= state.Version {
		return nil
	}
	answer, err := s.directory.Peer(peer.Address).Changes(ctx, newRequest(&wire.ChangesRequest{After: int64(state.Version)}))
	if err != nil {
		return err
	}
	if answer.Msg.Truncated {
		return s.catchUpFromStore(ctx)
	}
	return s.applyChanges(answer.Msg.Changes)
}

func (s *Server) applyChanges(messages []*wire.Change) error {
	changes := make([]view.Change, 0, len(messages))
	for _, message := range messages {
		change, err := view.DecodeChange(message.Body)
		if err != nil {
			return err
		}
		changes = append(changes, change)
	}
	return s.views.Apply(changes)
}

// runStewardSync keeps the view confirmed by the stewards while the store is unreachable.
func (s *Server) runStewardSync(ctx context.Context) {
	every(ctx, confirmInterval, func(ctx context.Context) {
		if s.views.ConfirmedWithin(s.now(), stewardFallbackAge) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		s.confirmFromStewards(ctx)
	})
}

func (s *Server) confirmFromStewards(ctx context.Context) {
	stewards := s.views.State().Stewards
	answers := make([]view.Attestation, len(stewards.Current))
	answered := make(chan struct{}, len(stewards.Current))
	var mu sync.Mutex
	for i, member := range stewards.Current {
		go func() {
			answer, err := s.attestationOf(ctx, member)
			mu.Lock()
			if err == nil {
				answers[i] = answer
			}
			mu.Unlock()
			answered <- struct{}{}
		}()
	}
	for range stewards.Current {
		<-answered
		mu.Lock()
		confirmation, ok := view.ConfirmByStewards(stewards, s.views.State().Version, answers)
		mu.Unlock()
		if ok {
			s.views.Confirm(confirmation)
			return
		}
	}
}

// attestationOf asks a steward for its attestation and fetches the changes that this VM lacks.
func (s *Server) attestationOf(ctx context.Context, member view.Member) (view.Attestation, error) {
	if member.Boot == s.boot {
		return s.views.Attest(s.now()), nil
	}
	sentAt := s.now()
	peer := model.VM{ID: member.VM, Address: member.Address}
	response, err := s.directory.Peer(member.Address).Confirm(ctx, newRequest(&wire.ConfirmRequest{AsSteward: true}))
	if err != nil {
		return view.Attestation{}, err
	}
	answer := response.Msg
	if model.Version(answer.Version) > s.views.State().Version {
		if err := s.catchUpFromPeer(ctx, peer, model.Version(answer.Version)); err != nil {
			return view.Attestation{}, err
		}
	}
	return view.Attestation{
		Boot:    model.BootID(answer.BootId),
		Version: model.Version(answer.Version),
		Serving: answer.Confirmed,
		SentAt:  sentAt,
	}, nil
}
