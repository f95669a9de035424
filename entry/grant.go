package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/limit"
	"github.com/crocusshore/crocusshore/quota"
	"github.com/crocusshore/crocusshore/wire"
)

// errNoHolder means that the VM that got the request is not certain to hold the bucket, or that no VM holds it.
var errNoHolder = errors.New("nobody holds the bucket now")

// grantClient requests grants of tokens from the VMs that hold the buckets.
type grantClient struct{ server *Server }

// Request implements limit.TokenSource.
func (c grantClient) Request(ctx context.Context, part limit.Part, wanted int, returnedID string, returned int) (quota.Grant, error) {
	s := c.server
	shard, ok := s.views.State().QuotaShards[part.Shard()]
	if !ok {
		return quota.Grant{}, errNoHolder
	}
	if shard.Holder.Boot == s.boot {
		s.issuer.Return(s.now(), part, returnedID, returned)
		return s.grant(ctx, part, wanted)
	}
	answer, err := s.directory.Peer(shard.Holder.Address).Grant(ctx, newRequest(&wire.GrantRequest{
		Node:       string(part.Node),
		Part:       int64(part.Index),
		Wanted:     int64(wanted),
		ReturnedId: returnedID,
		Returned:   int64(returned),
	}))
	if err != nil {
		return quota.Grant{}, err
	}
	if !answer.Msg.Holder {
		return quota.Grant{}, errNoHolder
	}
	return quota.Grant{
		ID:         answer.Msg.Id,
		Tokens:     int(answer.Msg.Tokens),
		TTL:        time.Duration(answer.Msg.LifeUs) * time.Microsecond,
		RetryAfter: time.Duration(answer.Msg.RetryAfterUs) * time.Microsecond,
	}, nil
}

// grant grants tokens of a bucket. It returns errNoHolder unless this VM is certain to be the only holder.
func (s *Server) grant(ctx context.Context, part limit.Part, wanted int) (quota.Grant, error) {
	now := s.now()
	state := s.views.State()
	if !s.views.ConfirmedWithin(now, state.FleetSettings().WriteBound) {
		return quota.Grant{}, errNoHolder
	}
	since := state.QuotaShards[part.Shard()].Since
	s.committer.Track(ctx, since)
	inEffectSince, inEffect := s.committer.InEffectSince(now, since)
	if !inEffect {
		return quota.Grant{}, errNoHolder
	}
	grant, held := s.issuer.Grant(now, inEffectSince, state, part, wanted)
	if !held {
		return quota.Grant{}, errNoHolder
	}
	return grant, nil
}
