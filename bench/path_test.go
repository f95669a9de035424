package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/admin"
	"github.com/crocusshore/crocusshore/caller"
	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/token"
)

// newSmallFleet starts a Fleet of one group for a test, and asserts at the end of the test that no violation was recorded.
func newSmallFleet(t *testing.T, entries int) *Fleet {
	t.Helper()
	profile, err := NewProfile("Beaulieu")
	require.NoError(t, err)
	profile.Entries = entries
	profile.Groups = profile.Groups[:1]
	fleet, err := StartFleet(context.Background(), FleetConfig{Profile: profile})
	require.NoError(t, err)
	t.Cleanup(func() {
		require.Empty(t, fleet.Violations())
		fleet.Close()
	})
	return fleet
}

type pathTest struct {
	fleet  *Fleet
	client *load.Client
}

func (p *pathTest) do(entry int, team model.TeamName, token string, r load.Request) load.Answer {
	address := p.fleet.Entries()[entry].CallerAddress
	return p.client.Do(context.Background(), address, p.fleet.Keys[team], token, r)
}

func (p *pathTest) api(t *testing.T, entry int) *caller.Client {
	api, err := p.client.API(p.fleet.Entries()[entry].CallerAddress)
	require.NoError(t, err)
	return api
}

func appendLine(id, key, line string) load.Request {
	return load.Request{ID: model.RequestID(id), Route: "OrdersTruss1", Statement: model.Statement{Write: true, Text: "append", Arguments: []string{key, line}}}
}

func getLines(key string) load.Request {
	return load.Request{Route: "OrdersTruss1", Statement: model.Statement{Text: "get", Arguments: []string{key}}}
}

func TestRequestsThroughEntries(t *testing.T) {
	fleet := newSmallFleet(t, 3)
	p := &pathTest{fleet: fleet, client: load.NewClient(fleet.transport)}
	t.Run("a session reads its write through another entry", p.readYourWrites)
	t.Run("a repeat returns the first outcome", p.repeat)
	t.Run("request identifiers of two teams do not collide", p.requestIDsPerTeam)
	t.Run("a one-shot transaction runs all its statements", p.oneShot)
	t.Run("an interactive transaction continues through other entries", p.interactive)
	t.Run("an outcome can be looked up", p.lookUp)
	t.Run("bad input is refused", p.badInput)
	t.Run("a revoked key is refused", p.revokedKey)
}

func (p *pathTest) readYourWrites(t *testing.T) {
	answer := p.do(0, "Estimators", "", appendLine("w1", "order/1", "10 trusses"))
	require.Nil(t, answer.Refusal)
	require.NotEmpty(t, answer.Token)
	seen := p.do(1, "Estimators", answer.Token, getLines("order/1"))
	require.Nil(t, seen.Refusal)
	require.Equal(t, []string{"10 trusses"}, seen.Rows)
}

func (p *pathTest) repeat(t *testing.T) {
	first := p.do(0, "Estimators", "", appendLine("r1", "order/2", "a"))
	require.Nil(t, first.Refusal)
	again := p.do(2, "Estimators", first.Token, appendLine("r1", "order/2", "a"))
	require.Nil(t, again.Refusal)
	require.True(t, again.Repeated)
	require.Equal(t, []string{"a"}, p.do(1, "Estimators", again.Token, getLines("order/2")).Rows)
}

func (p *pathTest) requestIDsPerTeam(t *testing.T) {
	first := p.do(0, "Estimators", "", appendLine("same", "order/3", "a"))
	second := p.do(0, "Dealers", first.Token, appendLine("same", "order/3", "b"))
	require.Nil(t, second.Refusal)
	require.False(t, second.Repeated)
	require.Equal(t, []string{"a", "b"}, p.do(1, "Dealers", second.Token, getLines("order/3")).Rows)
}

func (p *pathTest) oneShot(t *testing.T) {
	ctx := load.WithKey(context.Background(), p.fleet.Keys["Estimators"])
	statement := func(text string, arguments ...string) caller.Statement {
		return caller.Statement{Kind: caller.KindWrite, Text: text, Arguments: arguments}
	}
	answer, err := p.api(t, 0).RunTransaction(ctx, &caller.TransactionRequest{
		Statements: []caller.Statement{statement("append", "order/4", "a"), statement("reserve", "tray/4", "kiosk")},
	}, caller.RunTransactionParams{Route: "OrdersTruss1"})
	require.NoError(t, err)
	require.Equal(t, []string{"reserved", "kiosk"}, answer.Response.Rows)
}

