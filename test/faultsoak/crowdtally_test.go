package faultsoak

import (
	"fmt"
	"time"
)

// String returns the counts, and of the details the most frequent one.
func (n tally) String() string {
	most, count := "", 0
	for d, c := range n.details {
		if c > count {
			most, count = d, c
		}
	}
	return fmt.Sprintf("%d sent, %d served; first tries: %d read, %d served; crowded: %d read, %d served, %d refused; refused in all %d; most: %d %.150s",
		n.sent, n.served, n.firstRead, n.firstServed, n.readByCrowded, n.servedBy, n.refusedByCrowded, n.refusedAny, count, most)
}

// tally counts the tries that began in a span of time.
type tally struct {
	sent, served                 int // requests, after all tries
	firstRead, firstServed       int // first tries that were read, and served
	readByCrowded, servedBy      int // by the routers that are crowded
	refusedByCrowded, refusedAny int
	details                      map[string]int
}

func (c *crowd) tally(from, to time.Time, crowded ...*router) tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := tally{details: map[string]int{}}
	for _, t := range c.tries {
		if t.at.Before(from) || !t.at.Before(to) {
			continue
		}
		if t.first {
			n.sent++
		}
		if t.outcome == served {
			n.served++
		} else {
			n.details[t.router.name+" "+t.detail]++
		}
		if t.first && t.outcome != refused {
			n.firstRead++
			if t.outcome == served {
				n.firstServed++
			}
		}
		if t.outcome == refused {
			n.refusedAny++
		}
		for _, r := range crowded {
			switch {
			case t.router != r:
			case t.outcome == refused:
				n.refusedByCrowded++
			default:
				n.readByCrowded++
				if t.outcome == served {
					n.servedBy++
				}
			}
		}
	}
	return n
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
