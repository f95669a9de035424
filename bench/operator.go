package bench

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/admin"
	"github.com/crocusshore/crocusshore/entry"
)

// Operator returns a client of the operator interface of one entry.
func (f *Fleet) Operator(server *entry.Server) (*admin.Client, error) {
	return admin.NewClient("http://"+server.OperatorAddress.String(), operatorKey{}, admin.WithClient(&http.Client{Transport: f.transport}))
}

type operatorKey struct{}

// OperatorKey implements admin.SecuritySource.
func (operatorKey) OperatorKey(context.Context, admin.OperationName) (admin.OperatorKey, error) {
	return admin.OperatorKey{Token: OperatorKey}, nil
}

// ApplySettings replaces the settings tree through the operator interface of the first entry.
func (f *Fleet) ApplySettings(ctx context.Context, text string) error {
	operator, err := f.Operator(f.Entries()[0])
	if err != nil {
		return err
	}
	_, err = operator.ApplySettings(ctx, &admin.SettingsChange{Text: text})
	return errors.Wrap(err, "apply settings")
}

func (f *Fleet) issueKeys(ctx context.Context) error {
	operator, err := f.Operator(f.Entries()[0])
	if err != nil {
		return err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for _, team := range f.Profile.Teams {
		wait.Go(func() {
			issued, err := operator.IssueKey(ctx, &admin.KeyRequest{Team: string(team.Name)})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.CombineErrors(failed, err)
				return
			}
			f.Keys[team.Name] = issued.Key
		})
	}
	wait.Wait()
	return failed
}
