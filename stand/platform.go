package stand

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/plat"
)

// vmList is a list of VMs; at is the time from which these VMs run.
type vmList struct {
	at  time.Time
	vms []model.VM
}

// Platform stands in for the platform's table, its object store and its list of VMs.
type Platform struct {
	Faults Faults
	// ListLag is the time until a new list of VMs can be read; the first list can be read at once.
	ListLag time.Duration
	// Latency is how long a request takes.
	Latency time.Duration
	// Reads and Writes count the requests that read and write the table.
	Reads, Writes atomic.Int64

	mu       sync.Mutex
	rows     map[string]model.Row
	revision int64
	objects  map[string][]byte
	vmLists  []vmList
}

// NewPlatform returns an empty platform.
func NewPlatform(listLag, latency time.Duration) *Platform {
	return &Platform{
		ListLag: listLag,
		Latency: latency,
		rows:    map[string]model.Row{},
		objects: map[string][]byte{},
	}
}

// Handler returns the HTTP interface of the platform with its faults.
func (p *Platform) Handler() (http.Handler, error) {
	server, err := plat.NewServer(p)
	if err != nil {
		return nil, err
	}
	return p.Faults.Wrap(server), nil
}

// SetVMs sets the list of the VMs that run from now on; it can be read after ListLag.
func (p *Platform) SetVMs(now time.Time, vms []model.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmLists = append(p.vmLists, vmList{at: now, vms: append([]model.VM(nil), vms...)})
}

// GetRow implements plat.Handler.
func (p *Platform) GetRow(_ context.Context, params plat.GetRowParams) (*plat.Row, error) {
	p.Reads.Add(1)
	time.Sleep(p.Latency)
	p.mu.Lock()
	defer p.mu.Unlock()
	row := asRow(p.rows[params.Key])
	row.Key = params.Key
	return &row, nil
}

// ScanRows implements plat.Handler.
func (p *Platform) ScanRows(_ context.Context, params plat.ScanRowsParams) ([]plat.Row, error) {
	p.Reads.Add(1)
	time.Sleep(p.Latency)
	p.mu.Lock()
	defer p.mu.Unlock()
	found := []plat.Row{}
	for key, row := range p.rows {
		if key > params.After && key <= params.Until {
			found = append(found, asRow(row))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found[:min(len(found), params.Limit)], nil
}

// Commit implements plat.Handler.
func (p *Platform) Commit(_ context.Context, request *plat.Commit) (*plat.Committed, error) {
	p.Writes.Add(1)
	time.Sleep(p.Latency)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, condition := range request.Conditions {
		if p.rows[condition.Key].Revision != condition.Revision {
			return &plat.Committed{Committed: false}, nil
		}
	}
	p.revision++
	for _, write := range request.Writes {
		if write.Delete.Value {
			delete(p.rows, write.Key)
			continue
		}
		p.rows[write.Key] = model.Row{Key: write.Key, Revision: p.revision, Value: write.Value}
	}
	return &plat.Committed{Committed: true}, nil
}

// PutObject implements plat.Handler.
func (p *Platform) PutObject(_ context.Context, object *plat.Object, params plat.PutObjectParams) error {
	time.Sleep(p.Latency)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[params.Name] = object.Value
	return nil
}

// GetObject implements plat.Handler.
func (p *Platform) GetObject(_ context.Context, params plat.GetObjectParams) (*plat.Object, error) {
	time.Sleep(p.Latency)
	p.mu.Lock()
	defer p.mu.Unlock()
	value, found := p.objects[params.Name]
	return &plat.Object{Found: found, Value: value}, nil
}

// ListVms implements plat.Handler.
func (p *Platform) ListVms(context.Context) ([]plat.VM, error) {
	time.Sleep(p.Latency)
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := []plat.VM{}
	for _, vm := range p.vmsAt(time.Now()) {
		vms = append(vms, plat.VM{ID: string(vm.ID), Domain: string(vm.Domain), Address: vm.Address.String(), Leaving: vm.Leaving})
	}
	return vms, nil
}

func (p *Platform) vmsAt(now time.Time) []model.VM {
	var vms []model.VM
	for i, l := range p.vmLists {
		if i == 0 || now.Sub(l.at) >= p.ListLag {
			vms = l.vms
		}
	}
	return vms
}

// NewError implements plat.Handler.
func (p *Platform) NewError(_ context.Context, err error) *plat.FailureStatusCode {
	return &plat.FailureStatusCode{StatusCode: http.StatusBadRequest, Response: plat.Failure{Detail: err.Error()}}
}

func asRow(row model.Row) plat.Row {
	return plat.Row{Key: row.Key, Found: row.Revision != 0, Revision: row.Revision, Value: row.Value}
}
