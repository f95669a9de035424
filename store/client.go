package store

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/plat"
)

var (
	_ model.Table    = (*Client)(nil)
	_ model.Objects  = (*Client)(nil)
	_ model.VMLister = (*Client)(nil)
)

// Config is the address of the platform and the transport to reach it.
type Config struct {
	Address   netip.AddrPort
	Transport http.RoundTripper
}

// Client is a client of the platform.
type Client struct {
	api *plat.Client
}

// New returns a client of the platform.
func New(config Config) (*Client, error) {
	api, err := plat.NewClient("http://"+config.Address.String(), plat.WithClient(&http.Client{Transport: config.Transport}))
	return &Client{api: api}, err
}

// Get implements model.Table.
func (c *Client) Get(ctx context.Context, key string) (model.Row, error) {
	row, err := c.api.GetRow(ctx, plat.GetRowParams{Key: key})
	if err != nil {
		return model.Row{}, errors.Wrapf(err, "read row %s", key)
	}
	return asRow(*row), nil
}

// Scan implements model.Table.
func (c *Client) Scan(ctx context.Context, after, until string, limit int) ([]model.Row, error) {
	found, err := c.api.ScanRows(ctx, plat.ScanRowsParams{After: after, Until: until, Limit: limit})
	if err != nil {
		return nil, errors.Wrapf(err, "scan rows after %s", after)
	}
	rows := make([]model.Row, 0, len(found))
	for _, row := range found {
		rows = append(rows, asRow(row))
	}
	return rows, nil
}

// Commit implements model.Table.
func (c *Client) Commit(ctx context.Context, commit model.Commit) error {
	request := &plat.Commit{Conditions: []plat.Condition{}, Writes: []plat.Write{}}
	for _, condition := range commit.Conditions {
		request.Conditions = append(request.Conditions, plat.Condition(condition))
	}
	for _, write := range commit.Writes {
		request.Writes = append(request.Writes, plat.Write{Key: write.Key, Value: write.Value, Delete: plat.NewOptBool(write.Delete)})
	}
	answer, err := c.api.Commit(ctx, request)
	if err != nil {
		return commitError(err)
	}
	if !answer.Committed {
		return model.ErrConflict
	}
	return nil
}

// commitError marks an error with model.ErrUncertain unless the platform itself refused the commit.
func commitError(err error) error {
	var refused *plat.FailureStatusCode
	if errors.As(err, &refused) {
		return errors.Wrap(err, "the platform refused the commit")
	}
	return errors.Mark(errors.Wrap(err, "commit"), model.ErrUncertain)
}

// PutObject implements model.Objects.
func (c *Client) PutObject(ctx context.Context, name string, value []byte) error {
	err := c.api.PutObject(ctx, &plat.Object{Found: true, Value: value}, plat.PutObjectParams{Name: name})
	return errors.Wrapf(err, "put object %s", name)
}

// GetObject implements model.Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	object, err := c.api.GetObject(ctx, plat.GetObjectParams{Name: name})
	if err != nil {
		return nil, false, errors.Wrapf(err, "get object %s", name)
	}
	return object.Value, object.Found, nil
}

// VMs implements model.VMLister. Entries with an invalid address are left out.
func (c *Client) VMs(ctx context.Context) ([]model.VM, error) {
	listed, err := c.api.ListVms(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list the VMs")
	}
	vms := make([]model.VM, 0, len(listed))
	for _, vm := range listed {
		address, err := netip.ParseAddrPort(vm.Address)
		if err != nil {
			continue
		}
		vms = append(vms, model.VM{ID: model.VMID(vm.ID), Domain: model.Domain(vm.Domain), Address: address, Leaving: vm.Leaving})
	}
	return vms, nil
}

func asRow(row plat.Row) model.Row {
	return model.Row{Key: row.Key, Revision: row.Revision, Value: row.Value}
}
