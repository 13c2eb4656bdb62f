package catalog

import (
	"sort"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Snapshot is the catalogue at one moment. It is never changed in place.
type Snapshot struct {
	services map[string][]*model.BackendServer
	byID     map[string]*model.BackendServer
	byAddr   map[string]*model.BackendServer
	domains  map[string]bool
}

// Service lists the backend servers of a service that may get new work, ordered
// by id.
func (s *Snapshot) Service(name string) []*model.BackendServer { return s.services[name] }

// All lists every known backend server of a service, leaving ones included.
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

// Domains counts the failure domains that have backend servers.
func (s *Snapshot) Domains() int { return len(s.domains) }

// ByID finds the present incarnation of a backend server; nil if there is none.
func (s *Snapshot) ByID(id string) *model.BackendServer { return s.byID[id] }

// ByAddress finds who has an address; nil if nobody is known to.
func (s *Snapshot) ByAddress(addr string) *model.BackendServer { return s.byAddr[addr] }

// Find finds one incarnation of a backend server; nil where it is not known, or
// another one has taken its place.
func (s *Snapshot) Find(inc model.Incarnation) *model.BackendServer {
	if b := s.byID[inc.ID]; b != nil && b.Born == inc.Born {
		return b
	}
	return nil
}

func newSnapshot(entries map[string]*entry) *Snapshot {
	s := &Snapshot{
		services: map[string][]*model.BackendServer{},
		byID:     make(map[string]*model.BackendServer, len(entries)),
		byAddr:   make(map[string]*model.BackendServer, len(entries)),
		domains:  map[string]bool{},
	}
	holder := holders(entries)
	for id, e := range entries {
		if holder[e.server.Address] != e {
			continue
		}
		b := e.server
		s.byID[id] = &b
		s.byAddr[b.Address] = &b
		s.domains[b.FailureDomain] = true
		if !b.Draining && !e.unreadable {
			s.services[b.Service] = append(s.services[b.Service], &b)
		}
	}
	for _, list := range s.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return s
}
