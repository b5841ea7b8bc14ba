package fakes

import (
	"net/http"
	"slices"
	"sync"

	"bronzedoor.dev/bronzedoor/internal/store"
)

// Machines is the platform's list of VMs. It lags: what is served is what was
// published last. The zero value is an empty list.
type Machines struct {
	mu     sync.Mutex
	now    store.VMs
	served store.VMs
	lag    bool
	down   bool
}

// Set adds a VM, or replaces the one at its address.
func (m *Machines) Set(v store.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.VMs = append(m.without(v.Address), v)
	m.step()
}

// Remove takes the VM at address from the list.
func (m *Machines) Remove(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.VMs = m.without(address)
	m.step()
}

func (m *Machines) without(address string) []store.VM {
	return slices.DeleteFunc(slices.Clone(m.now.VMs), func(v store.VM) bool {
		return v.Address == address
	})
}

func (m *Machines) step() {
	m.now.Version++
	if !m.lag {
		m.served = m.now
	}
}

// Lag holds the served list back until it is set to false.
func (m *Machines) Lag(lag bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
	if !lag {
		m.served = m.now
	}
}

// Down makes the list unavailable until it is set to false.
func (m *Machines) Down(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// ServeHTTP serves the list.
func (m *Machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	l, down := m.served, m.down
	m.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path != "/v1/vms" {
		http.NotFound(w, r)
		return
	}
	reply(w, l)
}
