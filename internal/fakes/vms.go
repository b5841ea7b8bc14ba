package fakes

import (
	"net/http"
	"slices"
	"sync"

	"bronzedoor.dev/bronzedoor/internal/store"
)

// VMList is the platform's VM list, served over HTTP. The served list can be made
// to lag behind the current one. The zero value is an empty list.
type VMList struct {
	mu      sync.Mutex
	current store.VMs
	served  store.VMs
	lagging bool
	down    bool
}

// Set adds a VM, or replaces the one with the same address.
func (m *VMList) Set(v store.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.VMs = append(m.without(v.Address), v)
	m.update()
}

// Remove removes the VM with that address from the list.
func (m *VMList) Remove(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.VMs = m.without(address)
	m.update()
}

func (m *VMList) without(address string) []store.VM {
	return slices.DeleteFunc(slices.Clone(m.current.VMs), func(v store.VM) bool {
		return v.Address == address
	})
}

func (m *VMList) update() {
	m.current.Version++
	if !m.lagging {
		m.served = m.current
	}
}

// SetLag sets whether the served list stays as it is while the list changes. When
// lag is false again, the current list is served at once.
func (m *VMList) SetLag(lag bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lagging = lag
	if !lag {
		m.served = m.current
	}
}

// SetDown sets whether requests for the list are answered with 503.
func (m *VMList) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// ServeHTTP serves the list as JSON at /v1/vms.
func (m *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
