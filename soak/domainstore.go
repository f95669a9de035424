package soak

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/stand"
)

// domainStore is the store for the VMs of one failure domain: in it, instances have the addresses of the domain's own proxies.
type domainStore struct {
	store   *stand.RowsClient
	proxies map[model.InstanceName]*Proxy
}

func (r *domainStore) Rows(ctx context.Context, table model.TableName) (model.RowsPage, error) {
	page, err := r.store.Rows(ctx, table)
	return r.redirect(table, page), err
}

func (r *domainStore) Feed(ctx context.Context, table model.TableName, after int64, wait time.Duration) (model.RowsPage, error) {
	page, err := r.store.Feed(ctx, table, after, wait)
	return r.redirect(table, page), err
}

func (r *domainStore) Apply(ctx context.Context, change model.Change) (int64, error) {
	return r.store.Apply(ctx, change)
}

// Era returns the era of the store.
func (r *domainStore) Era() int64 { return r.store.Era() }

// redirect replaces the addresses of instances in a page by those of the domain's proxies.
func (r *domainStore) redirect(table model.TableName, page model.RowsPage) model.RowsPage {
	if table != platform.TableInstances {
		return page
	}
	rows := append([]model.StoredRow(nil), page.Rows...)
	for i, row := range rows {
		proxy := r.proxies[model.InstanceName(row.Key)]
		instance, err := platform.DecodeInstance(row.Key, row.Value)
		if proxy == nil || row.Removed || err != nil {
			continue
		}
		instance.Address = proxy.Address()
		if value, err := platform.EncodeInstance(instance); err == nil {
			rows[i].Value = value
		}
	}
	page.Rows = rows
	return page
}