func (p *pathTest) interactive(t *testing.T) {
	ctx := load.WithKey(context.Background(), p.fleet.Keys["Estimators"])
	begun, err := p.api(t, 0).BeginTransaction(ctx, caller.BeginTransactionParams{Route: "OrdersTruss1"})
	require.NoError(t, err)
	write := &caller.Statement{Kind: caller.KindWrite, Text: "append", Arguments: []string{"order/5", "x"}}
	_, err = p.api(t, 1).RunInTransaction(ctx, write, caller.RunInTransactionParams{Transaction: begun.Transaction})
	require.NoError(t, err)

	other := load.WithKey(context.Background(), p.fleet.Keys["Dealers"])
	_, err = p.api(t, 1).RunInTransaction(other, write, caller.RunInTransactionParams{Transaction: begun.Transaction})
	requireRefusal(t, err, model.ReasonOtherTeam)

	done, err := p.api(t, 2).CommitTransaction(ctx, &caller.CommitRequest{}, caller.CommitTransactionParams{Transaction: begun.Transaction})
	require.NoError(t, err)
	_, err = p.api(t, 0).RunInTransaction(ctx, write, caller.RunInTransactionParams{Transaction: begun.Transaction})
	requireRefusal(t, err, model.ReasonNoTransaction)
	require.Equal(t, []string{"x"}, p.do(1, "Estimators", done.SessionToken.Value, getLines("order/5")).Rows)

	begun, err = p.api(t, 0).BeginTransaction(ctx, caller.BeginTransactionParams{Route: "OrdersTruss1"})
	require.NoError(t, err)
	_, err = p.api(t, 1).RunInTransaction(ctx, write, caller.RunInTransactionParams{Transaction: begun.Transaction})
	require.NoError(t, err)
	require.NoError(t, p.api(t, 2).RollbackTransaction(ctx, caller.RollbackTransactionParams{Transaction: begun.Transaction}))
	require.Equal(t, []string{"x"}, p.do(1, "Estimators", done.SessionToken.Value, getLines("order/5")).Rows)
}

func (p *pathTest) lookUp(t *testing.T) {
	first := p.do(0, "Estimators", "", appendLine("l1", "order/6", "a"))
	require.Nil(t, first.Refusal)
	ctx := load.WithKey(context.Background(), p.fleet.Keys["Estimators"])
	found, err := p.api(t, 1).LookUpRequest(ctx, caller.LookUpRequestParams{Route: "OrdersTruss1", RequestId: "l1"})
	require.NoError(t, err)
	require.Equal(t, caller.OutcomeDone, found.Response.Outcome)
	_, err = p.api(t, 1).LookUpRequest(ctx, caller.LookUpRequestParams{Route: "OrdersTruss1", RequestId: "never"})
	requireRefusal(t, err, model.ReasonNotRecorded)
}

func requireRefusal(t *testing.T, err error, reason model.Reason) {
	t.Helper()
	require.Error(t, err)
	refusal := load.RefusalOf(err)
	require.Equal(t, reason, refusal.Reason, refusal.Detail)
}

func (p *pathTest) badInput(t *testing.T) {
	forger, err := token.New(bytes.Repeat([]byte{7}, token.KeySize))
	require.NoError(t, err)
	forged, err := forger.SealSession(token.Session{}.WithMark("Truss1", model.Mark{Term: 1, Position: 1}))
	require.NoError(t, err)
	onRoute := func(route model.RouteName, r load.Request) load.Request {
		r.Route = route
		return r
	}
	cases := []struct {
		name    string
		key     string
		token   string
		request load.Request
		reason  model.Reason
	}{
		{"malformed token", p.fleet.Keys["Dealers"], "???", appendLine("b1", "bad", "x"), model.ReasonBadToken},
		{"forged token", p.fleet.Keys["Dealers"], forged, appendLine("b2", "bad", "x"), model.ReasonBadToken},
		{"unknown key", "no.key", "", appendLine("b3", "bad", "x"), model.ReasonUnknownKey},
		{"half a key", "nokey", "", appendLine("b4", "bad", "x"), model.ReasonUnknownKey},
		{"no key", "", "", appendLine("b5", "bad", "x"), model.ReasonNoKey},
		{"unknown route", p.fleet.Keys["Dealers"], "", onRoute("Nowhere", appendLine("b6", "bad", "x")), model.ReasonNoRoute},
		{"route of another team", p.fleet.Keys["Dealers"], "", onRoute("Private", appendLine("b7", "bad", "x")), model.ReasonOtherTeam},
		{"unknown statement", p.fleet.Keys["Dealers"], "", load.Request{Route: "OrdersTruss1", Statement: model.Statement{Text: "dance", Arguments: []string{"bad"}}}, model.ReasonStatement},
	}
	p.addPrivateRoute(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := p.client.Do(context.Background(), p.fleet.Entries()[0].CallerAddress, c.key, c.token, c.request)
			require.NotNil(t, answer.Refusal)
			require.Equal(t, c.reason, answer.Refusal.Reason, answer.Refusal.Detail)
			require.Equal(t, model.NotRun, answer.Refusal.Outcome)
		})
	}
	t.Run("oversized body", p.oversized)
	require.Empty(t, p.do(0, "Dealers", "", getLines("bad")).Rows, "a request refused as not run must have no effect")
}

