package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	siteRouters, siteServers = 4, 33
	// chainLength is the number of servers that each request runs at.
	chainLength = 4
	exitsFrom   = 2 * time.Second
	// siteEnd and lastExit are the ends of the traffic and of the exits.
	siteEnd, lastExit = 15 * time.Second, 12 * time.Second
)

// siteModel is a simulation of a small site: chains of engines, ten customers of different size on
// three routes, prompts with a first part by route and one of twelve further parts.
type siteModel struct{ *partModel }

func newSiteModel(t *testing.T, seed uint64) *siteModel {
	m := &siteModel{&partModel{simulation: newSimulation(t, seed, siteRouters, siteServers)}}
	m.chainLength, m.restartDelay = chainLength, 1500*time.Millisecond
	for at := time.Duration(0); at < siteEnd; at += time.Second / 80 {
		m.schedule(at, func() {
			route := fmt.Sprint("route", m.rnd.IntN(3))
			// Customer 0 has four times the requests of customer 9.
			customer := fmt.Sprint("customer", min(m.rnd.IntN(10), m.rnd.IntN(16)))
			m.serveRoute(customer, route, "first "+route, fmt.Sprint("second", m.rnd.IntN(12)))
		})
	}
	return m
}

// exitInUse makes a server exit, one that runs requests if there is any.
func (m *siteModel) exitInUse() {
	s := m.servers[m.rnd.IntN(len(m.servers))]
	for _, i := range m.rnd.Perm(len(m.servers)) {
		if len(m.servers[i].active) > 0 {
			s = m.servers[i]
			break
		}
	}
	s.exit()
}

// pairs makes two servers in use exit every interval, in any failure domain.
func (m *siteModel) pairs(from, to, interval time.Duration) {
	for at := from; at < to; at += interval {
		m.schedule(at, func() {
			m.exitInUse()
			m.exitInUse()
		})
	}
}

// unrelatedExits are exits that no request causes.
var unrelatedExits = map[string]func(m *siteModel){
	"in pairs over all domains": func(m *siteModel) { m.pairs(exitsFrom, lastExit, 600*time.Millisecond) },
	"from the first second":     func(m *siteModel) { m.pairs(50*time.Millisecond, lastExit, 600*time.Millisecond) },
	"one at a time": func(m *siteModel) {
		for at := exitsFrom; at < lastExit; at += time.Duration(100+m.rnd.IntN(400)) * time.Millisecond {
			m.schedule(at, m.exitInUse)
		}
	},
	"by domain": func(m *siteModel) {
		for at := exitsFrom; at < lastExit; at += 4 * time.Second {
			domain := fmt.Sprint("d", m.rnd.IntN(3))
			m.schedule(at, func() {
				for _, s := range m.servers {
					if s.domain == domain {
						m.schedule(time.Duration(m.rnd.IntN(300))*time.Millisecond, s.exit)
					}
				}
			})
		}
	},
	"all domains at once": func(m *siteModel) {
		for at := exitsFrom; at < lastExit; at += 5 * time.Second {
			m.schedule(at, func() {
				for _, s := range m.servers {
					if m.rnd.IntN(3) > 0 {
						s.exit()
					}
				}
			})
		}
	},
	"beside restarts of single routers": func(m *siteModel) {
		m.pairs(exitsFrom, lastExit, 600*time.Millisecond)
		for at := exitsFrom + time.Second; at < lastExit; at += 3 * time.Second {
			m.schedule(at, m.randomRouter().start)
		}
	},
	"after a restart of all routers": func(m *siteModel) {
		m.pairs(exitsFrom, lastExit, 600*time.Millisecond)
		m.schedule(exitsFrom+2*time.Second, func() {
			for _, r := range m.routers {
				r.start()
			}
		})
	},
}

// Servers exit for reasons of their own while requests are lost and sent again. Guards against
// refusing proper requests for what they have in common at these exits.
func TestNoRequestIsRefusedForUnrelatedExits(t *testing.T) {
	for name, exits := range unrelatedExits {
		t.Run(name, func(t *testing.T) {
			for seed := range exitSeeds {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					t.Parallel()
					m := newSiteModel(t, seed)
					exits(m)
					m.run(siteEnd + drainTime)
					assert.Equal(t, m.refused, 0, "proper requests refused")
				})
			}
		})
	}
}

// The same exits beside a part, and beside a customer on a route, whose requests crash servers.
// Guards against protecting proper requests by letting crashing ones run.
func TestCrashingRequestsAreStoppedBesideUnrelatedExits(t *testing.T) {
	causes := map[string]func(m *siteModel){
		"part": func(m *siteModel) {
			m.sendCrashing(crashesFrom, lastExit, 100*time.Millisecond, always("customer1"), "first route0", "bad")
		},
		"customer": func(m *siteModel) { m.sendCrashing(crashesFrom, lastExit, 100*time.Millisecond, always("newcomer")) },
	}
	for cause, crash := range causes {
		for name, exits := range unrelatedExits {
			t.Run(cause+" beside exits "+name, func(t *testing.T) {
				for seed := range crashSeeds {
					t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
						t.Parallel()
						m := newSiteModel(t, seed)
						crash(m)
						exits(m)
						m.run(siteEnd + drainTime)
						t.Logf("%d crashes, %d late sends", len(m.crashTimes), m.lateSendCount(minTraitExits))
						assert.Assert(t, m.lateSendCount(minTraitExits) <= maxLateSends)
						assert.Equal(t, m.refused, 0, "proper requests refused")
					})
				}
			})
		}
	}
}
