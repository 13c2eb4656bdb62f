package catalog

import (
	"sort"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Snapshot is the state of the catalog at one time. It is immutable.
type Snapshot struct {
	services map[string][]*model.BackendServer
	byID     map[string]*model.BackendServer
	byAddr   map[string]*model.BackendServer
	domains  map[string]bool
}

// Service returns the backend servers of a service that may get new requests, sorted by
// id.
func (s *Snapshot) Service(name string) []*model.BackendServer { return s.services[name] }

// All returns all known backend servers of a service, including draining ones, sorted
// by id.
func (s *Snapshot) All(name string) []*model.BackendServer {
	var out []*model.BackendServer
	for _, b := range s.byID {
		if b.Service == name {
			out = append(out, b)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Domains returns the number of failure domains that have backend servers.
func (s *Snapshot) Domains() int { return len(s.domains) }

// HasDomain reports whether a failure domain has backend servers.
func (s *Snapshot) HasDomain(name string) bool { return s.domains[name] }

// ByID returns the known incarnation of a backend server, or nil.
func (s *Snapshot) ByID(id string) *model.BackendServer { return s.byID[id] }

// ByAddress returns the backend server at an address, or nil.
func (s *Snapshot) ByAddress(addr string) *model.BackendServer { return s.byAddr[addr] }

// Find returns the given incarnation of a backend server, or nil if it is not the known
// one.
func (s *Snapshot) Find(inc model.Incarnation) *model.BackendServer {
	if b := s.byID[inc.ID]; b != nil && b.Born == inc.Born {
		return b
	}
	return nil
}

func newSnapshot(entries map[string]*entry, supersedes func(e, other *entry) bool) *Snapshot {
	s := &Snapshot{
		services: map[string][]*model.BackendServer{},
		byID:     make(map[string]*model.BackendServer, len(entries)),
		byAddr:   make(map[string]*model.BackendServer, len(entries)),
		domains:  map[string]bool{},
	}
	holder := newestAtAddresses(entries, supersedes)
	for id, e := range entries {
		if holder[e.server.Address] != e {
			continue
		}
		b := e.server
		s.byID[id] = &b
		s.byAddr[b.Address] = &b
		s.domains[b.FailureDomain] = true
		if !b.Draining && !e.malformed {
			s.services[b.Service] = append(s.services[b.Service], &b)
		}
	}
	for _, list := range s.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return s
}
