package entry

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/quota"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/secret"
	"github.com/crocusshore/crocusshore/tree"
)

// keyConfirmTimeout bounds how long a request waits for the view to be confirmed before it is refused.
const keyConfirmTimeout = 500 * time.Millisecond

// identity names the team and the key on whose behalf a request runs.
type identity struct {
	team model.TeamName
	key  model.KeyID
}

// identify verifies a key and returns its team. The plain text of the key is not passed on from here.
func (s *Server) identify(ctx context.Context, text string) (identity, error) {
	if text == "" {
		return identity{}, model.Refuse(model.ReasonNoKey, "send the team's key as a bearer token")
	}
	id, keySecret, ok := secret.Split(text)
	if !ok {
		return identity{}, errUnknownKey()
	}
	// Look the key up after the wait, in the view that was confirmed.
	confirmed := s.awaitConfirmed(ctx, s.views.State().FleetSettings().KeyBound)
	key, known := s.views.State().Keys[id]
	if !known || !secret.Verify(key.Salt, key.Hash, keySecret) {
		return identity{}, errUnknownKey()
	}
	if !confirmed {
		return identity{}, model.Refuse(model.ReasonNotConfirmed, "this VM cannot confirm now that the key still stands").WithRetryAfter(confirmInterval)
	}
	return identity{team: key.Team, key: id}, nil
}

// awaitConfirmed reports whether the view was confirmed less than bound ago. It waits up to keyConfirmTimeout for that,
// so that a VM that was paused can catch up.
func (s *Server) awaitConfirmed(ctx context.Context, bound time.Duration) bool {
	for until := s.now().Add(keyConfirmTimeout); !s.views.ConfirmedWithin(s.now(), bound); {
		if s.now().After(until) || !retry.Sleep(ctx, placementPollInterval) {
			return false
		}
	}
	return true
}

func errUnknownKey() error {
	return model.Refuse(model.ReasonUnknownKey, "the key does not exist or was withdrawn")
}

// isKeyInvalid reports whether the key that began a transaction no longer counts as valid: it was revoked, or the
// view of this VM is not known to have been the newest at an instant within the last KeyBound. On an open route the
// identifier is empty, which counts as valid.
func (s *Server) isKeyInvalid(id model.KeyID) bool {
	if id == "" {
		return false
	}
	state := s.views.State()
	_, known := state.Keys[id]
	return !known || !s.views.ConfirmedWithin(s.now(), state.FleetSettings().KeyBound)
}

// requireSettings returns a refusal while this VM has not read the settings since its start, so that it cannot tell which routes and keys exist.
func (s *Server) requireSettings() error {
	if s.HasSettings() {
		return nil
	}
	return model.Refuse(model.ReasonNotConfirmed, "this VM has not read the settings yet").WithRetryAfter(confirmInterval)
}

// authorize returns the route and the identity of a request, or a refusal if the key must not use the route.
func (s *Server) authorize(ctx context.Context, name model.RouteName, key string) (tree.Route, identity, error) {
	if err := s.requireSettings(); err != nil {
		return tree.Route{}, identity{}, err
	}
	route, found := s.views.State().Tree.Route(name)
	if !found {
		return route, identity{}, model.Refuse(model.ReasonNoRoute, "the route %s does not exist", name)
	}
	if route.Open {
		return route, identity{team: route.Team}, nil
	}
	who, err := s.identify(ctx, key)
	if err != nil {
		return route, who, err
	}
	if route.Team != "" && route.Team != who.team {
		return route, who, model.Refuse(model.ReasonOtherTeam, "the route %s belongs to another team", name)
	}
	return route, who, nil
}

// requestSettings returns the settings of a route with the weight of the team that uses it.
func (s *Server) requestSettings(route tree.Route, team model.TeamName) tree.Settings {
	settings := route.Settings
	if team != "" {
		settings.Weight = s.views.State().Tree.Settings(tree.TeamPath(team)).Weight
	}
	return settings
}

// admit takes a rate limit token of the route, if it has a limit of its own, and one of the team, if there is a team.
func (s *Server) admit(ctx context.Context, route tree.Route, who identity) error {
	if route.OwnLimit {
		if err := s.takeToken(ctx, tree.RoutePath(route.Name), route.Settings); err != nil {
			return err
		}
	}
	if who.team == "" {
		return nil
	}
	path := tree.TeamPath(who.team)
	return s.takeToken(ctx, path, s.views.State().Tree.Settings(path))
}

// takeToken takes a token from the bucket of a node or returns a refusal.
func (s *Server) takeToken(ctx context.Context, node tree.NodePath, settings tree.Settings) error {
	err := s.limiter.Admit(ctx, node, quota.Limit{Rate: settings.Rate, Burst: settings.Burst})
	if err == nil {
		s.options.OnAdmitted(string(node), s.now())
	}
	return err
}
