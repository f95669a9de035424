package coord

import (
	"context"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// carelessRows makes changes whose conditions hold but for the era, as the store does if a call is under way while it comes back from a copy.
type carelessRows struct {
	*stand.RowsClient
	rows *stand.Rows
}

func (r *carelessRows) Apply(ctx context.Context, change model.Change) (int64, error) {
	for i := range change.Expected {
		if e := &change.Expected[i]; e.Version != 0 {
			e.Version = model.VersionIn(r.rows.Era(), model.CountOf(e.Version))
		}
	}
	return r.RowsClient.Apply(ctx, change)
}