func (p *pathTest) addPrivateRoute(t *testing.T) {
	var tree map[string]map[string]any
	require.NoError(t, json.Unmarshal([]byte(p.fleet.settings), &tree))
	tree["Routes"]["Private"] = object{"Parent": "Teams/Estimators", "Group": "Truss1"}
	text, err := json.Marshal(tree)
	require.NoError(t, err)
	require.NoError(t, p.fleet.ApplySettings(context.Background(), string(text)))
}

func (p *pathTest) oversized(t *testing.T) {
	body := `{"Statement":{"Kind":"Write","Text":"append","Arguments":["bad","` + strings.Repeat("x", 2<<20) + `"]}}`
	url := "http://" + p.fleet.Entries()[0].CallerAddress.String() + "/routes/OrdersTruss1/statements"
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+p.fleet.Keys["Dealers"])
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	var problem caller.Problem
	require.NoError(t, json.NewDecoder(response.Body).Decode(&problem))
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.Equal(t, caller.OutcomeNotRun, problem.Outcome)
}

func (p *pathTest) revokedKey(t *testing.T) {
	ctx := context.Background()
	operator, err := p.fleet.Operator(p.fleet.Entries()[1])
	require.NoError(t, err)
	issued, err := operator.IssueKey(ctx, &admin.KeyRequest{Team: "Dealers"})
	require.NoError(t, err)
	require.True(t, issued.InForce)
	address := p.fleet.Entries()[0].CallerAddress
	require.Nil(t, p.client.Do(ctx, address, issued.Key, "", getLines("order/1")).Refusal)
	changed, err := operator.WithdrawKey(ctx, admin.WithdrawKeyParams{ID: issued.ID})
	require.NoError(t, err)
	require.True(t, changed.InForce)
	answer := p.client.Do(ctx, address, issued.Key, "", getLines("order/1"))
	require.NotNil(t, answer.Refusal)
	require.Equal(t, model.ReasonUnknownKey, answer.Refusal.Reason)
}

func TestConcurrentSettingsChangeIsRefused(t *testing.T) {
	fleet := newSmallFleet(t, 3)
	ctx := context.Background()
	first, err := fleet.Operator(fleet.Entries()[0])
	require.NoError(t, err)
	second, err := fleet.Operator(fleet.Entries()[1])
	require.NoError(t, err)
	read, err := first.GetSettings(ctx)
	require.NoError(t, err)
	change := func(rate string) *admin.SettingsChange {
		text := strings.Replace(read.Text, `"Rate": 100`, `"Rate": `+rate, 1)
		require.NotEqual(t, read.Text, text)
		return &admin.SettingsChange{Text: text, Expected: admin.NewOptInt64(read.Version)}
	}
	_, err = first.ApplySettings(ctx, change("101"))
	require.NoError(t, err)
	_, err = second.ApplySettings(ctx, change("102"))
	var problem *admin.ProblemStatusCode
	require.True(t, errors.As(err, &problem), "the second operator must be refused because of the first operator's change")
	require.Contains(t, problem.Response.Detail, "another operator")
}

type wrongKey struct{}

// OperatorKey implements admin.SecuritySource.
func (wrongKey) OperatorKey(context.Context, admin.OperationName) (admin.OperatorKey, error) {
	return admin.OperatorKey{Token: "wrong"}, nil
}

func TestOperatorInterfaceRefusesWrongKey(t *testing.T) {
	fleet := newSmallFleet(t, 3)
	client, err := admin.NewClient("http://"+fleet.Entries()[0].OperatorAddress.String(), wrongKey{})
	require.NoError(t, err)
	_, err = client.GetSettings(context.Background())
	require.Error(t, err)
	_, err = client.IssueKey(context.Background(), &admin.KeyRequest{Team: "Dealers"})
	require.Error(t, err)
}
