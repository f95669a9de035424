package stand

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

// PlatformDomain is the failure domain of the platform in a Network.
const PlatformDomain model.Domain = "Platform"

// errPathCut is the error with which a request over a cut path fails once its context ends.
var errPathCut = errors.New("the network path is cut")

type path struct{ from, to model.Domain }

// Network simulates the network between failure domains: cut paths, delays and paused VMs; it is safe for concurrent use.
type Network struct {
	// OneWayDelay is the delay of a message between failure domains.
	OneWayDelay time.Duration

	mu      sync.RWMutex
	cuts    map[path]bool
	domains map[string]model.Domain
	// paused holds, for each paused VM, a channel that is closed when its pause ends.
	paused map[model.VMID]chan struct{}
}

// NewNetwork returns a network without cuts.
func NewNetwork(oneWay time.Duration) *Network {
	return &Network{
		OneWayDelay: oneWay,
		cuts:        map[path]bool{},
		domains:     map[string]model.Domain{},
		paused:      map[model.VMID]chan struct{}{},
	}
}

// SetDomain records the failure domain of an address.
func (n *Network) SetDomain(address string, domain model.Domain) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[address] = domain
}

// Cut cuts the path between two failure domains in both directions, or restores it if cut is false.
func (n *Network) Cut(a, b model.Domain, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[path{a, b}] = cut
	n.cuts[path{b, a}] = cut
}

// Isolate cuts the paths between a failure domain and all the given ones, or restores them if cut is false.
func (n *Network) Isolate(domain model.Domain, others []model.Domain, cut bool) {
	for _, other := range others {
		if other != domain {
			n.Cut(domain, other, cut)
		}
	}
}

// Reaches reports whether the path between two failure domains is not cut.
func (n *Network) Reaches(a, b model.Domain) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return !n.cuts[path{a, b}]
}

// Pause stops a VM from sending and answering requests, or resumes it if paused is false.
func (n *Network) Pause(vm model.VMID, paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed, ok := n.paused[vm]; ok && !paused {
		close(resumed)
		delete(n.paused, vm)
	}
	if _, ok := n.paused[vm]; !ok && paused {
		n.paused[vm] = make(chan struct{})
	}
}

func (n *Network) awaitResume(vm model.VMID) {
	n.mu.RLock()
	resumed := n.paused[vm]
	n.mu.RUnlock()
	if resumed != nil {
		<-resumed
	}
}

func (n *Network) domainOf(address string) model.Domain {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.domains[address]
}

// Transport returns a round tripper for the requests of a VM, which are subject to cut paths, delays and the pause of the VM.
func (n *Network) Transport(vm model.VMID, domain model.Domain, base http.RoundTripper) http.RoundTripper {
	return &transport{network: n, vm: vm, domain: domain, base: base}
}

// Middleware returns a handler that holds the requests to a VM back while the VM is paused.
func (n *Network) Middleware(vm model.VMID, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.awaitResume(vm)
		next.ServeHTTP(w, r)
	})
}

type transport struct {
	network *Network
	vm      model.VMID
	domain  model.Domain
	base    http.RoundTripper
}

// RoundTrip sends a request unless its path is cut; over a cut path it waits until the context of the request ends. If the path is cut
// while the request runs, only its response is lost.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.network.awaitResume(t.vm)
	to := t.network.domainOf(request.URL.Host)
	if err := t.traverse(request, to); err != nil {
		return nil, err
	}
	response, err := t.base.RoundTrip(request)
	t.network.awaitResume(t.vm)
	if err != nil {
		return nil, err
	}
	if err := t.traverse(request, to); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// traverse delays a message to another failure domain by OneWayDelay. If the path is cut, it waits until the context of the request ends
// and returns an error.
func (t *transport) traverse(request *http.Request, to model.Domain) error {
	if to != "" && !t.network.Reaches(t.domain, to) {
		<-request.Context().Done()
		return errors.CombineErrors(request.Context().Err(), errPathCut)
	}
	if to != "" && to != t.domain && t.network.OneWayDelay > 0 {
		time.Sleep(t.network.OneWayDelay)
	}
	return nil
}
